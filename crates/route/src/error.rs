use crate::Ticket;
use dogwoodlb_types::id;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// The ticket was ended before.
    AlreadyEnded,
    /// This router never issued the ticket.
    UnknownTicket,
    /// The router has no such replica.
    UnknownUpstream,
    /// The list of replicas has a name twice or is too long.
    InvalidReplicas,
}

/// An event that the router didn't apply; its state is unchanged.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("{0} was ended before")]
    Ended(Ticket),
    #[error("{0} was not issued by this router")]
    UnknownTicket(Ticket),
    #[error("replica `{0}` is not known")]
    UnknownUpstream(id::Upstream),
    #[error("replica {index}: `{upstream}` is listed twice")]
    Duplicate {
        index: usize,
        upstream: id::Upstream,
    },
    #[error("{count} replicas are more than the limit of {limit}")]
    TooMany { count: usize, limit: usize },
}

impl Error {
    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Inner::Ended(_) => Category::AlreadyEnded,
            Inner::UnknownTicket(_) => Category::UnknownTicket,
            Inner::UnknownUpstream(_) => Category::UnknownUpstream,
            Inner::Duplicate { .. } | Inner::TooMany { .. } => Category::InvalidReplicas,
        }
    }
}

dogwoodlb_types::opaque_error!(Error, Inner);
