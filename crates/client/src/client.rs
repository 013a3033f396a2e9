use crate::{Error, Response, Result};
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// The body of a request: held in memory, or passed through as it arrives.
pub(crate) type Outgoing = Either<Full<Bytes>, Incoming>;
pub(crate) type Sender = http1::SendRequest<Outgoing>;

/// How long a connection may need after an answer until it takes the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// Taken off the idle time that a server states, since its close is on the way by then.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

/// The limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long the opening of a connection may take.
    pub connect_timeout: Duration,
    /// How long sent bytes may stay without an acknowledgement.
    pub tcp_user_timeout: Duration,
    /// How long a connection is kept whose server states no time.
    pub idle_timeout: Duration,
    /// The idle connections kept for one server.
    pub max_idle_per_server: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(900),
            tcp_user_timeout: Duration::from_millis(2_500),
            idle_timeout: Duration::from_secs(4),
            max_idle_per_server: 64,
        }
    }
}

/// A client; clones share their connections.
#[derive(Clone, Debug)]
pub struct Client {
    inner: Rc<Inner>,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) settings: Settings,
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    opened: Cell<u64>,
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    expires: Instant,
}

impl Inner {
    pub(crate) fn put(&self, address: SocketAddr, sender: Sender, idle: Duration) {
        let Some(idle) = idle.checked_sub(IDLE_MARGIN) else {
            return;
        };
        let mut all = self.idle.borrow_mut();
        let connections = all.entry(address).or_default();
        if connections.len() < self.settings.max_idle_per_server && !sender.is_closed() {
            let expires = Instant::now() + idle;
            connections.push(Idle { sender, expires });
        }
    }
}

impl Client {
    /// Creates a client without connections.
    pub fn new(settings: Settings) -> Self {
        let inner = Inner {
            settings,
            idle: RefCell::default(),
            opened: Cell::new(0),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Returns the number of connections opened so far.
    pub fn connections_opened(&self) -> u64 {
        self.inner.opened.get()
    }

    /// Sends a request with its body in memory and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] and [`Error::Unsent`] if the server can't have seen the request, and
    /// [`Error::Incomplete`] otherwise. There is no time-out; dropping the future closes the
    /// connection.
    pub async fn send(&self, address: SocketAddr, request: Request<Bytes>) -> Result<Response> {
        let request = request.map(|body| Either::Left(Full::new(body)));
        self.send_any(address, request).await
    }

    /// Sends a request whose body is passed through as it arrives.
    ///
    /// # Errors
    ///
    /// As [`send`](Self::send).
    pub async fn send_streaming(
        &self,
        address: SocketAddr,
        request: Request<Incoming>,
    ) -> Result<Response> {
        self.send_any(address, request.map(Either::Right)).await
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// As [`send`](Self::send), [`Error::Timeout`] and [`Error::TooLarge`].
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        after: Duration,
        limit: usize,
    ) -> Result<hyper::Response<Bytes>> {
        let exchange = async {
            let answer = self.send(address, request).await?;
            let body = answer.body.collect(limit).await?;
            Ok(hyper::Response::from_parts(answer.head, body))
        };
        let outcome = timeout(after, exchange).await;
        outcome.unwrap_or(Err(Error::Timeout { address, after }))
    }

    /// Closes the idle connections to a server, for instance after one of them went silent.
    pub fn close_idle(&self, address: SocketAddr) {
        self.inner.idle.borrow_mut().remove(&address);
    }

    async fn send_any(
        &self,
        address: SocketAddr,
        mut request: Request<Outgoing>,
    ) -> Result<Response> {
        loop {
            let kept = self.take(address).await;
            let is_kept = kept.is_some();
            let mut sender = match kept {
                Some(sender) => sender,
                None => self.connect(address).await?,
            };
            let mut failure = match sender.try_send_request(request).await {
                Ok(response) => {
                    let pool = self.inner.clone();
                    return Ok(Response::new(response, sender, address, pool));
                }
                Err(failure) => failure,
            };
            let unsent = failure.take_message();
            let cause = failure.into_error();
            match unsent {
                Some(message) if is_kept => request = message,
                Some(_) => return Err(Error::Unsent { address, cause }),
                None => return Err(Error::Incomplete { address, cause }),
            }
        }
    }

    /// Takes an idle connection that still works, the one used last first.
    async fn take(&self, address: SocketAddr) -> Option<Sender> {
        loop {
            let mut idle = {
                let mut all = self.inner.idle.borrow_mut();
                let connections = all.get_mut(&address)?;
                let now = Instant::now();
                connections.retain(|idle| idle.expires > now && !idle.sender.is_closed());
                connections.pop()?
            };
            if idle.sender.is_ready() {
                return Some(idle.sender);
            }
            if let Ok(Ok(())) = timeout(READY_TIMEOUT, idle.sender.ready()).await {
                return Some(idle.sender);
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender> {
        let failed = |cause| Error::Connect { address, cause };
        let settings = &self.inner.settings;
        let stream = timeout(settings.connect_timeout, TcpStream::connect(address)).await;
        let stream = stream
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let socket = SockRef::from(&stream);
        socket
            .set_tcp_user_timeout(Some(settings.tcp_user_timeout))
            .map_err(failed)?;
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|cause| Error::Unsent { address, cause })?;
        self.inner.opened.set(self.inner.opened.get() + 1);
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "connection_ended");
            }
        });
        Ok(sender)
    }
}
