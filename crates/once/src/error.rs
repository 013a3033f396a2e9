/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// The key is empty, too long or holds a character that is not allowed.
    InvalidKey,
    /// The call didn't wait for the result that it was given.
    UnexpectedResult,
    /// A stored row can't be understood.
    MalformedRow,
}

/// An invalid key, row or event.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("idempotency key is not valid at byte {offset}: use 1 to {limit} visible ASCII characters except `/`")]
    Key { offset: usize, limit: usize },
    #[error("call did not wait for the result of a {0}")]
    Unexpected(&'static str),
    #[error("row is malformed: {0}")]
    Row(#[from] serde_json::Error),
    #[error("stored body is not hexadecimal at byte {offset}")]
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
