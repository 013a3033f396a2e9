//! An HTTP/1.1 client with a connection pool, for single-threaded programs.
//!
//! A connection carries one request at a time. It is reused only if its last response was read to
//! the end, the server's keep-alive time-out has not passed, and it has carried no request of the
//! same id. The [`Origin`] of a response says how it relates to the request, and [`Evidence`] decides
//! what it proves.
//!
//! A request that was certainly not sent is retried on another connection if the failed one was
//! reused; any other failure is returned, because the server may have seen the request.

mod checked;
mod client;
mod connection;
mod error;
mod evidence;
mod framing;
mod head_limit;
mod origin;
mod progress;
mod response;

pub use checked::CheckedClient;
pub use client::{Client, Settings};
pub use error::Error;
pub use evidence::{Evidence, Verdict};
pub use origin::Origin;
pub use progress::{Progress, ProgressMonitor};
pub use response::{Body, Response};

/// A specialised `Result` for client operations.
pub type Result<T> = std::result::Result<T, Error>;
