use std::io;
use std::net::SocketAddr;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// A socket can't be opened.
    Socket,
    /// A thread can't be started.
    Thread,
}

/// A node that can't be started.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        address: SocketAddr,
        cause: io::Error,
    },
    #[error("cannot serve HTTP: {0}")]
    Http(dogwoodlb_http::Error),
    #[error("cannot send metrics: {0}")]
    Metrics(io::Error),
    #[error("cannot start a thread: {0}")]
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
