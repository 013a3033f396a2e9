//! Benchmarks routing a request and applying a load report, by number of replicas.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use dogwoodlb_route::{LoadReport, Outcome, Replica, Request, Router, Settings};
use dogwoodlb_types::prelude::*;
use rand::{rngs::StdRng, SeedableRng};
use std::hint::black_box;

const REPLICAS: [usize; 4] = [9, 100, 475, 1_900];
const CENTRES: usize = 11;

/// Returns a router for `count` replicas spread over 11 data centres in 4 regions.
fn router(count: usize) -> Router {
    let replica = |index: usize| Replica {
        upstream: format!("engine-{index}").parse().unwrap(),
        region: format!("region-{}", index % CENTRES % 4).parse().unwrap(),
        centre: format!("centre-{}", index % CENTRES).parse().unwrap(),
        slots: 32,
        leaving: false,
    };
    let mut router = Router::new(Settings {
        vm: "entry-1".parse().unwrap(),
        region: "region-0".parse().unwrap(),
        centre: "centre-0".parse().unwrap(),
    });
    router
        .update(&(0..count).map(replica).collect::<Vec<_>>())
        .unwrap();
    router
}

fn route(c: &mut Criterion) {
    let mut group = c.benchmark_group("route");
    for count in REPLICAS {
        let mut router = router(count);
        let mut rng = StdRng::seed_from_u64(1);
        let now = Instant::from_millis(0);
        let prompt = [b'x'; 2_048];
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                let request = Request::new(Class::Customer).prompt(black_box(&prompt));
                let pick = router.pick(&request, now, &mut rng).unwrap();
                router.on_start(pick.ticket).unwrap();
                router.on_end(pick.ticket, Outcome::Success, now).unwrap();
            });
        });
    }
    group.finish();
}

fn report(c: &mut Criterion) {
    let mut group = c.benchmark_group("report");
    for count in REPLICAS {
        let mut router = router(count);
        let last = router.subset().last().unwrap().clone();
        let mut load = LoadReport::default();
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                load.sequence += 1;
                let now = Instant::from_millis(load.sequence);
                router.on_load_report(black_box(&last), load, now).unwrap()
            });
        });
    }
    group.finish();
}

criterion_group!(benches, route, report);
criterion_main!(benches);
