//! Guards against a failed swap that is never repeated, repeated without end, or repeated
//! under a new id while the first order may still be carried out.

#[expect(dead_code, reason = "each test file uses a part of the bench")]
#[path = "support/bench.rs"]
mod bench;

use bench::{name, target, Bench};
use dogwoodlb_swap::{Action, Category, Outcome};
use dogwoodlb_types::id;
use rstest::rstest;

/// A lost reply, or a result that the shell never reports, leaves open whether the engine took
/// the order: the repetition has its id.
#[rstest]
#[case(Some(Outcome::Unknown))]
#[case(None)]
fn lost_reply(#[case] outcome: Option<Outcome>) {
    let mut bench = Bench::one();
    let first = bench.order();
    if let Some(outcome) = outcome {
        bench.result(&first, outcome);
    }
    let second = bench.order();
    assert_eq!(second.order.order, first.order.order);
    assert!(second.order.not_after_ms > first.order.not_after_ms);
    assert!(second.at_ms >= first.at_ms + 1_000);
}

/// An engine ignores an id that it has seen, so an attempt after a failure needs a new one.
#[rstest]
#[case(Outcome::Refused)]
#[case(Outcome::NotSent)]
#[case(Outcome::Accepted)]
fn new_attempt(#[case] outcome: Outcome) {
    let mut bench = Bench::one();
    let first = bench.order();
    bench.result(&first, outcome);
    assert_ne!(bench.order().order.order, first.order.order);
}

/// A load that is still running is given its whole time.
#[test]
fn slow_load() {
    let mut bench = Bench::one();
    let sent = bench.order();
    bench.result(&sent, Outcome::Accepted);
    bench.served[0].1 = Some(2);
    assert!(bench.orders(9_500).is_empty());
    assert!(!bench.orders(5_000).is_empty());
}

fn fail_until_excluded(bench: &mut Bench) -> Vec<u64> {
    let mut starts = Vec::new();
    for _ in 0..1_200 {
        let (orders, reports) = bench.step();
        for sent in orders {
            starts.push(sent.at_ms);
            bench.result(&sent, Outcome::Refused);
        }
        if let Some(Action::Excluded { attempts, .. }) = reports.first() {
            assert_eq!(*attempts, 5);
            return starts;
        }
    }
    panic!("not excluded after {} attempts", starts.len());
}

#[test]
fn exclusion() {
    let mut bench = Bench::one();
    let starts = fail_until_excluded(&mut bench);
    assert_eq!(starts.len(), 5);
    for (index, pair) in starts.windows(2).enumerate() {
        assert!(pair[1] - pair[0] >= 1_000 << index, "{starts:?}");
    }
    assert_eq!(bench.swap.excluded().count(), 1);
    assert!(bench.orders(120_000).is_empty());

    bench.swap.set_target(target(3)).unwrap();
    assert_eq!(bench.swap.excluded().count(), 0);
    let sent = bench.order();
    assert_eq!(sent.version, 3);

    // An operator may repair a replica by hand.
    bench.result(&sent, Outcome::Refused);
    fail_until_excluded(&mut bench);
    bench.served[0].0 = Some(3);
    assert!(bench.orders(3_000).is_empty());
    assert_eq!(bench.swap.progress().settled, 1);
    assert_eq!(bench.swap.excluded().count(), 0);
}

#[test]
fn newer_version() {
    let mut bench = Bench::one();
    bench.served[0].0 = Some(5);
    let mut reports = Vec::new();
    for _ in 0..300 {
        let (orders, newer) = bench.step();
        assert!(orders.is_empty(), "ordered back");
        reports.extend(newer);
    }
    let (upstream, version) = (name(0), id::Version(5));
    assert_eq!(reports, [Action::Newer { upstream, version }]);
}

#[test]
fn older_target() {
    let mut bench = Bench::one();
    let mut refuse = |target| bench.swap.set_target(target).unwrap_err().classify();
    assert_eq!(refuse(target(1)), Category::Older);
    let mut other = target(2);
    other.object = "weights/other".to_owned();
    assert_eq!(refuse(other), Category::Conflict);
    bench.swap.set_target(target(2)).unwrap();
    assert_eq!(bench.order().version, 2);
}

/// A newer target that comes during a load is ordered once the load has ended.
#[test]
fn overtaken_load() {
    let mut bench = Bench::one();
    let sent = bench.order();
    bench.result(&sent, Outcome::Accepted);
    bench.served[0].1 = Some(2);
    bench.swap.set_target(target(3)).unwrap();
    assert!(bench.orders(4_000).is_empty());
    bench.served[0] = (Some(2), None);
    assert_eq!(bench.order().version, 3);
}
