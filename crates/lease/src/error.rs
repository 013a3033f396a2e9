use dogwoodlb_types::id;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// A row doesn't hold what this crate writes.
    MalformedRow,
    /// The rows contradict what was read or written before.
    Invariant,
}

/// Rows of a lease that can't be used.
///
/// The lease isn't taken or held on the strength of such rows.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("row `{key}` is malformed: {cause}")]
    Row {
        key: String,
        cause: serde_json::Error,
    },
    #[error("row `{key}` is missing beside its counterpart")]
    Missing { key: String },
    #[error("row `{key}` has fencing number {found} after {highest}")]
    FenceRegression {
        key: String,
        found: id::Fence,
        highest: id::Fence,
    },
    #[error("row `{key}` was renewed by another process under the own fencing number")]
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
