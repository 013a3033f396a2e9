/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// A row or object doesn't hold what this crate writes.
    Malformed,
    /// Rows contradict each other.
    Invariant,
}

/// Rows or objects of a trainer that can't be used.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("row `{key}` is malformed: {cause}")]
    Row {
        key: String,
        cause: serde_json::Error,
    },
    #[error("key `{key}` has an unknown form")]
    Key { key: String },
    #[error("object is malformed: {0}")]
    Object(#[from] serde_json::Error),
    #[error("row `{key}` names a sample or batch that its step doesn't have")]
    InvalidReference { key: String },
}

impl Error {
    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Inner::Row { .. } | Inner::Key { .. } | Inner::Object(_) => Category::Malformed,
            Inner::InvalidReference { .. } => Category::Invariant,
        }
    }

    /// Returns the key of the row, if a row is at fault.
    pub fn key(&self) -> Option<&str> {
        match &*self.0 {
            Inner::Row { key, .. } | Inner::Key { key } | Inner::InvalidReference { key } => {
                Some(key)
            }
            Inner::Object(_) => None,
        }
    }
}

dogwoodlb_types::opaque_error!(Error, Inner);
