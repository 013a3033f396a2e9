//! Replica selection by load, locality, class and prompt prefix.

#[path = "common/replicas.rs"]
mod common;

use common::{at, replicas, router};
use dogwoodlb_route::{
    CacheChange, CacheEvent, Freshness, LoadReport, Locality, Outcome, Pick, Request,
};
use dogwoodlb_types::prelude::*;
use rand::{rngs::StdRng, SeedableRng};
use rstest::rstest;
use std::collections::BTreeSet;

fn load(sequence: u64, running: u32) -> LoadReport {
    LoadReport {
        sequence,
        running,
        waiting: 0,
    }
}

/// Requests must spill over to a farther locality only when the nearer ones have no free slots,
/// and must never exceed a replica's slots.
#[test]
fn spills_over_by_locality() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut list = replicas("lj", "lj-a", 2);
    list.extend(replicas("lj", "lj-b", 1));
    list.extend(replicas("mb", "mb-a", 1));
    let mut router = router(&list);
    let mut pick = || router.pick(&Request::new(Class::Customer), at(0), &mut rng);
    let localities: Vec<_> = (0..40).map(|_| pick().unwrap().locality).collect();
    assert!(localities[..20]
        .iter()
        .all(|&locality| locality == Locality::Centre));
    assert!(localities[20..30]
        .iter()
        .all(|&locality| locality == Locality::Region));
    assert!(localities[30..]
        .iter()
        .all(|&locality| locality == Locality::Remote));
    let refusal = pick().unwrap_err();
    assert_eq!(
        (refusal.code, refusal.execution),
        (Code::Overloaded, Execution::NotRun)
    );
}

/// Guards against a node that fills the replicas of its own data centre while others are idle: all
/// scoring calls of a service start at its leader. An idle near replica must still be preferred.
#[test]
fn pooled_when_half_full() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut list = replicas("lj", "lj-a", 2);
    list.extend(replicas("lj", "lj-b", 1));
    list.extend(replicas("mb", "mb-a", 1));
    let mut router = router(&list);
    router.set_pooled(true);
    let mut pick = || router.pick(&Request::new(Class::Customer), at(0), &mut rng);
    let picks: Vec<_> = (0..40).map(|_| pick().unwrap()).collect();
    let of = |picks: &[Pick], locality| picks.iter().filter(|one| one.locality == locality).count();
    assert_eq!(of(&picks[..10], Locality::Centre), 10);
    assert_eq!(of(&picks[10..15], Locality::Region), 5);
    // Half full or more: all replicas with a free slot are one pool.
    assert!(of(&picks[15..25], Locality::Remote) > 2);
    assert!(pick().is_err());
    for pick in picks
        .iter()
        .filter(|one| one.locality == Locality::Centre)
        .take(6)
    {
        router.on_end(pick.ticket, Outcome::Success, at(0)).unwrap();
    }
    let again = router.pick(&Request::new(Class::Customer), at(0), &mut rng);
    assert_eq!(again.unwrap().locality, Locality::Centre);
}

/// Trainer and background requests must not take the slots reserved for higher classes.
#[rstest]
#[case(Class::Customer, 10)]
#[case(Class::Trainer, 9)]
#[case(Class::Background, 8)]
fn reserved_slots(#[case] class: Class, #[case] max_in_flight: usize) {
    let mut rng = StdRng::seed_from_u64(1);
    let mut router = router(&replicas("lj", "lj-a", 1));
    let mut pick = |class| router.pick(&Request::new(class), at(0), &mut rng).is_ok();
    assert_eq!((0..20).filter(|_| pick(class)).count(), max_in_flight);
    assert_eq!(pick(Class::Customer), class != Class::Customer);
}

/// A delayed load report must not replace a newer one, count this node's own requests twice, or
/// apply beyond its lifetime.
#[test]
fn delayed_reports() {
    let mut rng = StdRng::seed_from_u64(1);
    let list = replicas("lj", "lj-a", 1);
    let name = &list[0].upstream;
    let mut router = router(&list);
    let request = Request::new(Class::Customer);
    for _ in 0..5 {
        let pick = router.pick(&request, at(0), &mut rng).unwrap();
        router.on_start(pick.ticket).unwrap();
    }
    assert_eq!(
        router.on_load_report(name, load(1, 5), at(0)).unwrap(),
        Freshness::Fresh
    );
    assert!(
        router.pick(&request, at(0), &mut rng).is_ok(),
        "own requests counted twice"
    );
    assert_eq!(
        router.on_load_report(name, load(4, 20), at(0)).unwrap(),
        Freshness::Gap(2)
    );
    assert_eq!(
        router.on_load_report(name, load(3, 0), at(0)).unwrap(),
        Freshness::Stale
    );
    assert!(router.pick(&request, at(0), &mut rng).is_err());
    assert!(
        router.pick(&request, at(5_000), &mut rng).is_ok(),
        "old report still counts"
    );
    assert_eq!(
        router.on_load_report(name, load(1, 0), at(9_000)).unwrap(),
        Freshness::Fresh
    );
}

