//! One connection to a server, and what it has carried.

use crate::head_limit::{HeadLimit, LimitedStream};
use crate::{Client, Error, Origin, Response};
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A request body: buffered, or streamed from an incoming message.
pub(crate) type Outgoing = Either<Full<Bytes>, Incoming>;

/// How long a connection may take after a response until it is ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// The maximum number of requests with an id that a connection carries, since it remembers the ids.
const MAX_REQUESTS: usize = 256;

/// An open connection.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: http1::SendRequest<Outgoing>,
    head_limit: Rc<HeadLimit>,
    history: History,
}

/// What a connection has carried, on which depends which response belongs to a request.
#[derive(Debug, Default)]
struct History {
    hasher: RandomState,
    /// The hashes of the ids of all requests.
    request_ids: Vec<u64>,
    has_response: bool,
    has_unnamed_response: bool,
}

impl History {
    fn has_carried(&self, id: &HeaderValue) -> bool {
        self.request_ids.contains(&self.hasher.hash_one(id))
    }

    fn on_request(&mut self, id: Option<&HeaderValue>) {
        let id = id.map(|id| self.hasher.hash_one(id));
        self.request_ids.extend(id);
    }

    /// Records the head of a response, and returns how it relates to the last request.
    fn on_response(
        &mut self,
        id_header: Option<&HeaderName>,
        request_id: Option<&HeaderValue>,
        headers: &HeaderMap,
    ) -> Origin {
        let echoed = id_header.and_then(|name| headers.get(name));
        let origin = match echoed {
            Some(_) if echoed == request_id => Origin::Named,
            Some(_) => Origin::Foreign,
            None if !self.has_response => Origin::First,
            None => Origin::Unnamed {
                is_first_unnamed: !self.has_unnamed_response,
            },
        };
        self.has_response = true;
        self.has_unnamed_response |= echoed.is_none();
        origin
    }
}

/// A failed exchange.
pub(crate) enum Failure {
    /// The request was not written.
    Unsent(Box<Request<Outgoing>>, hyper::Error),
    /// The server may have seen the request.
    Sent(Error),
}

impl Connection {
    /// Starts to speak HTTP on a stream.
    pub(crate) async fn start(stream: TcpStream, address: SocketAddr) -> hyper::Result<Self> {
        let (stream, head_limit) = LimitedStream::new(stream);
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await?;
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "connection_failed");
            }
        });
        Ok(Self {
            sender,
            head_limit,
            history: History::default(),
        })
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns whether the connection has carried as many requests as it may.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.history.request_ids.len() >= MAX_REQUESTS
    }

    /// Returns whether the connection has carried a request with this id, so that a late copy of its
    /// response could be taken for that of another one.
    pub(crate) fn has_carried(&self, id: &HeaderValue) -> bool {
        self.history.has_carried(id)
    }

    /// Waits for a short time until the connection is ready for the next request, and returns whether
    /// it is.
    pub(crate) async fn ready(&mut self) -> bool {
        let sender = &mut self.sender;
        sender.is_ready() || matches!(timeout(READY_TIMEOUT, sender.ready()).await, Ok(Ok(())))
    }

    /// Sends a request, and returns the response once its head has arrived.
    pub(crate) async fn exchange(
        mut self,
        client: &Client,
        address: SocketAddr,
        request: Request<Outgoing>,
    ) -> std::result::Result<Response, Failure> {
        let id_header = client.id_header.as_ref();
        let request_id = id_header.and_then(|name| request.headers().get(name).cloned());
        self.history.on_request(request_id.as_ref());
        let head_limit = self.head_limit.clone();
        head_limit.set();
        let outcome = tokio::select! {
            // The head may be complete when the limit is reached.
            biased;
            outcome = self.sender.try_send_request(request) => outcome,
            () = head_limit.reached() => {
                let reason = "the head or the interim responses are too long";
                return Err(Failure::Sent(Error::Malformed { address, reason }));
            }
        };
        let response = outcome.map_err(|mut error| match error.take_message() {
            Some(request) => Failure::Unsent(Box::new(request), error.into_error()),
            None => Failure::Sent(Error::Incomplete {
                address,
                cause: error.into_error(),
            }),
        })?;
        head_limit.lift();
        let headers = response.headers();
        let origin = self
            .history
            .on_response(id_header, request_id.as_ref(), headers);
        let client = client.clone();
        Response::new(response, origin, request_id, self, address, client).map_err(Failure::Sent)
    }
}
