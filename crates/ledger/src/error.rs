use crate::content::MAX_SAMPLES;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// A row or object does not have the format that this crate writes.
    Malformed,
    /// The rows are inconsistent with each other.
    Invariant,
}

/// An error in the stored rows or objects of a trainer.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("row `{key}` is malformed: {cause}")]
    Row {
        key: String,
        cause: serde_json::Error,
    },
    #[error("unrecognized row key `{key}`")]
    Key { key: String },
    #[error("object is malformed: {0}")]
    Object(#[from] serde_json::Error),
    #[error("row `{key}` has {samples} samples, the maximum is {MAX_SAMPLES}")]
    TooManySamples { key: String, samples: usize },
    #[error("row `{key}` is inconsistent with the other rows of the trainer")]
    Inconsistent { key: String },
}

impl Error {
    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Inner::Row { .. } | Inner::Key { .. } | Inner::Object(_) => Category::Malformed,
            Inner::TooManySamples { .. } | Inner::Inconsistent { .. } => Category::Invariant,
        }
    }

    /// Returns the key of the row that caused the error, if it was a row.
    pub fn key(&self) -> Option<&str> {
        match &*self.0 {
            Inner::Row { key, .. }
            | Inner::Key { key }
            | Inner::TooManySamples { key, .. }
            | Inner::Inconsistent { key } => Some(key),
            Inner::Object(_) => None,
        }
    }
}

dogwoodlb_types::opaque_error!(Error, Inner);
