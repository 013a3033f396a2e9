use std::io;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// A socket or thread operation failed.
    Io,
}

/// An error that occurred while starting a stand-in.
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

dogwoodlb_types::opaque_error!(Error, Inner);
