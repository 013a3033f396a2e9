use crate::client::{Inner, Sender};
use crate::{Error, Result};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct Response {
    /// The status and the headers.
    pub head: Parts,
    /// The body.
    pub body: Body,
}

/// The body of an answer; dropping it before its end closes the connection.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    address: SocketAddr,
    keep: Option<(Sender, Duration)>,
    pool: Rc<Inner>,
}

impl Response {
    pub(crate) fn new(
        response: hyper::Response<Incoming>,
        sender: Sender,
        address: SocketAddr,
        pool: Rc<Inner>,
    ) -> Self {
        let (head, incoming) = response.into_parts();
        let keep_alive = head.headers.get("keep-alive").and_then(keep_alive);
        let idle = keep_alive.unwrap_or(pool.settings.idle_timeout);
        let body = Body {
            incoming,
            address,
            keep: Some((sender, idle)),
            pool,
        };
        Self { head, body }
    }
}

impl Body {
    /// Returns the next bytes, or `None` after the end.
    ///
    /// # Errors
    ///
    /// [`Error::Incomplete`] if the body ends early or is malformed.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        loop {
            let Some(frame) = self.incoming.frame().await else {
                self.release();
                return Ok(None);
            };
            let address = self.address;
            let frame = frame.map_err(|cause| Error::Incomplete { address, cause })?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// As [`next`](Self::next), and [`Error::TooLarge`] for a body over `limit` bytes.
    pub async fn collect(mut self, limit: usize) -> Result<Bytes> {
        let mut whole = BytesMut::new();
        while let Some(data) = self.next().await? {
            if whole.len() + data.len() > limit {
                return Err(Error::TooLarge { limit });
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }

    /// Returns the length that the head states.
    pub fn content_length(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    /// Keeps the connection from being used again.
    pub fn prevent_reuse(&mut self) {
        self.keep = None;
    }

    fn release(&mut self) {
        if let Some((sender, idle)) = self.keep.take() {
            self.pool.put(self.address, sender, idle);
        }
    }
}

/// Returns the time-out of a `Keep-Alive` header.
fn keep_alive(value: &HeaderValue) -> Option<Duration> {
    let text = value.to_str().ok()?;
    let mut fields = text
        .split(',')
        .filter_map(|field| field.trim().split_once('='));
    let (_, seconds) = fields.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
