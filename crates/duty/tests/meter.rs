//! Guards against requests that are counted in a wrong window, twice or not at all.

use dogwoodlb_duty::{add_up, Counts, Meter, Schedule, WallClock};
use dogwoodlb_types::Instant;
use rstest::rstest;
use std::time::Duration;

fn new_meter() -> Meter {
    Meter::new(Schedule {
        length: Duration::from_secs(5),
        decide_after: Duration::from_secs(4),
        keep: Duration::from_secs(60),
    })
}

#[test]
fn every_request_once() {
    let mut meter = new_meter();
    for unix_ms in [4_999, 5_000, 9_999, 10_000] {
        assert!(meter.count("a", unix_ms));
    }
    meter.count("b", 7_000);
    let counts: Vec<(u64, u64)> = meter
        .unwritten()
        .iter()
        .map(|write| (write.window, write.counts.values().sum()))
        .collect();
    assert_eq!(counts, [(0, 1), (1, 3), (2, 1)]);
    let nodes = meter.unwritten().into_iter().map(|write| write.counts);
    assert_eq!(
        add_up(nodes),
        Counts::from([("a".into(), 4), ("b".into(), 1)])
    );
}

/// A request that is counted during a write has to be written again, as the next version.
#[test]
fn counted_during_write() {
    let mut meter = new_meter();
    meter.count("a", 0);
    let write = meter.unwritten().remove(0);
    meter.count("a", 0);
    meter.on_written(&write, 7);
    let next = meter.unwritten().remove(0);
    assert_eq!((next.expected_version, next.counts["a"]), (7, 2));
    meter.on_written(&next, 8);
    assert!(meter.unwritten().is_empty());
}

/// Counts outlive an outage of the store, but not their report, and the lost ones are known.
#[test]
fn late_counts() {
    let mut meter = new_meter();
    meter.count("a", 1_000);
    meter.count("a", 6_000);
    assert_eq!(meter.advance(0, 60_000), 0);
    assert!(meter.has_unwritten_end(60_000));
    assert_eq!(meter.advance(1, 60_000), 1);
    assert!(!meter.count("a", 4_999), "the report is decided");
    assert_eq!(meter.advance(1, 70_001), 1);
    assert!(meter.unwritten().is_empty());
}

/// A step of the wall clock must not move requests to other windows, unless it lasts.
#[rstest]
#[case::drift(400, 1, 400)]
#[case::short_step(-9_000, 59, 0)]
#[case::lasting_step(-9_000, 61, -9_000)]
fn clock_steps(#[case] step_ms: i64, #[case] lasts_s: u64, #[case] expected_ms: i64) {
    let mut clock = WallClock::default();
    clock.read(1_000_000, Instant::from_millis(0));
    let mut read = 0;
    for second in 1..=lasts_s {
        let wall_ms = 1_000_000 + second * 1_000;
        let stepped = wall_ms.checked_add_signed(step_ms).unwrap();
        let now = Instant::from_millis(second * 1_000);
        read = clock.read(stepped, now).cast_signed() - wall_ms.cast_signed();
    }
    assert_eq!(read, expected_ms);
}
