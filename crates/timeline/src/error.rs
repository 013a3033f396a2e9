/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// A remote stamp is too far ahead of the local wall clock.
    TooFarAhead,
    /// A decoded event is malformed.
    Malformed,
}

/// The reason why a stamp or an event was rejected.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("remote stamp is {ahead_ms} ms ahead of the wall clock (limit: {limit_ms} ms)")]
    TooFarAhead { ahead_ms: i64, limit_ms: i64 },
    #[error("malformed event field `{field}`")]
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
