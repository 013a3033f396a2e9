use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// An error of a request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be established.
    #[error("cannot connect to {address}: {cause}")]
    Connect {
        /// The address of the server.
        address: SocketAddr,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// The connection was closed before the request was written.
    #[error("the connection to {address} closed before the request was sent: {cause}")]
    Unsent {
        /// The address of the server.
        address: SocketAddr,
        /// The error of the HTTP library.
        cause: hyper::Error,
    },
    /// The check of a [`CheckedClient`](crate::CheckedClient) did not permit the request.
    #[error("the request to {address} may not be sent any more")]
    Revoked {
        /// The address of the server.
        address: SocketAddr,
    },
    /// The connection failed or the response was malformed. The server may have seen the request.
    #[error("incomplete response from {address}: {cause}")]
    Incomplete {
        /// The address of the server.
        address: SocketAddr,
        /// The error of the HTTP library.
        cause: hyper::Error,
    },
    /// The end of the response is uncertain, or the response can't be one to the request. The server
    /// may have seen the request.
    #[error("malformed response from {address}: {reason}")]
    Malformed {
        /// The address of the server.
        address: SocketAddr,
        /// The reason why the response can't be used.
        reason: &'static str,
    },
    /// A body without a stated length ended before its event stream was complete.
    #[error("the event stream from {address} ended early")]
    Truncated {
        /// The address of the server.
        address: SocketAddr,
    },
    /// The response body exceeds the limit.
    #[error("response larger than {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// A streamed body made no progress, or did not end by its deadline.
    #[error("the response from {address} stalled")]
    Stalled {
        /// The address of the server.
        address: SocketAddr,
    },
    /// No complete response arrived in time. The server may have seen the request.
    #[error("no response from {address} within {} ms", .time_limit.as_millis())]
    Timeout {
        /// The address of the server.
        address: SocketAddr,
        /// The time limit of the call.
        time_limit: Duration,
    },
}

impl Error {
    /// Returns whether the server certainly did not see the request.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. } | Self::Revoked { .. } | Self::Unsent { .. }
        )
    }
}
