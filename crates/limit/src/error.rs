use crate::Ticket;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// The request is not running, or has already ended.
    NotRunning,
    /// The request is not waiting: it has already been started, refused or cancelled.
    NotWaiting,
}

/// An input that the admission controller rejected; its state is unchanged.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("{0} is not running")]
    NotRunning(Ticket),
    #[error("{0} is not waiting")]
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
