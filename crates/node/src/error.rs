use std::io;
use std::net::SocketAddr;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// A socket could not be opened.
    Socket,
    /// A thread could not be started.
    Thread,
}

/// The reason why a node failed to start.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("failed to listen on {address}: {cause}")]
    Listen {
        address: SocketAddr,
        cause: io::Error,
    },
    #[error("failed to start the HTTP server: {0}")]
    Http(dogwoodlb_http::Error),
    #[error("failed to open the metrics socket: {0}")]
    Metrics(io::Error),
    #[error("failed to spawn a thread: {0}")]
    Thread(io::Error),
}

impl Error {
    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Inner::Listen { .. } | Inner::Http(_) | Inner::Metrics(_) => Category::Socket,
            Inner::Thread(_) => Category::Thread,
        }
    }
}

dogwoodlb_types::opaque_error!(Error, Inner);
