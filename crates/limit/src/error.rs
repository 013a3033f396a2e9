use crate::Ticket;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// The ticket doesn't run, or was ended before.
    NotRunning,
    /// The ticket doesn't wait: it was started, refused or cancelled before.
    NotWaiting,
}

/// An event that the gate didn't apply; its state is unchanged.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("{0} does not run")]
    NotRunning(Ticket),
    #[error("{0} does not wait")]
    NotWaiting(Ticket),
}

impl Error {
    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Inner::NotRunning(_) => Category::NotRunning,
            Inner::NotWaiting(_) => Category::NotWaiting,
        }
    }
}

dogwoodlb_types::opaque_error!(Error, Inner);
