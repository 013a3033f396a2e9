use dogwoodlb_types::id;

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

dogwoodlb_types::opaque_error!(Error, Inner);
