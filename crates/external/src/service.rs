//! Plain services, which are upstreams that are not model engines.

use crate::Result;
use std::net::SocketAddr;
use std::time::Duration;

/// A call of a plain service.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The address of the replica.
    pub address: SocketAddr,
    /// The HTTP method.
    pub method: &'a str,
    /// The path and query.
    pub path: &'a str,
    /// The id of the request.
    pub request_id: &'a str,
    /// The media type of the body.
    pub content_type: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
    /// The maximum duration of the whole call.
    pub timeout: Duration,
}

/// The response of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// A plain service.
pub trait Service: Send + Sync {
    /// Calls the service once; implementations must not retry.
    ///
    /// Any complete HTTP response is returned as a reply, whatever its status.
    ///
    /// # Errors
    ///
    /// [`NotSent`](crate::Category::NotSent) if no byte was sent to the service, otherwise
    /// [`Ambiguous`](crate::Category::Ambiguous).
    fn call(&self, call: &Call<'_>) -> Result<Reply>;
}
