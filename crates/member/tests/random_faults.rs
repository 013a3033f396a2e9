//! The membership must converge after any combination of packet loss, pauses, restarts, crashes
//! and a partition.

#[expect(dead_code, reason = "each test file uses a part of the cluster")]
#[path = "support/cluster.rs"]
mod cluster;

use cluster::{Cluster, NodeStatus};
use rand::RngExt;

/// Upper bound for the time from the last fault until all running nodes agree.
const CONVERGENCE_MS: u64 = 60_000;

/// Pauses, crashes or restarts a random node.
fn inject_fault(cluster: &mut Cluster) {
    let index = cluster.rng.random_range(0..11);
    let pause = cluster.rng.random_range(500..12_000);
    match (cluster.rng.random_range(0..4), cluster.status[index]) {
        (_, NodeStatus::PausedUntil(_)) => {}
        (0, NodeStatus::Running) => {
            cluster.status[index] = NodeStatus::PausedUntil(cluster.now_ms + pause)
        }
        (1, NodeStatus::Running) if cluster.running().len() > 4 => {
            cluster.status[index] = NodeStatus::Down
        }
        _ => cluster.restart(index),
    }
}

/// Runs 90 s with random faults and 20% packet loss, 25 s of them with a third of the nodes in a
/// separate partition.
#[test]
fn converges_after_faults() {
    let mut slowest = 0;
    for seed in 0..40 {
        let mut cluster = Cluster::new(11, seed);
        cluster.loss = 0.2;
        let split_at = cluster.rng.random_range(0..60);
        for second in 0..90 {
            let is_split = (split_at..split_at + 25).contains(&second);
            cluster.side = (0..11)
                .map(|index| index % 3 / 2 * usize::from(is_split))
                .collect();
            if cluster.rng.random_bool(0.3) {
                inject_fault(&mut cluster);
            }
            cluster.advance(1_000);
        }
        cluster.side = vec![0; 11];
        cluster.loss = 0.0;
        let converged_after = cluster.advance_until(CONVERGENCE_MS, |cluster| {
            let is_paused = |status: &NodeStatus| matches!(status, NodeStatus::PausedUntil(_));
            !cluster.status.iter().any(is_paused) && cluster.is_converged()
        });
        slowest = slowest.max(converged_after);
        cluster.advance(20_000);
        assert!(
            cluster.is_converged(),
            "seed {seed}: did not stay converged"
        );
    }
    println!("slowest convergence after the last fault: {slowest} ms");
}

/// After a long partition both sides must rediscover each other, although each has declared the
/// other dead and no longer disseminates that update.
#[test]
fn long_partition() {
    let mut cluster = Cluster::new(60, 1);
    cluster.side = (0..60).map(|index| index / 40).collect();
    cluster.advance(60_000);
    let lists = cluster.nodes.iter().map(|node| node.live().len());
    let sides = cluster.side.iter().map(|side| [40, 20][*side]);
    assert!(lists.eq(sides));
    cluster.side = vec![0; 60];
    let converged_after = cluster.advance_until(10_000, Cluster::is_converged);
    println!("60 nodes: converged {converged_after} ms after a long partition");
}
