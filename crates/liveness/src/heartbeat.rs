use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The heartbeat interval of nodes with a leader role, and of all nodes in a small deployment.
pub const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// The state of a node, as it sends it to all other nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The name of the node.
    pub node: String,
    /// The incarnation of its process; it increases with each restart.
    pub boot: u64,
    /// The sequence number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// The address on which it listens to other nodes.
    pub peer: SocketAddr,
    /// The address on which it serves callers.
    pub front: SocketAddr,
    /// Its region.
    pub region: String,
    /// Its data centre.
    pub centre: String,
    /// The time until its next heartbeat, in milliseconds.
    pub interval_ms: u64,
    /// Whether it serves callers.
    pub serving: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether it can reach the store.
    pub has_store: bool,
    /// Whether the measured latency to the store is low enough for a store in the same region.
    pub near_store: bool,
    /// Its CPU share in thousandths of a core.
    pub cpu_millis: u32,
}

impl Heartbeat {
    /// Creates the first heartbeat of a node.
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
