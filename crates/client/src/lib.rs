//! An HTTP/1.1 client with a pool of connections, for programs of one thread.
//!
//! A connection carries one request at a time. It is used again only if its last answer was
//! read to the end, and no longer than its server said. A request that was certainly not sent
//! is sent again on a new connection; any other failure is reported, because the server may
//! have seen the request.

mod client;
mod error;
mod response;

pub use client::{Client, Settings};
pub use error::Error;
pub use response::{Body, Response};

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
