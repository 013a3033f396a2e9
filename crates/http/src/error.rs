use std::io;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// The client closed the connection or stopped reading the response.
    Closed,
    /// An I/O operation, or setting up the threads, failed.
    Io,
    /// The peer sent something malformed or too large.
    Malformed,
}

/// An error of the server, a response stream or an event reader.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("the client closed the connection or stopped reading")]
    Closed,
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("event {event} exceeds the limit of {limit} bytes")]
    EventTooLarge { event: usize, limit: usize },
    #[error("event {event} is not valid UTF-8")]
    Encoding { event: usize },
}

impl Error {
    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Inner::Closed => Category::Closed,
            Inner::Io(_) => Category::Io,
            Inner::EventTooLarge { .. } | Inner::Encoding { .. } => Category::Malformed,
        }
    }

    /// Returns the kind of the underlying I/O error, if there is one.
    pub fn io_kind(&self) -> Option<io::ErrorKind> {
        match &*self.0 {
            Inner::Io(error) => Some(error.kind()),
            _ => None,
        }
    }
}

dogwoodlb_types::opaque_error!(Error, Inner);
