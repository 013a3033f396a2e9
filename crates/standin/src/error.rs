use std::fmt;
use std::io;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// A socket or thread operation failed.
    Io,
}

/// A stand-in that can't be started.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("cannot bind a local port: {0}")]
    Bind(io::Error),
    #[error("cannot start the server: {0}")]
    Start(dogwoodlb_http::Error),
}

impl Error {
    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Inner::Bind(_) | Inner::Start(_) => Category::Io,
        }
    }
}

impl From<Inner> for Error {
    #[cold]
    fn from(inner: Inner) -> Self {
        Self(Box::new(inner))
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl std::error::Error for Error {}
