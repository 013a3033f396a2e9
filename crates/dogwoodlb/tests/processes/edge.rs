//! Nodes of the command `edge`, without a store or replicas.

use crate::process::{binary, Process};
use dogwoodlb_standin::free_address;
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;

/// The settings of a node whose store can't be reached.
pub(crate) struct Settings {
    pub(crate) text: String,
    /// The listen address for callers.
    pub(crate) front: SocketAddr,
}

impl Settings {
    pub(crate) fn new() -> Self {
        let [front, ready, directory, peer, metrics, store]: [SocketAddr; 6] =
            std::array::from_fn(|_| free_address());
        let settings = json!({
            "node": "edge-0", "region": "a", "centre": "a1", "front": front, "ready": ready,
            "directory": directory, "peer": peer, "metrics": metrics, "seeds": [], "store": store,
            "centres": {"a1": "a"}, "cpu_share": 0.5, "address_ttl_s": 0.1, "grace_s": 3.0,
            "order_lease_ms": 500, "results_s": 120.0,
        });
        Self {
            text: settings.to_string(),
            front,
        }
    }
}

/// Returns the arguments of a node with a settings file.
pub(crate) fn args(settings: &Path) -> [String; 3] {
    ["edge", "--settings", &settings.display().to_string()].map(str::to_owned)
}

/// Starts a node with a settings file.
pub(crate) fn start(settings: &Path) -> Process {
    Process::start(binary("dogwoodlb"), &args(settings))
}
