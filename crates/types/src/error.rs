/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// An identifier is empty, too long or contains a character that is not allowed.
    Identifier,
    /// The spans of a sample don't cover its tokens exactly.
    Spans,
}

/// An invalid value of one of the shared types.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("invalid identifier `{text}` at byte {offset}: expected 1 to 64 characters of a-z, 0-9, `.`, `_` and `-`")]
    Identifier { text: String, offset: usize },
    #[error("invalid operation id `{text}`: expected a hexadecimal number of at most 128 bits")]
    Operation { text: String },
    #[error("span {index} starts at token {from}, expected {expected}")]
    SpanStart {
        index: usize,
        from: u32,
        expected: u32,
    },
    #[error("span {index} is empty")]
    SpanEmpty { index: usize },
    #[error("spans end at token {end}, but the sample has {tokens} tokens")]
    SpanTotal { end: u32, tokens: u32 },
}

impl Error {
    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Inner::Identifier { .. } | Inner::Operation { .. } => Category::Identifier,
            Inner::SpanStart { .. } | Inner::SpanEmpty { .. } | Inner::SpanTotal { .. } => {
                Category::Spans
            }
        }
    }
}

crate::opaque_error!(Error, Inner);
