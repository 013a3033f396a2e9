use crate::connection::Connection;
use crate::{framing, Client, Error, Origin, ProgressMonitor, Result};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body as _, Incoming};
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use hyper::Request;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// How much of an unwanted body is read, and for how long, to keep its connection. Opening another
/// connection costs less than waiting longer.
const MAX_DISCARDED_BYTES: usize = 16 * 1024;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// A response whose body has not been read yet.
#[derive(Debug)]
pub struct Response {
    /// The status and the headers.
    pub head: Parts,
    /// The body.
    pub body: Body,
    /// How the response relates to the request.
    pub origin: Origin,
    request_id: Option<HeaderValue>,
}

/// The body of a response. Dropping it before its end closes the connection.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    address: SocketAddr,
    /// Whether the body ends with its connection, because the head states no other end.
    ends_with_connection: bool,
    /// The connection, with the time for which it may stay idle, unless it must not be reused.
    reusable: Option<(Connection, Duration)>,
    client: Client,
}

impl Response {
    /// Wraps a response, or closes its connection if the end of the response is uncertain.
    pub(crate) fn new(
        response: hyper::Response<Incoming>,
        origin: Origin,
        request_id: Option<HeaderValue>,
        connection: Connection,
        address: SocketAddr,
        client: Client,
    ) -> Result<Self> {
        let (mut head, incoming) = response.into_parts();
        framing::check(&mut head).map_err(|reason| Error::Malformed { address, reason })?;
        let keep_alive = head.headers.get("keep-alive").and_then(keep_alive_timeout);
        let idle_timeout = keep_alive.unwrap_or(client.pool.settings.idle_timeout);
        let is_delimited = incoming.size_hint().exact().is_some() || framing::is_chunked(&head);
        let body = Body {
            incoming,
            address,
            ends_with_connection: !is_delimited,
            reusable: Some((connection, idle_timeout)),
            client,
        };
        Ok(Self {
            head,
            body,
            origin,
            request_id,
        })
    }

    /// Sends a second request, without an id, on the connection of this response, whose rest is
    /// discarded. The server responds in order, so that the next response tells whether this one was
    /// an extra response.
    ///
    /// Returns the next response, or `None` if the connection can't be used or fails. Its origin is
    /// [`Origin::Named`] if it names the request before, in which case the response to the second
    /// request is still to come and the connection is not reused.
    pub async fn send_next(self, request: Request<Bytes>) -> Option<Self> {
        let (address, client) = (self.body.address, self.body.client.clone());
        let request_id = self.request_id;
        let mut connection = self.body.into_connection().await?;
        if !connection.ready().await {
            return None;
        }
        let request = request.map(|body| Either::Left(Full::new(body)));
        let mut next = connection.exchange(&client, address, request).await.ok()?;
        let id_header = client.id_header.as_ref()?;
        if request_id.is_some() && next.head.headers.get(id_header) == request_id.as_ref() {
            next.origin = Origin::Named;
            next.body.prevent_reuse();
        }
        Some(next)
    }
}

impl Body {
    /// Returns the next chunk, or `None` at the end.
    ///
    /// # Errors
    ///
    /// [`Error::Incomplete`] if the body is truncated or malformed.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        loop {
            let Some(frame) = self.incoming.frame().await else {
                self.return_connection();
                return Ok(None);
            };
            let address = self.address;
            let frame = frame.map_err(|cause| Error::Incomplete { address, cause })?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the rest of the body into one buffer.
    ///
    /// # Errors
    ///
    /// As [`next`](Self::next), and [`Error::TooLarge`] if the body exceeds `limit` bytes.
    pub async fn collect(mut self, limit: usize) -> Result<Bytes> {
        let mut collected = BytesMut::new();
        while let Some(data) = self.next().await? {
            if collected.len() + data.len() > limit {
                return Err(Error::TooLarge { limit });
            }
            collected.extend_from_slice(&data);
        }
        Ok(collected.freeze())
    }

    /// Returns the next chunk, or `None` at the end, as long as the monitor permits.
    ///
    /// # Errors
    ///
    /// As [`next`](Self::next), [`Error::Stalled`] once the monitor permits no more waiting, even
    /// while data arrives, and [`Error::Truncated`] if the connection closes where the monitor
    /// permits no end.
    pub async fn next_monitored(&mut self, monitor: &mut ProgressMonitor) -> Result<Option<Bytes>> {
        let address = self.address;
        let began = Instant::now();
        let next = match monitor.wait_limit(began) {
            Some(Duration::ZERO) => return Err(Error::Stalled { address }),
            Some(limit) => timeout(limit, self.next()).await,
            None => Ok(self.next().await),
        };
        let data = next.unwrap_or(Err(Error::Stalled { address }))?;
        match &data {
            Some(data) => monitor.on_data(data, began.elapsed()),
            None if self.ends_with_connection && !monitor.may_end() => {
                return Err(Error::Truncated { address });
            }
            None => {}
        }
        Ok(data)
    }

    /// Discards the rest of the body. The connection is only kept if the rest is short and arrives
    /// at once, because a faulty server may send a body without end.
    pub async fn discard(self) {
        // Dropping the body closes the connection, so that a failure needs no handling.
        let _ = timeout(DISCARD_TIMEOUT, self.collect(MAX_DISCARDED_BYTES)).await;
    }

    /// Discards the rest of the body as [`discard`](Self::discard) does, and returns its connection.
    async fn into_connection(mut self) -> Option<Connection> {
        let (connection, _) = self.reusable.take()?;
        let rest = timeout(DISCARD_TIMEOUT, self.collect(MAX_DISCARDED_BYTES)).await;
        rest.is_ok_and(|rest| rest.is_ok()).then_some(connection)
    }

    /// Returns the exact length of the body if the head states it.
    pub fn content_length(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    /// Prevents the connection from being reused after this response.
    pub fn prevent_reuse(&mut self) {
        self.reusable = None;
    }

    /// Returns the connection to the pool.
    fn return_connection(&mut self) {
        if let Some((connection, idle_timeout)) = self.reusable.take() {
            let pool = &self.client.pool;
            pool.put_idle(self.address, connection, idle_timeout);
        }
    }
}

/// Parses the `timeout` parameter of a `Keep-Alive` header.
fn keep_alive_timeout(value: &HeaderValue) -> Option<Duration> {
    let text = value.to_str().ok()?;
    let mut fields = text
        .split(',')
        .filter_map(|field| field.trim().split_once('='));
    let (_, seconds) = fields.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
