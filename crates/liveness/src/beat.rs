use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The interval of nodes with a duty, and of all nodes while they are few.
pub const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// What a node says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The name of the node.
    pub node: String,
    /// The run of its process; a later run has a higher number.
    pub boot: u64,
    /// Counts the beats of a run.
    pub sequence: u64,
    /// Where it listens to other nodes.
    pub peer: SocketAddr,
    /// Where it serves callers.
    pub front: SocketAddr,
    /// Its region.
    pub region: String,
    /// Its data centre.
    pub centre: String,
    /// The time to its next beat, in milliseconds.
    pub interval_ms: u64,
    /// Whether it serves callers.
    pub serving: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether it reaches the store.
    pub has_store: bool,
    /// Whether the store answers it as fast as one in the same region does.
    pub near_store: bool,
    /// Its share of a processor core, in thousandths.
    pub cpu_millis: u32,
}

impl Heartbeat {
    /// Creates the first beat of a node.
    pub fn new(node: &str, peer: SocketAddr, front: SocketAddr) -> Self {
        Self {
            node: node.to_owned(),
            boot: 0,
            sequence: 0,
            peer,
            front,
            region: String::new(),
            centre: String::new(),
            interval_ms: u64::try_from(MIN_INTERVAL.as_millis()).unwrap_or(u64::MAX),
            serving: true,
            leaving: false,
            has_store: true,
            near_store: false,
            cpu_millis: 1_000,
        }
    }
}
