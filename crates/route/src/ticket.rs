use dogwoodlb_types::{id, Instant};
use std::fmt;

/// A handle to a routed request; it must be ended exactly once.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub(crate) u64);

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ticket {}", self.0)
    }
}

/// The outcome of a routed request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The replica responded.
    Success,
    /// The replica failed: connection failure, interrupted stream or timeout.
    Failure,
    /// The request ended for a reason unrelated to the replica's health.
    Cancelled,
}

/// The router's record of a request in flight.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    pub(crate) upstream: id::Upstream,
    pub(crate) picked_at: Instant,
    /// Whether the request was sent.
    pub(crate) started: bool,
}
