/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// The key is empty, too long or contains an invalid character.
    InvalidKey,
    /// The call was given a result that it did not wait for.
    UnexpectedResult,
    /// A stored row is malformed.
    MalformedRow,
}

/// An invalid key, a malformed row or an unexpected result.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("invalid idempotency key at byte {offset}: expected 1 to {limit} visible ASCII characters except `/`")]
    Key { offset: usize, limit: usize },
    #[error("unexpected result: call has no pending {0}")]
    Unexpected(&'static str),
    #[error("malformed row: {0}")]
    Row(#[from] serde_json::Error),
    #[error("stored body has an invalid hexadecimal digit at byte {offset}")]
    Body { offset: usize },
}

impl Error {
    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Inner::Key { .. } => Category::InvalidKey,
            Inner::Unexpected(_) => Category::UnexpectedResult,
            Inner::Row(_) | Inner::Body { .. } => Category::MalformedRow,
        }
    }
}

dogwoodlb_types::opaque_error!(Error, Inner);
