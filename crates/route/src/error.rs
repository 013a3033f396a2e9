use crate::Ticket;
use dogwoodlb_types::id;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// The ticket has already been ended.
    AlreadyEnded,
    /// The ticket was not issued by this router.
    UnknownTicket,
    /// The replica is not known to the router.
    UnknownUpstream,
    /// The list of replicas contains a duplicate name or is too long.
    InvalidReplicas,
}

/// An input that the router rejected; its state is unchanged.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("{0} has already ended")]
    AlreadyEnded(Ticket),
    #[error("{0} was not issued by this router")]
    UnknownTicket(Ticket),
    #[error("unknown replica `{0}`")]
    UnknownUpstream(id::Upstream),
    #[error("duplicate replica `{upstream}` at index {index}")]
    Duplicate {
        index: usize,
        upstream: id::Upstream,
    },
    #[error("too many replicas: {count}, limit {limit}")]
    TooMany { count: usize, limit: usize },
}

impl Error {
    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Inner::AlreadyEnded(_) => Category::AlreadyEnded,
            Inner::UnknownTicket(_) => Category::UnknownTicket,
            Inner::UnknownUpstream(_) => Category::UnknownUpstream,
            Inner::Duplicate { .. } | Inner::TooMany { .. } => Category::InvalidReplicas,
        }
    }
}

dogwoodlb_types::opaque_error!(Error, Inner);
