//! The adaptive concurrency limit of an upstream.

use dogwoodlb_limit::{AdaptiveLimit, Signal};
use dogwoodlb_types::Instant;
use std::time::Duration;

/// Keeps the limit fully used at an upstream with `slots` slots, whose latency grows with its
/// queue, and returns the resulting limit.
fn simulate(limit: &mut AdaptiveLimit, slots: u64, from: u64, seconds: u64) -> u32 {
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

/// The limit must follow the capacity of the upstream in both directions.
#[test]
fn follows_capacity() {
    let mut limit = AdaptiveLimit::new(1, 1_000, 4);
    let large = simulate(&mut limit, 100, 0, 30);
    assert!((80..=220).contains(&large), "limit {large} for 100 slots");
    let small = simulate(&mut limit, 10, 30_000, 30);
    assert!((5..=30).contains(&small), "limit {small} for 10 slots");
    let again = simulate(&mut limit, 100, 60_000, 30);
    assert!((80..=220).contains(&again), "limit {again} for 100 slots");
}

/// An overload reported by every request in flight must decrease the limit only once.
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

/// The limit must not grow while it is unused, because it would then admit a burst.
#[test]
fn unused_limit() {
    let mut limit = AdaptiveLimit::new(1, 100, 10);
    for milli in 0..10_000 {
        let signal = Signal::Latency(Duration::from_millis(20));
        limit.on_end(signal, 2, Instant::from_millis(milli));
    }
    assert_eq!(limit.get(), 10);
}

/// The limit must recover after a swap to slower weights, once the old minimum latency
/// has left the window.
#[test]
fn slower_weights() {
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

/// Regression test: with a minimum latency of 1 ms, the usual latency of a batching engine, about
/// 10 ms, was taken for overload, and the limit of both engines in the demo fell to two.
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

/// Regression test: prefix cache misses, which add 250 ms to every fourth response, were taken
/// for queueing, and the limit fell to its minimum at a nearly idle engine.
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

/// A queue must be detected although the latency varies: every response is delayed by 300 ms,
/// and every fourth by another 250 ms.
#[test]
fn queue_with_cache_misses() {
    let mut limit = AdaptiveLimit::new(2, 64, 16);
    for number in 0..400 {
        let queue = if number < 40 { 0 } else { 300 };
        let latency = queue + if number % 4 == 0 { 280 } else { 30 };
        let signal = Signal::Latency(Duration::from_millis(latency));
        limit.on_end(signal, 16, Instant::from_millis(number * 50));
    }
    assert_eq!(limit.get(), 2);
}

/// Regression test: after an overload the limit stayed at its minimum for minutes, because
/// responses that take seconds are infrequent and each added less than a slot.
#[test]
fn fast_recovery() {
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
