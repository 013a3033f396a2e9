//! Guards against a swap that takes the capacity of customers, exceeds the rate of the weight
//! store, or starts when a quiet hour is near.

#[expect(dead_code, reason = "each test file uses a part of the bench")]
#[path = "support/bench.rs"]
mod bench;

use bench::{name, Bench};
use dogwoodlb_swap::{Outcome, Replica};
use rstest::rstest;
use std::time::Duration;

const LOAD_MS: u64 = 3_000;
const UNLIMITED: (u32, u32) = (1_000, 1_000);

/// Runs a swap in which every load takes 3 s; returns the starts and the most at once.
fn run(bench: &mut Bench, limit_ms: u64) -> (Vec<u64>, usize) {
    let (mut starts, mut loading) = (Vec::new(), Vec::new());
    let mut most = 0;
    let end = bench.now_ms + limit_ms;
    while bench.now_ms < end {
        for sent in bench.step().0 {
            bench.served[sent.engine].1 = Some(2);
            loading.push((sent.at_ms + LOAD_MS, sent.engine));
            starts.push(sent.at_ms);
            bench.result(&sent, Outcome::Accepted);
        }
        most = most.max(loading.len());
        for (_, engine) in loading.extract_if(.., |(done, _)| *done <= bench.now_ms) {
            bench.served[engine] = (Some(2), None);
        }
    }
    (starts, most)
}

#[rstest]
#[case(250, 2)]
#[case(500, 4)]
#[case(1_000, 8)]
#[case(1, 1)]
fn bounded_share(#[case] share: u32, #[case] expected: usize) {
    let mut bench = Bench::new(8, true, share, UNLIMITED);
    let (starts, most) = run(&mut bench, 60_000);
    assert_eq!((starts.len(), most), (8, expected));
    assert_eq!(bench.swap.progress().settled, 8);
}

#[test]
fn start_rate() {
    let mut bench = Bench::new(20, true, 1_000, (2, 3));
    let (starts, _) = run(&mut bench, 60_000);
    assert_eq!(starts.len(), 20);
    for start in &starts {
        let within = |at: &&u64| **at >= *start && **at < start + 1_000;
        let count = starts.iter().filter(within).count();
        assert!(
            count <= 5,
            "{count} starts, more than 2/s and the burst of 3"
        );
    }
}

/// A replica that serves no version at all is of no use to customers and comes first.
#[test]
fn empty_replica() {
    let mut bench = Bench::new(4, true, 1, UNLIMITED);
    bench.served[2].0 = None;
    let engines: Vec<usize> = bench.orders(5_000).iter().map(|sent| sent.engine).collect();
    assert_eq!(engines, [2]);
}

/// A replica that is loading for an earlier holder counts as busy.
#[test]
fn foreign_load() {
    let mut bench = Bench::new(2, true, 1, UNLIMITED);
    bench.served[1].1 = Some(2);
    assert!(bench.orders(5_000).is_empty());
    bench.served[1] = (Some(2), None);
    assert_eq!(bench.order().engine, 0);
}

/// A replica that stops answering in the middle of a swap must not block the others.
#[test]
fn silent_replica() {
    let mut bench = Bench::new(2, true, 1, UNLIMITED);
    let first = bench.order();
    bench.result(&first, Outcome::Accepted);
    bench.silent = Some(first.engine);
    let next = bench.order();
    assert_ne!(next.engine, first.engine);
    let waited = next.at_ms - first.at_ms;
    assert!((10_000..=15_000).contains(&waited), "{waited} ms");
}

#[test]
fn quiet_hour() {
    let mut bench = Bench::new(8, true, 1_000, UNLIMITED);
    bench.is_quiet = true;
    assert!(bench.orders(60_000).is_empty());
    // The time on the way counts towards the longest duration.
    assert_eq!(bench.asked.get(), Duration::from_millis(11_000));
    bench.is_quiet = false;
    assert_eq!(bench.orders(200).len(), 8);
}

#[test]
fn too_many() {
    let mut bench = Bench::one();
    let (upstream, checks_fencing) = (name(0), true);
    let replica = Replica {
        upstream,
        checks_fencing,
    };
    assert!(bench.swap.set_replicas(&vec![replica; 4_097]).is_err());
    assert_eq!(bench.swap.progress().replicas, 1);
}
