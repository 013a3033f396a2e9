/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// A remote stamp runs too far ahead of the local civil clock.
    TooFarAhead,
    /// An event that was read is malformed.
    Malformed,
}

/// A stamp or an event that is refused.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("remote stamp is {ahead_ms} ms ahead, more than the limit of {limit_ms} ms")]
    TooFarAhead { ahead_ms: i64, limit_ms: i64 },
    #[error("field `{field}` of the event is malformed")]
    Malformed { field: &'static str },
}

impl Error {
    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Inner::TooFarAhead { .. } => Category::TooFarAhead,
            Inner::Malformed { .. } => Category::Malformed,
        }
    }
}

dogwoodlb_types::opaque_error!(Error, Inner);
