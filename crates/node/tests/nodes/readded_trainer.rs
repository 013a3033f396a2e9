//! Guards against a trainer that no node owns.

use crate::nodes::cluster::{call_until, commit, wait_for, Cluster};
use serde_json::json;
use std::sync::atomic::Ordering;

/// The lease of a trainer that was removed from the manifest, and added again before the thread that
/// renews the lease had noticed, was renewed for an owner that had ended, so that no node could own
/// the trainer.
#[test]
fn readded_during_renewal() {
    const SESSIONS: &str = "/v1/trainers/weld/sessions";
    let cluster = Cluster::start(false);
    let address = cluster.address;
    call_until(address, "POST", SESSIONS, &json!({}), 200);
    cluster.leases.is_slow.store(true, Ordering::SeqCst);
    wait_for("a renewal", || {
        cluster.leases.is_waiting.load(Ordering::SeqCst)
    });
    commit(address, 1, &cluster.manifests[1]);
    call_until(address, "POST", SESSIONS, &json!({}), 404);
    commit(address, 2, &cluster.manifests[0]);
    cluster.leases.is_slow.store(false, Ordering::SeqCst);
    call_until(address, "POST", SESSIONS, &json!({}), 200);
    cluster.node.kill();
}
