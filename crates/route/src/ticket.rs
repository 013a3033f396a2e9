use dogwoodlb_types::{id, Instant};
use std::fmt;

/// Identifies one pick, which must be ended exactly once.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub(crate) u64);

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ticket {}", self.0)
    }
}

/// How a picked request ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The replica answered.
    Success,
    /// The replica failed: connect failure, broken stream or timeout.
    Failure,
    /// The request ended for a reason that says nothing about the replica.
    Cancelled,
}

/// What the router knows about a request in flight.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    pub(crate) upstream: id::Upstream,
    pub(crate) picked: Instant,
    pub(crate) started: bool,
}
