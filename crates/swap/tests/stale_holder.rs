//! Guards against orders of a node that no longer holds the lease, and against orders of a
//! new holder while those of the old one may still be on their way.

#[expect(dead_code, reason = "each test file uses a part of the bench")]
#[path = "support/bench.rs"]
mod bench;

use bench::{civil, name, Bench};
use dogwoodlb_swap::Outcome;
use dogwoodlb_types::{id, Instant};

#[test]
fn ended_guard() {
    let mut bench = Bench::one();
    // Orders last at most 1 s, so that one of a paused holder soon expires.
    let sent = bench.order();
    assert_eq!(sent.start_by, Instant::from_millis(sent.at_ms + 1_000));
    assert_eq!(sent.order.not_after_ms, civil(sent.at_ms + 1_000));
    bench.result(&sent, Outcome::NotSent);
    bench.is_quiet = true;
    bench.hold(1, 2_000);
    let until = bench.now_ms + 2_000;
    assert!(bench.orders(1_600).is_empty());
    bench.is_quiet = false;
    let sent = bench.order();
    assert_eq!(sent.start_by, Instant::from_millis(until));
    assert_eq!(sent.order.not_after_ms, civil(until));
    bench.result(&sent, Outcome::NotSent);
    assert!(bench.orders(60_000).is_empty());
    bench.hold(1, 5_740);
    assert!(!bench.orders(2_000).is_empty());
}

/// The old holder's last order can start at the end of its term and take 1 s.
#[test]
fn ignored_fencing() {
    let mut bench = Bench::new(1, false, 1_000, (1_000, 1_000));
    let start = bench.now_ms;
    let first = bench.order();
    assert_eq!(first.at_ms, start + 7_000);
    bench.hold(2, 1_000_000);
    let start = bench.now_ms;
    let second = bench.order();
    assert!(second.at_ms >= start + 7_000);
    assert_eq!(second.order.fence, id::Fence(2));
    assert_ne!(second.order.order, first.order.order);
    // A renewal of the same lease is no reason to wait again.
    bench.hold(2, 1_000_000);
    bench.result(&second, Outcome::NotSent);
    assert!(!bench.orders(3_000).is_empty());
}

/// A new holder knows nothing until the replica has reported to it.
#[test]
fn unread_replica() {
    let mut bench = Bench::one();
    let before = Instant::from_millis(bench.now_ms - 1);
    bench.swap.on_weights(&name(0), before, None, bench.now());
    bench.silent = Some(0);
    assert!(bench.orders(3_000).is_empty(), "ordered without a report");
    bench.silent = None;
    assert!(!bench.orders(3_000).is_empty());
}

#[test]
fn fenced_holder() {
    let mut bench = Bench::new(2, true, 1_000, (1_000, 1_000));
    let sent = bench.order();
    bench.result(&sent, Outcome::Fenced);
    assert!(bench.orders(30_000).is_empty());
    bench.hold(1, 1_000_000);
    assert!(bench.orders(30_000).is_empty());
    bench.hold(2, 1_000_000);
    assert_eq!(bench.order().order.fence, id::Fence(2));
}

/// A result that arrives after the lease was lost and won again belongs to an order that is
/// no longer open.
#[test]
fn late_result() {
    let mut bench = Bench::one();
    let old = bench.order();
    bench.hold(2, 1_000_000);
    let new = bench.order();
    bench.result(&old, Outcome::Fenced);
    bench.result(&new, Outcome::Refused);
    assert!(!bench.orders(5_000).is_empty());
}
