use dogwoodlb_types::id;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// The frame does not concern the membership.
    UnexpectedFrame,
    /// The manifest lists more peers than the core holds.
    TooMany,
    /// The sender is not an entry VM of the manifest, or uses this node's own name.
    UnknownSender,
    /// An incarnation is outside the accepted range.
    InvalidIncarnation,
}

/// A frame or a configuration that the membership core refuses.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("frame does not concern the membership")]
    Misplaced,
    #[error("manifest lists {count} peers, more than {limit}")]
    TooMany { count: usize, limit: usize },
    #[error("frame from `{vm}`, which is not a peer")]
    Unknown { vm: id::Vm },
    #[error("frame from `{vm}` with incarnation {incarnation}, which is out of range")]
    Incarnation {
        vm: id::Vm,
        incarnation: id::Incarnation,
    },
}

impl Error {
    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Inner::Misplaced => Category::UnexpectedFrame,
            Inner::TooMany { .. } => Category::TooMany,
            Inner::Unknown { .. } => Category::UnknownSender,
            Inner::Incarnation { .. } => Category::InvalidIncarnation,
        }
    }
}

dogwoodlb_types::opaque_error!(Error, Inner);
