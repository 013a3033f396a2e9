//! Benchmarks a weight swap against the number of replicas; docs/CAPACITY.md uses the slopes.

use criterion::{BenchmarkId, Criterion};
use dogwoodlb_external::engine::Weights;
use dogwoodlb_swap::{Action, LeaseGrant, Replica, Settings, Swap, Target};
use dogwoodlb_types::{id, Instant, Timestamp};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::time::Duration;

const REPLICAS: [usize; 4] = [9, 100, 475, 1_900];

fn target(version: u64) -> Target {
    Target {
        version: id::Version(version),
        object: format!("weights/scorer/{version}"),
    }
}

fn replicas(count: usize) -> Vec<Replica> {
    let replica = |index: usize| Replica {
        upstream: format!("engine-{index:04}").parse().unwrap(),
        checks_fencing: true,
    };
    (0..count).map(replica).collect()
}

fn benches(c: &mut Criterion) {
    let mut group = c.benchmark_group("swap");
    let mut rng = SmallRng::seed_from_u64(1);
    let is_allowed = |_, _| true;
    for count in REPLICAS {
        let list = replicas(count);
        let mut swap = Swap::new("scorer".parse().unwrap(), Settings::default());
        swap.set_replicas(&list).unwrap();
        swap.set_target(target(1)).unwrap();
        let mut now = Instant::from_millis(0);
        group.bench_function(BenchmarkId::new("set_replicas", count), |b| {
            b.iter(|| swap.set_replicas(&list).unwrap());
        });
        // One 50 ms tick when all replicas serve the target; every twentieth reads all of them.
        group.bench_function(BenchmarkId::new("settled_tick", count), |b| {
            b.iter(|| {
                now = now + Duration::from_millis(50);
                let until = now + Duration::from_secs(5);
                let lease = LeaseGrant {
                    fence: id::Fence(1),
                    until,
                };
                swap.set_lease(Some(lease), now);
                for action in swap.poll(now, Timestamp::from_millis(0), &is_allowed, &mut rng) {
                    let Action::Read { upstream } = action else {
                        continue;
                    };
                    let weights = Weights {
                        model: "scorer".parse().unwrap(),
                        version: Some(id::Version(1)),
                        loading: None,
                    };
                    swap.on_weights(&upstream, now, Some(&weights), now);
                }
            });
        });
        // One tick with every replica due and the start rate exhausted, as during most of a swap.
        swap.set_target(target(2)).unwrap();
        let fixed_now = now;
        group.bench_function(BenchmarkId::new("due_tick", count), |b| {
            b.iter(|| swap.poll(fixed_now, Timestamp::from_millis(0), &is_allowed, &mut rng));
        });
    }
}

fn main() {
    let mut c = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(100))
        .measurement_time(Duration::from_millis(300))
        .configure_from_args();
    benches(&mut c);
    c.final_summary();
}
