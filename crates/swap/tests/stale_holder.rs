//! A node that no longer holds the lease must not send orders, and a new holder must not send any
//! while those of the previous holder may still be in transit.

#[expect(dead_code, reason = "each test file uses a part of the harness")]
#[path = "support/harness.rs"]
mod harness;

use dogwoodlb_swap::Outcome;
use dogwoodlb_types::{id, Instant};
use harness::{name, wall_clock, Harness};

/// No order may be sent after the end of the lease; an order's own expiry must not exceed it.
#[test]
fn expired_lease() {
    let mut harness = Harness::one();
    // Orders are valid for at most 1 s, so that an order of a paused holder expires soon.
    let sent = harness.order();
    assert_eq!(sent.start_by, Instant::from_millis(sent.at_ms + 1_000));
    assert_eq!(sent.order.not_after_ms, wall_clock(sent.at_ms + 1_000));
    harness.result(&sent, Outcome::NotSent);
    harness.is_quiet = true;
    harness.hold(1, 2_000);
    let until = harness.now_ms + 2_000;
    assert!(harness.orders(1_600).is_empty());
    harness.is_quiet = false;
    let sent = harness.order();
    assert_eq!(sent.start_by, Instant::from_millis(until));
    assert_eq!(sent.order.not_after_ms, wall_clock(until));
    harness.result(&sent, Outcome::NotSent);
    assert!(harness.orders(60_000).is_empty());
    harness.hold(1, 5_740);
    assert!(!harness.orders(2_000).is_empty());
}

/// The previous holder's last order can be sent at the end of its term and take 1 s.
#[test]
fn ignored_fencing() {
    let mut harness = Harness::new(1, false, 1_000, (1_000, 1_000));
    let start = harness.now_ms;
    let first = harness.order();
    assert_eq!(first.at_ms, start + 7_000);
    harness.hold(2, 1_000_000);
    let start = harness.now_ms;
    let second = harness.order();
    assert!(second.at_ms >= start + 7_000);
    assert_eq!(second.order.fence, id::Fence(2));
    assert_ne!(second.order.order, first.order.order);
    // Renewing the same lease does not restart the wait.
    harness.hold(2, 1_000_000);
    harness.result(&second, Outcome::NotSent);
    assert!(!harness.orders(3_000).is_empty());
}

/// A new holder must not send an order before it has read the replica itself.
#[test]
fn unread_replica() {
    let mut harness = Harness::one();
    let before = Instant::from_millis(harness.now_ms - 1);
    harness
        .swap
        .on_weights(&name(0), before, None, harness.now());
    harness.silent = Some(0);
    assert!(
        harness.orders(3_000).is_empty(),
        "order sent without a report"
    );
    harness.silent = None;
    assert!(!harness.orders(3_000).is_empty());
}

/// After an engine has refused its fencing token, a holder must send no order until it is granted
/// the lease with a higher one.
#[test]
fn fenced_holder() {
    let mut harness = Harness::new(2, true, 1_000, (1_000, 1_000));
    let sent = harness.order();
    harness.result(&sent, Outcome::Fenced);
    assert!(harness.orders(30_000).is_empty());
    harness.hold(1, 1_000_000);
    assert!(harness.orders(30_000).is_empty());
    harness.hold(2, 1_000_000);
    assert_eq!(harness.order().order.fence, id::Fence(2));
}

/// A result that arrives after the lease was lost and granted again must be ignored, because its
/// order is no longer pending.
#[test]
fn late_result() {
    let mut harness = Harness::one();
    let old = harness.order();
    harness.hold(2, 1_000_000);
    let new = harness.order();
    harness.result(&old, Outcome::Fenced);
    harness.result(&new, Outcome::Refused);
    assert!(!harness.orders(5_000).is_empty());
}
