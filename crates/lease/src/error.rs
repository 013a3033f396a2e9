use dogwoodlb_types::id;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// A row is missing or does not have the format that this crate writes.
    MalformedRow,
    /// The rows are inconsistent with what was read or written earlier.
    Invariant,
}

/// An error in the stored rows of a lease.
///
/// Invalid rows never cause a lease to be acquired or kept.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("row `{key}` is malformed: {cause}")]
    Row {
        key: String,
        cause: serde_json::Error,
    },
    #[error("row `{key}` is missing although the lease's other row exists")]
    Missing { key: String },
    #[error("row `{key}` has fencing token {found}, which is lower than {highest} seen earlier")]
    FenceRegression {
        key: String,
        found: id::Fence,
        highest: id::Fence,
    },
    #[error("row `{key}` was renewed by another process with this process's fencing token")]
    UnexpectedRenewal { key: String },
}

impl Error {
    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Inner::Row { .. } | Inner::Missing { .. } => Category::MalformedRow,
            Inner::FenceRegression { .. } | Inner::UnexpectedRenewal { .. } => Category::Invariant,
        }
    }

    /// Returns the key of the row.
    pub fn key(&self) -> &str {
        match &*self.0 {
            Inner::Row { key, .. }
            | Inner::Missing { key }
            | Inner::FenceRegression { key, .. }
            | Inner::UnexpectedRenewal { key } => key,
        }
    }
}

dogwoodlb_types::opaque_error!(Error, Inner);
