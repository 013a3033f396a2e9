use crate::connection::{Connection, Failure, Outgoing};
use crate::{CheckedClient, Error, Response, Result};
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::Request;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// Subtracted from the server's keep-alive time-out, since the server may already be closing the
/// connection at its end.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

/// The time-outs and limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The time-out for establishing a connection.
    pub connect_timeout: Duration,
    /// How long sent data may remain unacknowledged (`TCP_USER_TIMEOUT`).
    pub tcp_user_timeout: Duration,
    /// How long an idle connection is kept if the server states no keep-alive time-out.
    pub idle_timeout: Duration,
    /// The maximum number of idle connections per server.
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

/// An HTTP/1.1 client. Clones share one connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    pub(crate) pool: Rc<Pool>,
    /// The header that names a request, and which servers echo.
    pub(crate) id_header: Option<HeaderName>,
}

#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) settings: Settings,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    opened: Cell<u64>,
}

/// A connection without a request.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires: Instant,
}

impl Pool {
    /// Keeps a connection for reuse, unless the server may close it too soon or too many are idle.
    pub(crate) fn put_idle(
        &self,
        address: SocketAddr,
        connection: Connection,
        idle_timeout: Duration,
    ) {
        let Some(lifetime) = idle_timeout.checked_sub(IDLE_MARGIN) else {
            return;
        };
        if connection.is_exhausted() {
            return;
        }
        let expires = Instant::now() + lifetime;
        let idle = IdleConnection {
            connection,
            expires,
        };
        self.put_back(address, idle);
    }

    /// Keeps a connection that is already idle until it expires, unless too many are idle.
    fn put_back(&self, address: SocketAddr, idle: IdleConnection) {
        let mut by_address = self.idle.borrow_mut();
        let connections = by_address.entry(address).or_default();
        let has_room = connections.len() < self.settings.max_idle_per_server;
        if has_room && !idle.connection.is_closed() {
            connections.push(idle);
        }
    }
}

/// The check of requests that are sent in any case.
fn always() -> bool {
    true
}

impl Client {
    /// Creates a client with an empty connection pool.
    pub fn new(settings: Settings) -> Self {
        let pool = Pool {
            settings,
            idle: RefCell::default(),
            opened: Cell::new(0),
        };
        Self {
            pool: Rc::new(pool),
            id_header: None,
        }
    }

    /// Sets the header that names a request and that servers echo in their responses. Clones made
    /// before are not affected.
    #[must_use]
    pub fn with_id_header(mut self, name: HeaderName) -> Self {
        self.id_header = Some(name);
        self
    }

    /// Returns the number of connections established so far.
    pub fn connections_opened(&self) -> u64 {
        self.pool.opened.get()
    }

    /// Sends a request with a buffered body and returns the response once its head has arrived.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] or [`Error::Unsent`] if the server can't have seen the request,
    /// [`Error::Incomplete`] or [`Error::Malformed`] otherwise. There is no time-out; dropping the
    /// future closes the connection.
    pub async fn send(&self, address: SocketAddr, request: Request<Bytes>) -> Result<Response> {
        self.checked(&always).send(address, request).await
    }

    /// Sends a request and reads the complete response. After a time-out, the idle connections to
    /// the server are closed, because one that is silent is seldom the only one.
    ///
    /// # Errors
    ///
    /// As [`send`](Self::send), and [`Error::Timeout`] or [`Error::TooLarge`].
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        time_limit: Duration,
        max_body_bytes: usize,
    ) -> Result<hyper::Response<Bytes>> {
        let checked = self.checked(&always);
        checked
            .call(address, request, time_limit, max_body_bytes)
            .await
    }

    /// Returns a view of this client that sends a request only if `check` returns true once a
    /// connection is ready, immediately before the request is written. Otherwise the request ends
    /// with [`Error::Revoked`].
    pub fn checked<'a>(&'a self, check: &'a dyn Fn() -> bool) -> CheckedClient<'a> {
        CheckedClient {
            client: self,
            check,
            needs_new_connection: false,
        }
    }

    /// Closes the idle connections to a server, for instance after a request to it timed out.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.idle.borrow_mut().remove(&address);
    }

    /// Sends a request on an idle connection, unless it needs a new one or none is suitable.
    pub(crate) async fn send_request(
        &self,
        address: SocketAddr,
        mut request: Request<Outgoing>,
        check: &dyn Fn() -> bool,
        needs_new_connection: bool,
    ) -> Result<Response> {
        let id_header = self.id_header.as_ref();
        let id = id_header.and_then(|name| request.headers().get(name).cloned());
        loop {
            let reused = match needs_new_connection {
                true => None,
                false => self.take_idle(address, id.as_ref()).await,
            };
            let is_reused = reused.is_some();
            let idle = match reused {
                Some(idle) => idle,
                None => self.connect(address).await?,
            };
            if !check() {
                self.pool.put_back(address, idle);
                return Err(Error::Revoked { address });
            }
            match idle.connection.exchange(self, address, request).await {
                Ok(response) => return Ok(response),
                // The server closed the reused connection before the request was written.
                Err(Failure::Unsent(message, _)) if is_reused => request = *message,
                Err(Failure::Unsent(_, cause)) => return Err(Error::Unsent { address, cause }),
                Err(Failure::Sent(error)) => return Err(error),
            }
        }
    }

    /// Takes the most recently used idle connection that is still open and has not carried a request
    /// of the same id.
    async fn take_idle(
        &self,
        address: SocketAddr,
        id: Option<&HeaderValue>,
    ) -> Option<IdleConnection> {
        loop {
            let mut idle = {
                let mut by_address = self.pool.idle.borrow_mut();
                let connections = by_address.get_mut(&address)?;
                let now = Instant::now();
                connections.retain(|idle| idle.expires > now && !idle.connection.is_closed());
                let is_suitable =
                    |idle: &IdleConnection| !id.is_some_and(|id| idle.connection.has_carried(id));
                let position = connections.iter().rposition(is_suitable)?;
                connections.remove(position)
            };
            if idle.connection.ready().await {
                return Some(idle);
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<IdleConnection> {
        let connect_error = |cause| Error::Connect { address, cause };
        let settings = &self.pool.settings;
        let stream = timeout(settings.connect_timeout, TcpStream::connect(address)).await;
        let stream = stream
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map_err(connect_error)?;
        stream.set_nodelay(true).map_err(connect_error)?;
        let socket = SockRef::from(&stream);
        socket
            .set_tcp_user_timeout(Some(settings.tcp_user_timeout))
            .map_err(connect_error)?;
        let connection = Connection::start(stream, address).await;
        let connection = connection.map_err(|cause| Error::Unsent { address, cause })?;
        self.pool.opened.set(self.pool.opened.get() + 1);
        let lifetime = settings.idle_timeout.saturating_sub(IDLE_MARGIN);
        let expires = Instant::now() + lifetime;
        Ok(IdleConnection {
            connection,
            expires,
        })
    }
}
