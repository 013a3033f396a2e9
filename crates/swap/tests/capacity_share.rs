//! A swap must leave capacity for customers, respect the rate of the weight store, and not start
//! shortly before a quiet hour.

#[expect(dead_code, reason = "each test file uses a part of the harness")]
#[path = "support/harness.rs"]
mod harness;

use dogwoodlb_swap::{Outcome, Replica};
use harness::{name, Harness};
use rstest::rstest;
use std::time::Duration;

const LOAD_MS: u64 = 3_000;
const UNLIMITED: (u32, u32) = (1_000, 1_000);

/// Runs a swap in which every load takes 3 s; returns the start times and the maximum number of
/// concurrent loads.
fn run(harness: &mut Harness, limit_ms: u64) -> (Vec<u64>, usize) {
    let (mut starts, mut loading) = (Vec::new(), Vec::new());
    let mut max_loading = 0;
    let end = harness.now_ms + limit_ms;
    while harness.now_ms < end {
        for sent in harness.step().0 {
            harness.served[sent.engine].1 = Some(2);
            loading.push((sent.at_ms + LOAD_MS, sent.engine));
            starts.push(sent.at_ms);
            harness.result(&sent, Outcome::Accepted);
        }
        max_loading = max_loading.max(loading.len());
        for (_, engine) in loading.extract_if(.., |(done, _)| *done <= harness.now_ms) {
            harness.served[engine] = (Some(2), None);
        }
    }
    (starts, max_loading)
}

/// No more replicas may swap at once than the configured share, but at least one always may.
#[rstest]
#[case(250, 2)]
#[case(500, 4)]
#[case(1_000, 8)]
#[case(1, 1)]
fn bounded_share(#[case] share: u32, #[case] expected: usize) {
    let mut harness = Harness::new(8, true, share, UNLIMITED);
    let (starts, max_loading) = run(&mut harness, 60_000);
    assert_eq!((starts.len(), max_loading), (8, expected));
    assert_eq!(harness.swap.progress().settled, 8);
}

/// Loads must not start faster than the weight store can serve them.
#[test]
fn start_rate() {
    let mut harness = Harness::new(20, true, 1_000, (2, 3));
    let (starts, _) = run(&mut harness, 60_000);
    assert_eq!(starts.len(), 20);
    for start in &starts {
        let within = |at: &&u64| **at >= *start && **at < start + 1_000;
        let count = starts.iter().filter(within).count();
        assert!(
            count <= 5,
            "{count} starts within 1 s exceed the rate of 2/s plus the burst of 3"
        );
    }
}

/// A replica that serves no version must be ordered first, because it cannot serve customers.
#[test]
fn unloaded_replica() {
    let mut harness = Harness::new(4, true, 1, UNLIMITED);
    harness.served[2].0 = None;
    let engines: Vec<usize> = harness
        .orders(5_000)
        .iter()
        .map(|sent| sent.engine)
        .collect();
    assert_eq!(engines, [2]);
}

/// A replica that is executing an order of a previous holder must count towards the limit.
#[test]
fn external_load() {
    let mut harness = Harness::new(2, true, 1, UNLIMITED);
    harness.served[1].1 = Some(2);
    assert!(harness.orders(5_000).is_empty());
    harness.served[1] = (Some(2), None);
    assert_eq!(harness.order().engine, 0);
}

/// A replica that stops responding during a swap must not block the others.
#[test]
fn silent_replica() {
    let mut harness = Harness::new(2, true, 1, UNLIMITED);
    let first = harness.order();
    harness.result(&first, Outcome::Accepted);
    harness.silent = Some(first.engine);
    let next = harness.order();
    assert_ne!(next.engine, first.engine);
    let waited = next.at_ms - first.at_ms;
    assert!((10_000..=15_000).contains(&waited), "{waited} ms");
}

/// No order may be sent if the swap could reach into a quiet hour.
#[test]
fn quiet_hour() {
    let mut harness = Harness::new(8, true, 1_000, UNLIMITED);
    harness.is_quiet = true;
    assert!(harness.orders(60_000).is_empty());
    // The time in transit is included in the duration.
    assert_eq!(
        harness.checked_duration.get(),
        Duration::from_millis(11_000)
    );
    harness.is_quiet = false;
    assert_eq!(harness.orders(200).len(), 8);
}

/// A list that is too long must not replace a valid one.
#[test]
fn too_many_replicas() {
    let mut harness = Harness::one();
    let (upstream, checks_fencing) = (name(0), true);
    let replica = Replica {
        upstream,
        checks_fencing,
    };
    assert!(harness.swap.set_replicas(&vec![replica; 4_097]).is_err());
    assert_eq!(harness.swap.progress().replicas, 1);
}
