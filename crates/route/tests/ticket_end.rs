//! Each ticket ends exactly once.

#[path = "common/replicas.rs"]
mod common;

use common::{at, replicas, router};
use dogwoodlb_route::{Category, Outcome, Request};
use dogwoodlb_types::prelude::*;
use rand::{rngs::StdRng, SeedableRng};

/// Ending a ticket twice must not free the slot of another request.
#[test]
fn second_end() {
    let mut rng = StdRng::seed_from_u64(1);
    let list = replicas("lj", "lj-a", 1);
    let mut router = router(&list);
    let request = Request::new(Class::Customer);
    let first = router.pick(&request, at(0), &mut rng).unwrap();
    let second = router.pick(&request, at(0), &mut rng).unwrap();
    router
        .on_end(first.ticket, Outcome::Success, at(1))
        .unwrap();
    let error = router
        .on_end(first.ticket, Outcome::Failure, at(1))
        .unwrap_err();
    assert_eq!(error.classify(), Category::AlreadyEnded);
    assert!(router.on_start(first.ticket).is_err());
    assert_eq!(router.in_flight(&second.upstream), 1);

    let mut other = common::router(&list);
    let error = other
        .on_end(second.ticket, Outcome::Success, at(1))
        .unwrap_err();
    assert_eq!(error.classify(), Category::UnknownTicket);
}

/// A request in flight must remain counted when its replica is removed from the manifest.
#[test]
fn removed_replica() {
    let mut rng = StdRng::seed_from_u64(1);
    let list = replicas("lj", "lj-a", 1);
    let mut router = router(&list);
    let pick = router
        .pick(&Request::new(Class::Customer), at(0), &mut rng)
        .unwrap();
    router.update(&[]).unwrap();
    assert_eq!(router.in_flight(&pick.upstream), 1);
    router.update(&list).unwrap();
    assert_eq!(router.in_flight(&pick.upstream), 1);
    router.on_end(pick.ticket, Outcome::Success, at(1)).unwrap();
    assert_eq!(router.in_flight(&pick.upstream), 0);
}
