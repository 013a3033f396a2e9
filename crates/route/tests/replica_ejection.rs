//! Replica ejection and slow start.

#[path = "common/replicas.rs"]
mod common;

use common::{at, replicas, router};
use dogwoodlb_route::{Outcome, Pick, Request, Router};
use dogwoodlb_types::prelude::*;
use rand::{rngs::StdRng, SeedableRng};

/// Fails requests on replica `name` until it is ejected; returns the number of failures.
fn eject(router: &mut Router, name: &id::Upstream, others: &[id::Upstream], now: u64) -> u32 {
    let mut rng = StdRng::seed_from_u64(1);
    let request = Request::new(Class::Customer).exclude(others);
    let mut failures = 0;
    while !router.is_ejected(name, at(now)) {
        let pick = router.pick(&request, at(now), &mut rng).unwrap();
        router
            .on_end(pick.ticket, Outcome::Failure, at(now))
            .unwrap();
        failures += 1;
    }
    failures
}

/// A failing replica must be ejected for a growing time, and must return with slow start rather
/// than at full load.
#[test]
fn ejection_time_doubles() {
    let mut rng = StdRng::seed_from_u64(1);
    let list = replicas("lj", "lj-a", 2);
    let mut router = router(&list);
    let (name, other) = (&list[0].upstream, &list[1].upstream);
    assert_eq!(eject(&mut router, name, std::slice::from_ref(other), 0), 3);
    let request = Request::new(Class::Customer);
    for _ in 0..10 {
        let pick = router.pick(&request, at(999), &mut rng).unwrap();
        assert_eq!(pick.upstream, *other);
    }
    assert!(
        router.pick(&request, at(999), &mut rng).is_err(),
        "request routed to an ejected replica"
    );
    assert!(!router.is_ejected(name, at(1_000)));
    let excluded = [other.clone()];
    let request = Request::new(Class::Customer).exclude(&excluded);
    let pick = router.pick(&request, at(1_000), &mut rng).unwrap();
    assert!(
        router.pick(&request, at(1_000), &mut rng).is_err(),
        "more than one slot at the start of slow start"
    );
    router
        .on_end(pick.ticket, Outcome::Cancelled, at(1_000))
        .unwrap();

    // A single failure during slow start ejects the replica again, for twice as long.
    assert_eq!(eject(&mut router, name, &excluded, 1_001), 1);
    assert!(router.is_ejected(name, at(3_000)));
    assert!(!router.is_ejected(name, at(3_001)));
}

/// A single fault that fails all requests in flight must count as one ejection.
#[test]
fn single_fault() {
    let mut rng = StdRng::seed_from_u64(1);
    let list = replicas("lj", "lj-a", 1);
    let mut router = router(&list);
    let request = Request::new(Class::Customer);
    let picks: Vec<_> = (0..10)
        .map(|_| router.pick(&request, at(0), &mut rng).unwrap())
        .collect();
    let mut end = |pick: &Pick, now| {
        router
            .on_end(pick.ticket, Outcome::Failure, at(now))
            .unwrap()
    };
    picks[..5].iter().for_each(|pick| end(pick, 500));
    picks[5..].iter().for_each(|pick| end(pick, 1_600));
    assert!(!router.is_ejected(&list[0].upstream, at(1_600)));
}

/// Ejecting every replica must not cause an outage for customers.
#[test]
fn all_ejected() {
    let mut rng = StdRng::seed_from_u64(1);
    let list = replicas("lj", "lj-a", 1);
    let mut router = router(&list);
    eject(&mut router, &list[0].upstream, &[], 0);
    let refusal = router
        .pick(&Request::new(Class::Trainer), at(1), &mut rng)
        .unwrap_err();
    assert_eq!(refusal.code, Code::NoUpstream);
    assert!(refusal.retry_after.is_some());
    let pick = router
        .pick(&Request::new(Class::Customer), at(1), &mut rng)
        .unwrap();
    router.on_end(pick.ticket, Outcome::Success, at(2)).unwrap();
    assert!(!router.is_ejected(&list[0].upstream, at(2)));
}

/// A replica that some requests fail was ejected at each of them during slow start, so that it
/// never returned to its full weight.
#[test]
fn failures_in_slow_start() {
    const FULL_WEIGHT_MS: u64 = 12_000;
    const REQUEST_MS: u64 = 20;
    /// One in this many requests fails.
    const FAILING_DIVISOR: u64 = 25;
    let mut rng = StdRng::seed_from_u64(1);
    let list = replicas("lj", "lj-a", 1);
    let mut router = router(&list);
    eject(&mut router, &list[0].upstream, &[], 0);
    let request = Request::new(Class::Customer);
    for number in 1..FULL_WEIGHT_MS / REQUEST_MS {
        let now = at(number * REQUEST_MS);
        let pick = router.pick(&request, now, &mut rng).unwrap();
        let outcome = match number % FAILING_DIVISOR {
            0 => Outcome::Failure,
            _ => Outcome::Success,
        };
        router.on_end(pick.ticket, outcome, now).unwrap();
    }
    let slots = list[0].slots as usize;
    let picks = || router.pick(&request, at(FULL_WEIGHT_MS), &mut rng).ok();
    assert_eq!(
        std::iter::repeat_with(picks)
            .take_while(Option::is_some)
            .count(),
        slots
    );
}
