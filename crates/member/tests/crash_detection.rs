//! A crashed VM must be removed from the live list, and packet loss must not permanently remove
//! live VMs.

#[expect(dead_code, reason = "each test file uses a part of the cluster")]
#[path = "support/cluster.rs"]
mod cluster;

use cluster::{Cluster, NodeStatus};
use rstest::rstest;

/// At most 10 s until the peer's turn in the probing round, and 15 s for a probe, a suspicion
/// timeout extended by local health, and dissemination.
const DETECTION_MS: u64 = 25_000;

/// A crashed VM must disappear from the live lists of all others within the detection time, also
/// with packet loss.
#[rstest]
fn crashed_vm_unlisted(#[values(0.0, 0.2)] loss: f64) {
    let mut slowest = 0;
    for seed in 0..20 {
        let mut cluster = Cluster::new(11, seed);
        assert!(cluster.is_converged(), "seed {seed}");
        cluster.loss = loss;
        cluster.advance(10_000);
        let crashed = seed as usize % 11;
        cluster.status[crashed] = NodeStatus::Down;
        let detected_after =
            cluster.advance_until(DETECTION_MS, |cluster| !cluster.is_listed(crashed));
        slowest = slowest.max(detected_after);
    }
    println!("loss {loss}: slowest removal from all lists after {slowest} ms");
}

/// With 20% packet loss, live VMs must be missing from less than 0.1% of the lists, and from none
/// soon after the loss ends.
#[test]
fn loss_keeps_peers_listed() {
    let (mut missing, mut samples) = (0, 0);
    for seed in 0..10 {
        let mut cluster = Cluster::new(11, seed);
        cluster.loss = 0.2;
        for _ in 0..120 {
            cluster.advance(1_000);
            samples += 11 * 11;
            let listed = cluster.nodes.iter().map(|node| node.live().len());
            missing += 11 * 11 - listed.sum::<usize>();
        }
        cluster.loss = 0.0;
        cluster.advance_until(10_000, Cluster::is_converged);
    }
    println!("20% loss: {missing} of {samples} sampled list entries missing");
    // A higher rate would move leases between nodes without a fault.
    assert!(missing * 1_000 < samples, "{missing} of {samples}");
}
