//! Replicas that leave, as their own responses say.

use crate::clock;
use crate::cluster::ClusterState;
use crate::headers::{is_leaving, is_misdirected};
use crate::protocol::HeaderNames;
use dogwoodlb_directory::Stage;
use dogwoodlb_liveness::Departure;
use hyper::http::response::Parts;

/// How a node learned that a replica is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Source {
    /// From the replica's entry in the store.
    Directory,
    /// From a response of the replica to this node.
    Response,
    /// From another node, which had a response of the replica this long ago.
    Peer { age_ms: u64 },
}

impl Source {
    fn as_str(self) -> &'static str {
        match self {
            Self::Directory => "directory",
            Self::Response => "response",
            Self::Peer { .. } => "peer",
        }
    }

    /// Returns how long another node has known it, in milliseconds.
    fn age_ms(self) -> u64 {
        match self {
            Self::Directory | Self::Response => 0,
            Self::Peer { age_ms } => age_ms,
        }
    }
}

/// Logs and counts a replica that became known as leaving.
pub(crate) fn record(cluster: &ClusterState, replica: &str, service: &str, source: Source) {
    let (age_ms, source) = (source.age_ms(), source.as_str());
    cluster.metrics.count_departure(source);
    tracing::info!(replica, service, source, age_ms, "replica_leaving");
}

/// Reads from a response whether the replica that sent it is leaving. `born_ms` is the incarnation
/// that the request was addressed to. The caller has checked that the response answers the request.
pub(crate) fn observe(
    cluster: &ClusterState,
    names: &HeaderNames,
    replica: &str,
    born_ms: i64,
    response: &Parts,
) {
    if is_misdirected(names, response) || !is_leaving(names, &response.headers) {
        return;
    }
    if mark(cluster, replica, born_ms, Source::Response) {
        let mut outbox = cluster.outbox.borrow_mut();
        outbox.push(replica, born_ms, clock::now());
    }
}

/// Believes another node that a replica is leaving.
pub(crate) fn on_report(cluster: &ClusterState, departure: &Departure) {
    let source = Source::Peer {
        age_ms: departure.age_ms,
    };
    mark(cluster, &departure.replica, departure.born_ms, source);
}

/// Marks an incarnation of a replica as leaving. Returns whether the replica had not said so before.
fn mark(cluster: &ClusterState, replica: &str, born_ms: i64, source: Source) -> bool {
    let mut directory = cluster.directory.borrow_mut();
    if !directory.mark_leaving(replica, born_ms, clock::now()) {
        return false;
    }
    let entry = directory.get(replica).cloned();
    drop(directory);
    // What the entry says has become known with the entry.
    let is_in_entry = entry
        .as_ref()
        .is_some_and(|entry| entry.born_ms == born_ms && entry.stage == Stage::Draining);
    if !is_in_entry {
        let service = entry.map(|entry| entry.service).unwrap_or_default();
        record(cluster, replica, &service, source);
    }
    cluster.notify_changed();
    true
}
