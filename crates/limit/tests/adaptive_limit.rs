//! The concurrency limit of an upstream.

use dogwoodlb_limit::{AdaptiveLimit, Signal};
use dogwoodlb_types::Instant;
use std::time::Duration;

/// Sends as much as the limit allows to an upstream with some slots, whose latency grows with
/// its queue, and returns the limit.
fn settle(limit: &mut AdaptiveLimit, slots: u64, from: u64, seconds: u64) -> u32 {
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
    let mut limit = AdaptiveLimit::new(1, 1_000, 4);
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
    let mut limit = AdaptiveLimit::new(2, 100, 50);
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
    let mut limit = AdaptiveLimit::new(1, 100, 10);
    for milli in 0..10_000 {
        let signal = Signal::Latency(Duration::from_millis(20));
        limit.on_end(signal, 2, Instant::from_millis(milli));
    }
    assert_eq!(limit.get(), 10);
}

/// A weight swap to a slower model that leaves the limit at its floor forever.
#[test]
fn slower_baseline() {
    let mut limit = AdaptiveLimit::new(1, 100, 10);
    for milli in 0..400_000u64 {
        let latency = if milli < 60_000 { 10 } else { 80 };
        let signal = Signal::Latency(Duration::from_millis(latency));
        limit.on_end(signal, limit.get(), Instant::from_millis(milli));
        if milli == 100_000 {
            assert_eq!(limit.get(), 1);
        }
    }
    assert_eq!(limit.get(), 100);
}

/// Guards against a limit that collapses at a fast upstream: with a best latency of 1 ms,
/// the usual latency of a batching engine, some 10 ms, was taken for overload, and the two
/// engines of the demo got two requests each.
#[test]
fn short_latency() {
    let mut limit = AdaptiveLimit::new(2, 64, 16);
    limit.on_end(
        Signal::Latency(Duration::from_millis(1)),
        16,
        Instant::from_millis(0),
    );
    for number in 1..200 {
        let now = Instant::from_millis(number * 100);
        limit.on_end(Signal::Latency(Duration::from_millis(12)), 16, now);
    }
    assert!(limit.get() >= 16, "the limit fell to {}", limit.get());
}

/// Guards against prompts that miss the prefix cache taken for a queue: every fourth answer
/// needs 250 ms more, and the limit fell to its floor at an engine that was nearly idle.
#[test]
fn cache_misses() {
    let mut limit = AdaptiveLimit::new(2, 64, 16);
    for number in 0..400 {
        let latency = if number % 4 == 0 { 280 } else { 30 };
        let signal = Signal::Latency(Duration::from_millis(latency));
        limit.on_end(signal, 16, Instant::from_millis(number * 50));
    }
    assert!(limit.get() >= 16, "the limit fell to {}", limit.get());
}

/// Guards against a queue that is overlooked because the latency varies: every answer waits
/// 300 ms, and every fourth 250 ms more.
#[test]
fn varied_queue() {
    let mut limit = AdaptiveLimit::new(2, 64, 16);
    for number in 0..400 {
        let queue = if number < 40 { 0 } else { 300 };
        let latency = queue + if number % 4 == 0 { 280 } else { 30 };
        let signal = Signal::Latency(Duration::from_millis(latency));
        limit.on_end(signal, 16, Instant::from_millis(number * 50));
    }
    assert_eq!(limit.get(), 2);
}

/// Guards against a limit that stays at its floor for minutes after an overload: answers of
/// some seconds are few, and each added less than a slot.
#[test]
fn fast_return() {
    let mut limit = AdaptiveLimit::new(2, 64, 16);
    for second in 1..60 {
        limit.on_end(Signal::Overload, 1, Instant::from_millis(second * 1_000));
    }
    assert_eq!(limit.get(), 2);
    for second in 60..80 {
        let signal = Signal::Latency(Duration::from_millis(30));
        limit.on_end(signal, limit.get(), Instant::from_millis(second * 1_000));
    }
    assert!((16..20).contains(&limit.get()), "limit {}", limit.get());
}
