//! Membership traffic must stay below the budget for all control traffic, 6 KB/s per node.

#[expect(dead_code, reason = "each test file uses a part of the cluster")]
#[path = "support/cluster.rs"]
mod cluster;

use cluster::{Cluster, NodeStatus};
use rstest::rstest;

const BUDGET_BYTES_PER_S: usize = 6_000;
const SECONDS: usize = 15;

/// Crashed peers cause indirect probes and updates, which must not exceed the budget either.
#[rstest]
#[case(11, 0)]
#[case(11, 3)]
#[case(320, 0)]
#[case(320, 32)]
fn steady_state(#[case] size: usize, #[case] crashed: usize) {
    let mut cluster = Cluster::new(size, 1);
    cluster.status[..crashed].fill(NodeStatus::Down);
    cluster.bytes.fill((0, 0));
    cluster.advance(SECONDS as u64 * 1_000);
    let sent = cluster.bytes.iter().map(|bytes| bytes.0).sum::<usize>();
    let sent = sent / (size - crashed) / SECONDS;
    let both = cluster.bytes.iter().map(|bytes| bytes.0 + bytes.1);
    let busiest = both.max().unwrap() / SECONDS;
    println!(
        "{size} nodes, {crashed} crashed: {sent} B/s sent per node on average, \
         {busiest} B/s sent and received by the busiest, IP and UDP headers included"
    );
    assert!(busiest < BUDGET_BYTES_PER_S, "{busiest} B/s");
}
