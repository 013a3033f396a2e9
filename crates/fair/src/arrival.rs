use crate::Weight;
use dogwoodlb_types::Instant;
use std::sync::Arc;
use std::time::Duration;

/// A request that waits for a replica.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// The organisation of its caller. Those without one share an account.
    pub organisation: Option<&'a str>,
    /// The name of its route.
    pub route: &'a str,
    /// Its priority, 0 being the highest.
    pub priority: u32,
    /// When its response is due.
    pub deadline: Instant,
    /// Whether it waited before, and the replica that it was sent to did not run it. It goes ahead
    /// of its organisation's others.
    pub is_resumed: bool,
}

/// Identifies a request in a queue. Later arrivals have higher tickets.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub(crate) u64);

/// The place of a request in a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Queued {
    /// The ticket.
    pub ticket: Ticket,
    /// How many requests are expected to be served before it.
    pub position: usize,
    /// How long it is expected to wait; zero if that is not known.
    pub expected_wait: Duration,
}

/// The answer to the offer of a free replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// The request has been given a replica.
    Taken,
    /// The free replicas are not suitable for this request.
    Unsuitable,
    /// No replica is free.
    NoneFree,
}

/// A request that was given a replica, until [`Queue::on_end`](crate::Queue::on_end).
#[derive(Debug)]
pub struct Started {
    pub(crate) ticket: Option<Ticket>,
    pub(crate) organisation: Arc<str>,
    pub(crate) route: Arc<str>,
    pub(crate) weight: Weight,
    /// The expected slot time in milliseconds.
    pub(crate) reserved_ms: f64,
    pub(crate) waited: Duration,
    pub(crate) is_over_share: bool,
}

impl Started {
    /// Returns the ticket, unless the request did not wait.
    pub fn ticket(&self) -> Option<Ticket> {
        self.ticket
    }

    /// Returns how long the request waited.
    pub fn waited(&self) -> Duration {
        self.waited
    }

    /// Returns whether its organisation was over its share when it was given a replica.
    pub fn is_over_share(&self) -> bool {
        self.is_over_share
    }
}

/// How a request ended at its replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The replica processed it, so that the time counts as the running time of its route.
    Complete,
    /// The replica did not run it, because its slots are in use.
    Refused,
    /// It failed, or its caller left.
    Broken,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The queue of its organisation, or of all, is full.
    Full,
    /// It can't be answered by its deadline.
    Late,
    /// The queue of all was full, and its organisation had the most requests in it.
    Displaced,
}

impl Reason {
    /// Returns the name for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Late => "late",
            Self::Displaced => "displaced",
        }
    }
}

/// The refusal of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// How many requests were expected to be served before it.
    pub position: usize,
    /// How long it was expected to wait.
    pub expected_wait: Duration,
    /// Whether its organisation was over its share.
    pub is_over_share: bool,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the request was refused: {}", self.reason.as_str())
    }
}

impl std::error::Error for Refusal {}
