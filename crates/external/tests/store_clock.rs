//! Guards against a store's clock that is trusted although it has jumped, or not trusted although it
//! is steady.

use dogwoodlb_external::store::{Clock, Jump};
use dogwoodlb_types::Instant;
use std::time::Duration;

const LATENCY: Duration = Duration::from_millis(10);

/// Records a reading of a response that arrives at `now_ms`.
fn record(clock: &mut Clock, now_ms: u64, store_ms: u64) -> Option<Jump> {
    let now = Instant::from_millis(now_ms);
    clock.record(now - LATENCY, now, store_ms)
}

fn steady_ms(clock: &Clock, now_ms: u64) -> u128 {
    clock.steady_for(Instant::from_millis(now_ms)).as_millis()
}

/// A node that has read no time must not act by one.
#[test]
fn unread_clock() {
    let clock = Clock::default();
    let now = Instant::from_millis(5_000);
    assert_eq!((clock.earliest_ms(now), clock.latest_ms(now)), (None, None));
    assert_eq!(steady_ms(&clock, 5_000), 0);
}

/// The bounds contain all times that the readings allow, and no others.
#[test]
fn narrowed_bounds() {
    let mut clock = Clock::default();
    record(&mut clock, 1_000, 70_000);
    // The response took 6 ms less of the 10 ms than the first one.
    record(&mut clock, 2_000, 71_006);
    let now = Instant::from_millis(3_000);
    assert_eq!(clock.earliest_ms(now), Some(72_006));
    assert_eq!(clock.latest_ms(now), Some(72_010));
    assert_eq!(steady_ms(&clock, 3_000), 2_000);
}

/// After a jump, the time since the last reading before it is unknown.
#[test]
fn forward_jump() {
    let mut clock = Clock::default();
    record(&mut clock, 1_000, 70_000);
    let jump = record(&mut clock, 2_000, 72_800);
    assert_eq!(jump, Some(Jump { ahead_ms: 1_790 }));
    assert_eq!(steady_ms(&clock, 2_500), 500);
    assert_eq!(clock.max_jump(), Duration::MAX);
    let now = Instant::from_millis(3_000);
    assert_eq!(clock.earliest_ms(now), Some(73_800));
}

/// A jump back, which may be followed by one ahead.
#[test]
fn backward_jump() {
    let mut clock = Clock::default();
    record(&mut clock, 1_000, 70_000);
    let jump = record(&mut clock, 2_000, 70_500);
    assert_eq!(jump, Some(Jump { ahead_ms: -490 }));
    assert_eq!(steady_ms(&clock, 2_500), 500);
    assert_eq!(clock.latest_ms(Instant::from_millis(2_000)), Some(70_510));
}

/// Clocks of different machines drift apart, which must not delay a new leader for ever.
#[test]
fn drifting_clocks() {
    let mut clock = Clock::default();
    for step in 0..100 {
        // The store's clock is 1% fast.
        let jump = record(&mut clock, 1_000 + step * 1_000, 70_000 + step * 1_010);
        assert_eq!(jump, None, "after {step} s");
    }
    assert_eq!(steady_ms(&clock, 100_000), 99_000);
}

/// A slow response allows many times and contradicts none of them.
#[test]
fn slow_response() {
    let mut clock = Clock::default();
    record(&mut clock, 1_000, 70_000);
    let (sent, received) = (Instant::from_millis(2_000), Instant::from_millis(4_000));
    assert_eq!(clock.record(sent, received, 71_050), None);
    assert_eq!(clock.earliest_ms(received), Some(73_000));
}
