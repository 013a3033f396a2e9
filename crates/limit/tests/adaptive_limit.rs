//! The concurrency limit of an upstream.

use dogwoodlb_limit::{Adaptive, Signal};
use dogwoodlb_types::Instant;
use std::time::Duration;

/// Sends as much as the limit allows to an upstream with some slots, whose latency grows with
/// its queue, and returns the limit.
fn settle(limit: &mut Adaptive, slots: u64, from: u64, seconds: u64) -> u32 {
    let mut now = from;
    while now < from + seconds * 1_000 {
        let sent = limit.get();
        let latency = 50 * u64::from(sent).max(slots) / slots;
        now += latency;
        for _ in 0..sent {
            let signal = Signal::Latency(Duration::from_millis(latency));
            limit.on_end(signal, sent, Instant::from_millis(now));
        }
    }
    limit.get()
}

/// A limit that stays low on a fast upstream, or fills the queue of a slow one.
#[test]
fn follows_capacity() {
    let mut limit = Adaptive::new(1, 1_000, 4);
    let large = settle(&mut limit, 100, 0, 30);
    assert!((80..=220).contains(&large), "limit {large} for 100 slots");
    let small = settle(&mut limit, 10, 30_000, 30);
    assert!((5..=30).contains(&small), "limit {small} for 10 slots");
    let again = settle(&mut limit, 100, 60_000, 30);
    assert!((80..=220).contains(&again), "limit {again} for 100 slots");
}

/// One overload, reported by every request in flight, taken for many.
#[test]
fn single_decrease() {
    let mut limit = Adaptive::new(2, 100, 50);
    for _ in 0..40 {
        limit.on_end(Signal::Overload, 50, Instant::from_millis(1_000));
    }
    assert_eq!(limit.get(), 40);
    for second in 2..60 {
        limit.on_end(Signal::Overload, 1, Instant::from_millis(second * 1_000));
    }
    assert_eq!(limit.get(), 2);
}

/// A limit that grows without use and then admits a burst.
#[test]
fn unused_limit() {
    let mut limit = Adaptive::new(1, 100, 10);
    for milli in 0..10_000 {
        let signal = Signal::Latency(Duration::from_millis(20));
        limit.on_end(signal, 2, Instant::from_millis(milli));
    }
    assert_eq!(limit.get(), 10);
}

/// A weight swap to a slower model that leaves the limit at its floor for ever.
#[test]
fn slower_baseline() {
    let mut limit = Adaptive::new(1, 100, 10);
    for milli in 0..400_000u64 {
        let latency = if milli < 60_000 { 10 } else { 40 };
        let signal = Signal::Latency(Duration::from_millis(latency));
        limit.on_end(signal, limit.get(), Instant::from_millis(milli));
        if milli == 100_000 {
            assert_eq!(limit.get(), 1);
        }
    }
    assert_eq!(limit.get(), 100);
}
