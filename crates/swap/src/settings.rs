use dogwoodlb_types::{id, Instant};
use std::time::Duration;

/// Settings of a swap.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The maximum share of replicas swapping at the same time, in thousandths; at least one
    /// replica is always allowed. The others serve customers.
    pub max_swapping_permille: u32,
    /// The maximum number of orders per second, that is, the number of loads per second that the
    /// weight store can serve.
    pub starts_per_s: u32,
    /// The maximum number of orders sent at once, after a time without orders.
    pub burst: u32,
    /// The maximum time from an order until the replica serves the new version.
    pub max_duration: Duration,
    /// The interval between reads of a replica.
    pub read_interval: Duration,
    /// The term of the lease.
    pub lease_term: Duration,
    /// The timeout of a call to an engine.
    pub order_timeout: Duration,
}

impl Default for Settings {
    /// The values of docs/design.md, sections 4.1 and 4.2, with a quarter of the replicas
    /// swapping at the same time.
    fn default() -> Self {
        Self {
            max_swapping_permille: 250,
            starts_per_s: 10,
            burst: 10,
            max_duration: Duration::from_secs(60),
            read_interval: Duration::from_secs(1),
            lease_term: Duration::from_secs(6),
            order_timeout: Duration::from_secs(1),
        }
    }
}

/// A replica of the model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    /// The replica's name.
    pub upstream: id::Upstream,
    /// Whether the replica refuses orders with an outdated fencing token.
    pub checks_fencing: bool,
}

/// The weights that all replicas should serve.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The version.
    pub version: id::Version,
    /// The name of the object in the weight store.
    pub object: String,
}

/// A granted lease, which permits sending orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseGrant {
    /// The fencing token of the lease.
    pub fence: id::Fence,
    /// The end of validity, on this process's monotonic clock.
    pub until: Instant,
}
