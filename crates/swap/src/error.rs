use dogwoodlb_types::id;
use std::fmt;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// The target has another object than the same version had before.
    Conflict,
    /// The target is older than the present one.
    Older,
    /// The model has more replicas than the core holds.
    TooMany,
}

/// A target or a list of replicas that the swap core refuses.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("version {version} has another object than before")]
    Conflict { version: id::Version },
    #[error("target version {version} is older than {current}")]
    Older {
        version: id::Version,
        current: id::Version,
    },
    #[error("model has {count} replicas, more than {limit}")]
    TooMany { count: usize, limit: usize },
}

impl Error {
    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Inner::Conflict { .. } => Category::Conflict,
            Inner::Older { .. } => Category::Older,
            Inner::TooMany { .. } => Category::TooMany,
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
