//! An HTTP/1.1 server with resource limits for blocking handlers, and server-sent events.
//!
//! The number of connections and concurrent requests, the size of request heads and bodies, and
//! the time that a client may stall a write are limited, so that a slow or hostile client can't
//! exhaust the resources of a VM. Handlers are blocking functions; each concurrent request runs on
//! its own thread. docs/dependencies.md explains why `hyper` is used instead of `rouille`.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_http::{Handler, Limits, Request, Responder, Response, Server};
//! use std::net::TcpListener;
//! use std::sync::Arc;
//!
//! struct Hello;
//!
//! impl Handler for Hello {
//!     fn handle(&self, request: &Request, responder: Responder) {
//!         responder.send(Response::text(200, format!("hello {}", request.path)));
//!     }
//! }
//!
//! let listener = TcpListener::bind("127.0.0.1:0")?;
//! let server = Server::start(listener, Limits::default(), Arc::new(Hello))?;
//! assert_eq!(server.in_flight(), 0);
//! server.shutdown(std::time::Duration::from_secs(1));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod body;
mod error;
mod io;
mod request;
mod response;
mod server;
pub mod sse;

pub use body::{Responder, ResponseStream};
pub use error::{Category, Error};
pub use request::Request;
pub use response::Response;
pub use server::{Handler, Limits, Server};

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
