//! Shared test fixtures: routers and replicas.

use dogwoodlb_route::{Replica, Router, Settings};
use dogwoodlb_types::prelude::*;

pub(crate) fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

pub(crate) fn settings(vm: &str) -> Settings {
    Settings {
        vm: vm.parse().unwrap(),
        region: "lj".parse().unwrap(),
        centre: "lj-a".parse().unwrap(),
    }
}

/// Returns `count` replicas with ten slots each, named after the data centre.
pub(crate) fn replicas(region: &str, centre: &str, count: usize) -> Vec<Replica> {
    let replica = |index| Replica {
        upstream: format!("{centre}-{index}").parse().unwrap(),
        region: region.parse().unwrap(),
        centre: centre.parse().unwrap(),
        slots: 10,
        leaving: false,
    };
    (0..count).map(replica).collect()
}

pub(crate) fn router(replicas: &[Replica]) -> Router {
    let mut router = Router::new(settings("entry-1"));
    router.update(replicas).unwrap();
    router
}
