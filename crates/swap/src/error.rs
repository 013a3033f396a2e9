use dogwoodlb_types::id;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// The target names a different object than before for the same version.
    Conflict,
    /// The target is older than the current one.
    OlderTarget,
    /// The model has too many replicas.
    TooManyReplicas,
}

/// A target or a list of replicas that was rejected.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("conflicting object for version {version}")]
    Conflict { version: id::Version },
    #[error("target version {version} is older than {current}")]
    OlderTarget {
        version: id::Version,
        current: id::Version,
    },
    #[error("too many replicas: {count}, limit {limit}")]
    TooManyReplicas { count: usize, limit: usize },
}

impl Error {
    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Inner::Conflict { .. } => Category::Conflict,
            Inner::OlderTarget { .. } => Category::OlderTarget,
            Inner::TooManyReplicas { .. } => Category::TooManyReplicas,
        }
    }
}

dogwoodlb_types::opaque_error!(Error, Inner);
