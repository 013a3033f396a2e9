use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be opened.
    #[error("cannot connect to {address}: {cause}")]
    Connect {
        /// The server.
        address: SocketAddr,
        /// What the system says.
        cause: io::Error,
    },
    /// The connection was closed before the request was written.
    #[error("the connection to {address} closed before the request was sent: {cause}")]
    Unsent {
        /// The server.
        address: SocketAddr,
        /// What the library says.
        cause: hyper::Error,
    },
    /// The connection broke, or the answer was malformed; the server may have seen the request.
    #[error("no whole answer from {address}: {cause}")]
    Incomplete {
        /// The server.
        address: SocketAddr,
        /// What the library says.
        cause: hyper::Error,
    },
    /// The answer is too large.
    #[error("the answer is larger than {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// No answer came in time; the server may have seen the request.
    #[error("no answer from {address} within {} ms", .after.as_millis())]
    Timeout {
        /// The server.
        address: SocketAddr,
        /// How long the call waited.
        after: Duration,
    },
}

impl Error {
    /// Returns whether the server certainly did not see the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Unsent { .. })
    }
}