/// The less utilized of two replicas must be selected.
#[test]
fn power_of_two_choices() {
    let mut rng = StdRng::seed_from_u64(1);
    let list = replicas("lj", "lj-a", 2);
    let mut router = router(&list);
    router
        .on_load_report(&list[0].upstream, load(1, 8), at(0))
        .unwrap();
    for _ in 0..7 {
        let pick = router
            .pick(&Request::new(Class::Customer), at(0), &mut rng)
            .unwrap();
        assert_eq!(pick.upstream, list[1].upstream);
    }
}

/// Requests with one prefix must stay on one replica while it has room, but a popular prefix
/// must not overload it.
#[test]
fn bounded_affinity() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut router = router(&replicas("lj", "lj-a", 10));
    let request = Request::new(Class::Customer).prompt(b"You are");
    let first = router.pick(&request, at(0), &mut rng).unwrap();
    router
        .on_end(first.ticket, dogwoodlb_route::Outcome::Success, at(0))
        .unwrap();
    let again = router.pick(&request, at(0), &mut rng).unwrap();
    assert_eq!(first.upstream, again.upstream);
    for _ in 1..40 {
        router.pick(&request, at(0), &mut rng).unwrap();
    }
    // 40 requests on 10 replicas: the bound is twice the mean of 4.
    let max_in_flight = router.subset().map(|name| router.in_flight(name)).max();
    assert_eq!(max_in_flight, Some(8));
}

/// Customers are still routed to a replica reported as full, because the report may be seconds
/// old, up to twice its slots so that the queue stays bounded. Samples can wait, so trainers
/// are refused.
#[rstest]
#[case(Class::Customer, 10, true)]
#[case(Class::Customer, 19, true)]
#[case(Class::Customer, 20, false)]
#[case(Class::Trainer, 10, false)]
fn full_report(#[case] class: Class, #[case] reported: u32, #[case] has_room: bool) {
    let mut rng = StdRng::seed_from_u64(1);
    let list = replicas("lj", "lj-a", 1);
    let mut router = router(&list);
    router
        .on_load_report(&list[0].upstream, load(1, reported), at(0))
        .unwrap();
    let pick = router.pick(&Request::new(class), at(0), &mut rng);
    assert_eq!(pick.is_ok(), has_room);
}

/// Requests with a prompt must use all replicas of the region rather than fill one data centre
/// and miss its caches. Requests without a prompt must stay in their data centre.
#[rstest]
#[case(true, 4)]
#[case(false, 2)]
fn region_affinity(#[case] has_prompt: bool, #[case] used: usize) {
    let mut list = replicas("lj", "lj-a", 2);
    list.extend(replicas("lj", "lj-b", 2));
    list.extend(replicas("mb", "mb-a", 2));
    let mut router = router(&list);
    let mut rng = StdRng::seed_from_u64(1);
    let mut names = BTreeSet::new();
    for prefix in 0..16 {
        let mut request = Request::new(Class::Customer);
        if has_prompt {
            request = request.prefix_hash(prefix);
        }
        let pick = router.pick(&request, at(0), &mut rng).unwrap();
        assert_ne!(pick.locality, Locality::Remote);
        names.insert(pick.upstream);
    }
    assert_eq!(names.len(), used);
}

/// A delayed eviction event must not hide a prefix that the replica has stored since, but after
/// lost events, one of which may have been an eviction, the prefix no longer counts as cached.
#[test]
fn delayed_cache_event() {
    let mut rng = StdRng::seed_from_u64(1);
    let list = replicas("lj", "lj-a", 10);
    let request = Request::new(Class::Customer).prefix_hash(7);
    let usual = router(&list)
        .pick(&request, at(0), &mut rng)
        .unwrap()
        .upstream;
    let holder = &list.iter().find(|r| r.upstream != usual).unwrap().upstream;
    let mut router = router(&list);
    let event = |sequence, change| CacheEvent { sequence, change };
    let stored = event(5, CacheChange::Stored(7));
    assert_eq!(
        router.on_cache_event(holder, stored).unwrap(),
        Freshness::Fresh
    );
    let late = event(4, CacheChange::Evicted(7));
    assert_eq!(
        router.on_cache_event(holder, late).unwrap(),
        Freshness::Stale
    );
    assert_eq!(
        router.pick(&request, at(0), &mut rng).unwrap().upstream,
        *holder
    );
    let gap = event(9, CacheChange::Stored(8));
    assert_eq!(
        router.on_cache_event(holder, gap).unwrap(),
        Freshness::Gap(3)
    );
    assert_eq!(
        router.pick(&request, at(0), &mut rng).unwrap().upstream,
        usual
    );
}
