//! Benchmarks routing against the number of replicas; docs/CAPACITY.md uses the slopes.

use criterion::{BenchmarkId, Criterion};
use dogwoodlb_route::{
    CacheChange, CacheEvent, LoadReport, Outcome, Replica, Request, Router, Settings,
};
use dogwoodlb_types::prelude::*;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::hint::black_box;
use std::time::Duration;

const REPLICAS: [usize; 4] = [9, 100, 475, 1_900];

fn replicas(count: usize) -> Vec<Replica> {
    let replica = |index: usize| Replica {
        upstream: format!("engine-{index:04}").parse().unwrap(),
        region: format!("region-{}", index % 4).parse().unwrap(),
        centre: format!("centre-{:02}", index % 11).parse().unwrap(),
        slots: 32,
        leaving: false,
    };
    (0..count).map(replica).collect()
}

fn router(count: usize) -> Router {
    let mut router = Router::new(Settings {
        vm: "entry-0000".parse().unwrap(),
        region: "region-0".parse().unwrap(),
        centre: "centre-00".parse().unwrap(),
    });
    router.update(&replicas(count)).unwrap();
    router
}

fn requests(c: &mut Criterion) {
    let mut group = c.benchmark_group("route");
    let mut rng = SmallRng::seed_from_u64(1);
    let now = Instant::from_millis(0);
    for count in REPLICAS {
        let mut router = router(count);
        group.bench_function(BenchmarkId::new("request", count), |b| {
            b.iter(|| {
                let request = Request::new(Class::Customer).prefix_hash(7);
                let pick = router.pick(&request, now, &mut rng).unwrap();
                router.on_start(pick.ticket).unwrap();
                router.on_end(pick.ticket, Outcome::Success, now).unwrap();
            });
        });
        let upstream: id::Upstream = router.subset().last().unwrap().clone();
        let mut sequence = 0;
        group.bench_function(BenchmarkId::new("load", count), |b| {
            b.iter(|| {
                sequence += 1;
                let load = LoadReport {
                    sequence,
                    running: 3,
                    waiting: 1,
                };
                router
                    .on_load_report(black_box(&upstream), load, now)
                    .unwrap()
            });
        });
        let mut sequence = 0;
        group.bench_function(BenchmarkId::new("cache_event", count), |b| {
            b.iter(|| {
                sequence += 1;
                let change = CacheChange::Stored(sequence);
                router.on_cache_event(black_box(&upstream), CacheEvent { sequence, change })
            });
        });
    }
}

fn list_updates(c: &mut Criterion) {
    let mut group = c.benchmark_group("route");
    for count in REPLICAS {
        let (list, mut router) = (replicas(count), router(count));
        group.bench_function(BenchmarkId::new("update", count), |b| {
            b.iter(|| router.update(black_box(&list)).unwrap());
        });
        // The node does this every second with the VM list.
        group.bench_function(BenchmarkId::new("mark_all", count), |b| {
            b.iter(|| {
                for replica in &list {
                    let _ = router.set_leaving(black_box(&replica.upstream), false);
                }
            });
        });
    }
}

fn main() {
    let mut c = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(100))
        .measurement_time(Duration::from_millis(300))
        .configure_from_args();
    requests(&mut c);
    list_updates(&mut c);
    c.final_summary();
}
