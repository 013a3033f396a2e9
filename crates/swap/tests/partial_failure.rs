//! A failed order must be retried a limited number of times, and with the same id as long as the
//! first order may still be executed.

#[expect(dead_code, reason = "each test file uses a part of the harness")]
#[path = "support/harness.rs"]
mod harness;

use dogwoodlb_swap::{Action, Category, Outcome};
use dogwoodlb_types::id;
use harness::{name, target, Harness};
use rstest::rstest;

/// After a lost response or an unreported result the engine may have accepted the order, so the
/// retry must use the same id.
#[rstest]
#[case(Some(Outcome::Unknown))]
#[case(None)]
fn lost_reply(#[case] outcome: Option<Outcome>) {
    let mut harness = Harness::one();
    let first = harness.order();
    if let Some(outcome) = outcome {
        harness.result(&first, outcome);
    }
    let second = harness.order();
    assert_eq!(second.order.order, first.order.order);
    assert!(second.order.not_after_ms > first.order.not_after_ms);
    assert!(second.at_ms >= first.at_ms + 1_000);
}

/// Engines ignore ids that they have seen, so a new attempt after a failure needs a new id.
#[rstest]
#[case(Outcome::Refused)]
#[case(Outcome::NotSent)]
#[case(Outcome::Accepted)]
fn new_attempt(#[case] outcome: Outcome) {
    let mut harness = Harness::one();
    let first = harness.order();
    harness.result(&first, outcome);
    assert_ne!(harness.order().order.order, first.order.order);
}

/// A load in progress must not be retried before its maximum duration has passed.
#[test]
fn slow_load() {
    let mut harness = Harness::one();
    let sent = harness.order();
    harness.result(&sent, Outcome::Accepted);
    harness.served[0].1 = Some(2);
    assert!(harness.orders(9_500).is_empty());
    assert!(!harness.orders(5_000).is_empty());
}

fn fail_until_excluded(harness: &mut Harness) -> Vec<u64> {
    let mut starts = Vec::new();
    for _ in 0..1_200 {
        let (orders, reports) = harness.step();
        for sent in orders {
            starts.push(sent.at_ms);
            harness.result(&sent, Outcome::Refused);
        }
        if let Some(Action::Excluded { attempts, .. }) = reports.first() {
            assert_eq!(*attempts, 5);
            return starts;
        }
    }
    panic!("not excluded after {} attempts", starts.len());
}

/// A replica that keeps failing must be excluded after five attempts with growing delays, until a
/// newer target is set or it serves the target.
#[test]
fn exclusion_after_five_attempts() {
    let mut harness = Harness::one();
    let starts = fail_until_excluded(&mut harness);
    assert_eq!(starts.len(), 5);
    for (index, pair) in starts.windows(2).enumerate() {
        assert!(pair[1] - pair[0] >= 1_000 << index, "{starts:?}");
    }
    assert_eq!(harness.swap.excluded().count(), 1);
    assert!(harness.orders(120_000).is_empty());

    harness.swap.set_target(target(3)).unwrap();
    assert_eq!(harness.swap.excluded().count(), 0);
    let sent = harness.order();
    assert_eq!(sent.version, 3);

    // An operator may repair a replica manually.
    harness.result(&sent, Outcome::Refused);
    fail_until_excluded(&mut harness);
    harness.served[0].0 = Some(3);
    assert!(harness.orders(3_000).is_empty());
    assert_eq!(harness.swap.progress().settled, 1);
    assert_eq!(harness.swap.excluded().count(), 0);
}

/// A replica with a newer version must not be downgraded, and must be reported only once.
#[test]
fn newer_version_reported_once() {
    let mut harness = Harness::one();
    harness.served[0].0 = Some(5);
    let mut reports = Vec::new();
    for _ in 0..300 {
        let (orders, newer) = harness.step();
        assert!(
            orders.is_empty(),
            "replica ordered to load an older version"
        );
        reports.extend(newer);
    }
    let (upstream, version) = (name(0), id::Version(5));
    assert_eq!(reports, [Action::Newer { upstream, version }]);
}

/// The target must not go back to an older version, nor change its object.
#[test]
fn older_or_conflicting_target() {
    let mut harness = Harness::one();
    let mut refuse = |target| harness.swap.set_target(target).unwrap_err().classify();
    assert_eq!(refuse(target(1)), Category::OlderTarget);
    let mut other = target(2);
    other.object = "weights/other".to_owned();
    assert_eq!(refuse(other), Category::Conflict);
    harness.swap.set_target(target(2)).unwrap();
    assert_eq!(harness.order().version, 2);
}

/// A newer target set during a load must be ordered once that load has ended.
#[test]
fn superseded_load() {
    let mut harness = Harness::one();
    let sent = harness.order();
    harness.result(&sent, Outcome::Accepted);
    harness.served[0].1 = Some(2);
    harness.swap.set_target(target(3)).unwrap();
    assert!(harness.orders(4_000).is_empty());
    harness.served[0] = (Some(2), None);
    assert_eq!(harness.order().version, 3);
}
