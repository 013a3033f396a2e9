use dogwoodlb_types::id;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// The frame is not a membership frame.
    UnexpectedFrame,
    /// The manifest lists too many peers.
    TooManyPeers,
    /// The sender is not an entry VM of the manifest, or uses the name of this node.
    UnknownSender,
    /// An incarnation is outside the accepted range.
    InvalidIncarnation,
}

/// A frame or a configuration that was rejected.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("not a membership frame")]
    UnexpectedFrame,
    #[error("too many peers in the manifest: {count}, limit {limit}")]
    TooManyPeers { count: usize, limit: usize },
    #[error("frame from unknown peer `{vm}`")]
    UnknownSender { vm: id::Vm },
    #[error("frame from `{vm}`: incarnation {incarnation} is out of range")]
    InvalidIncarnation {
        vm: id::Vm,
        incarnation: id::Incarnation,
    },
}

impl Error {
    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Inner::UnexpectedFrame => Category::UnexpectedFrame,
            Inner::TooManyPeers { .. } => Category::TooManyPeers,
            Inner::UnknownSender { .. } => Category::UnknownSender,
            Inner::InvalidIncarnation { .. } => Category::InvalidIncarnation,
        }
    }
}

dogwoodlb_types::opaque_error!(Error, Inner);
