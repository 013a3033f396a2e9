//! Subset selection.

#[path = "common/replicas.rs"]
mod common;

use common::{at, replicas, router, settings};
use dogwoodlb_route::{Category, Request, Router, SUBSET_SIZE};
use dogwoodlb_types::prelude::*;
use rand::{rngs::StdRng, SeedableRng};
use std::collections::BTreeSet;

fn names(router: &Router) -> BTreeSet<String> {
    router.subset().map(ToString::to_string).collect()
}

/// The subset must have a fixed size, prefer local replicas, and keep some remote ones for
/// failover.
#[test]
fn local_first() {
    let mut list = replicas("lj", "lj-a", 9);
    list.extend(replicas("lj", "lj-b", 100));
    list.extend(replicas("mb", "mb-a", 100));
    let few = names(&router(&list));
    assert_eq!(few.len(), SUBSET_SIZE);
    assert_eq!(few.iter().filter(|n| n.starts_with("lj-a")).count(), 9);
    assert_eq!(few.iter().filter(|n| n.starts_with("mb-a")).count(), 2);

    list.extend(replicas("lj", "lj-a", 100).split_off(9));
    let many = names(&router(&list));
    assert_eq!(many.len(), SUBSET_SIZE);
    assert_eq!(many.iter().filter(|n| n.starts_with("lj-a")).count(), 14);
    assert_eq!(
        names(&router(&replicas("mb", "mb-a", 100))).len(),
        SUBSET_SIZE
    );
}

/// The departure of one replica must change only one entry of the subset, and nodes must use
/// different subsets.
#[test]
fn stable_subset() {
    let list = replicas("lj", "lj-a", 200);
    let mut first = router(&list);
    let before = names(&first);
    let leaving_name = first.subset().next().unwrap().clone();
    first.set_leaving(&leaving_name, true).unwrap();
    let after = names(&first);
    assert_eq!(before.difference(&after).count(), 1);
    assert_eq!(after.len(), SUBSET_SIZE);

    let mut second = Router::new(settings("entry-2"));
    second.update(&list).unwrap();
    assert_ne!(before, names(&second));
}

/// A leaving replica must get no new requests, and the mark must survive a manifest update.
#[test]
fn leaving_replica() {
    let mut list = replicas("lj", "lj-a", 2);
    let mut router = router(&list);
    let (leaving_name, other) = (list[0].upstream.clone(), list[1].upstream.clone());
    router.set_leaving(&leaving_name, true).unwrap();
    router.update(&list).unwrap();
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..10 {
        let request = Request::new(Class::Customer);
        assert_eq!(
            router.pick(&request, at(0), &mut rng).unwrap().upstream,
            other
        );
    }
    list[1].leaving = true;
    router.update(&list).unwrap();
    let refusal = router.pick(&Request::new(Class::Customer), at(0), &mut rng);
    assert_eq!(refusal.unwrap_err().code, Code::NoUpstream);
}

/// An invalid list must not replace a valid one.
#[test]
fn duplicate_name() {
    let mut list = replicas("lj", "lj-a", 3);
    let mut router = router(&list);
    list.push(list[0].clone());
    let error = router.update(&list).unwrap_err();
    assert_eq!(error.classify(), Category::InvalidReplicas);
    assert_eq!(router.subset().count(), 3);
}
