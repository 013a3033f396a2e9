//! Guards against leader roles that remain with a dead node, and against false detection of live
//! nodes as dead.

use dogwoodlb_liveness::{interval, Heartbeat, Peers, MIN_INTERVAL};
use dogwoodlb_types::Instant;
use std::time::Duration;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn heartbeat(node: &str, boot: u64, sequence: u64) -> Heartbeat {
    let peer = format!("10.0.0.{}:7700", node.len()).parse().unwrap();
    let mut heartbeat = Heartbeat::new(node, peer, peer);
    (heartbeat.boot, heartbeat.sequence) = (boot, sequence);
    heartbeat
}

#[test]
fn silent_node_is_not_eligible() {
    let mut peers = Peers::new("me");
    peers.on_heartbeat(heartbeat("a", 1, 1), at(0));
    assert!(peers.is_eligible("a", at(1_000)));
    assert!(!peers.is_eligible("a", at(1_200)));
}

#[test]
fn leaving_or_disconnected_node_is_not_eligible() {
    let mut peers = Peers::new("me");
    let mut leaving = heartbeat("a", 1, 1);
    leaving.leaving = true;
    peers.on_heartbeat(leaving, at(0));
    let mut disconnected = heartbeat("bb", 1, 1);
    disconnected.has_store = false;
    peers.on_heartbeat(disconnected, at(0));
    assert!(!peers.is_eligible("a", at(10)) && !peers.is_eligible("bb", at(10)));
    assert_eq!(peers.rank("role", &heartbeat("me", 1, 1), at(10)), 0);
}

#[test]
fn late_heartbeats_are_ignored() {
    let mut peers = Peers::new("me");
    assert!(peers.on_heartbeat(heartbeat("a", 2, 1), at(0)));
    assert!(
        !peers.on_heartbeat(heartbeat("a", 1, 9), at(500)),
        "an earlier run"
    );
    assert!(
        !peers.on_heartbeat(heartbeat("a", 2, 1), at(900)),
        "a repeated heartbeat"
    );
    assert!(!peers.is_live("a", at(1_200)));
}

#[test]
fn own_pause_is_not_silence() {
    let mut peers = Peers::new("me");
    peers.on_heartbeat(heartbeat("a", 1, 1), at(0));
    peers.tick(at(100), MIN_INTERVAL);
    peers.tick(at(5_000), MIN_INTERVAL);
    assert!(
        peers.is_live("a", at(5_000)),
        "no heartbeat can arrive during the pause"
    );
    assert!(!peers.is_live("a", at(7_000)));
}

#[test]
fn node_near_store_ranks_first() {
    let mut peers = Peers::new("me");
    let mut near = heartbeat("a", 1, 1);
    near.near_store = true;
    peers.on_heartbeat(near, at(0));
    assert_eq!(peers.rank("role", &heartbeat("me", 1, 1), at(0)), 1);
}

/// Guards against a service that a node with a small part of a processor leads while a larger one is
/// eligible, whatever their names: the leader runs the batches of all models.
#[test]
fn larger_node_ranks_first() {
    let names = ["n1", "node-2", "the-third", "z"];
    for small in names {
        for large in names.into_iter().filter(|name| *name != small) {
            for (small_is_near, large_is_near) in [(false, false), (true, true), (true, false)] {
                let node = |name, cpu_millis, near_store| Heartbeat {
                    cpu_millis,
                    near_store,
                    ..heartbeat(name, 1, 1)
                };
                let small = node(small, 90, small_is_near);
                let large = node(large, 500, large_is_near);
                let mut peers = Peers::new(&large.node);
                peers.on_heartbeat(small.clone(), at(0));
                assert_eq!(peers.rank("role", &large, at(0)), 0, "{small:?} {large:?}");
            }
        }
    }
}

#[test]
fn interval_grows_with_nodes() {
    assert_eq!(interval(11), MIN_INTERVAL);
    assert_eq!(interval(320), Duration::from_secs(5));
}

/// Guards against sending callers to a stopped machine until it is considered dead, which took 7 s
/// with many nodes.
#[test]
fn unlisted_early() {
    let mut peers = Peers::new("me");
    let mut slow = heartbeat("a", 1, 1);
    slow.interval_ms = 1_000;
    peers.on_heartbeat(slow, at(0));
    assert_eq!(peers.routable(at(2_400)).count(), 1);
    assert_eq!(peers.routable(at(2_600)).count(), 0);
    assert!(peers.is_live("a", at(2_600)));
}

/// Guards against an interval longer than the pause threshold, with which every tick was taken for
/// a pause and no node was ever detected as dead.
#[test]
fn slow_ticks() {
    let mut peers = Peers::new("me");
    peers.on_heartbeat(heartbeat("a", 1, 1), at(0));
    for second in 0..10 {
        peers.tick(at(second * 1_000), Duration::from_secs(1));
    }
    assert_eq!(peers.routable(at(9_000)).count(), 0);
    assert!(!peers.is_live("a", at(9_000)));
}
