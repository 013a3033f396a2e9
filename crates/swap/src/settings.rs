use dogwoodlb_types::{id, Instant};
use std::time::Duration;

/// The limits of a swap.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The share of the replicas that may be swapping at once, in thousandths; at least one
    /// replica may. The others serve customers.
    pub max_swapping_permille: u32,
    /// The orders per second that the weight store can serve.
    pub starts_per_s: u32,
    /// The orders that may start together after a pause.
    pub burst: u32,
    /// The longest time from an order until the replica serves the new version.
    pub max_duration: Duration,
    /// The time between two reads of one replica.
    pub read_interval: Duration,
    /// The term of the lease.
    pub term: Duration,
    /// The longest time that one call of an engine may take.
    pub order_timeout: Duration,
}

impl Default for Settings {
    /// Values of docs/design.md, sections 4.1 and 4.2, with a quarter of the replicas at once.
    fn default() -> Self {
        Self {
            max_swapping_permille: 250,
            starts_per_s: 10,
            burst: 10,
            max_duration: Duration::from_secs(60),
            read_interval: Duration::from_secs(1),
            term: Duration::from_secs(6),
            order_timeout: Duration::from_secs(1),
        }
    }
}

/// A replica of the model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    /// Its name.
    pub upstream: id::Upstream,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// The weights that all replicas are to serve.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The version.
    pub version: id::Version,
    /// The name of the weights in the weight store.
    pub object: String,
}

/// The right to give orders, as the lease core grants it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseGrant {
    /// The fencing number of the lease.
    pub fence: id::Fence,
    /// The end of validity on this process's monotonic clock.
    pub until: Instant,
}
