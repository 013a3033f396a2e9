//! Measures lease operations by the number of candidates; docs/CAPACITY.md uses the slopes.

use criterion::{BenchmarkId, Criterion};
use dogwoodlb_external::table::Outcome;
use dogwoodlb_lease::{rank, Action, Lease, LeaseName};
use dogwoodlb_types::prelude::*;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::hint::black_box;
use std::time::Duration;

fn name() -> LeaseName {
    LeaseName::Trainer("trainer-01".parse().unwrap())
}

fn bench_rank(c: &mut Criterion) {
    let mut group = c.benchmark_group("lease");
    for count in [11, 40, 160, 320] {
        let vm = |index: usize| format!("entry-{index:04}").parse().unwrap();
        let members: Vec<id::Vm> = (0..count).map(vm).collect();
        let name = name();
        group.bench_function(BenchmarkId::new("rank", count), |b| {
            b.iter(|| rank(&name, black_box(&members[3]), &members));
        });
    }
}

fn bench_holder_poll(c: &mut Criterion) {
    let mut group = c.benchmark_group("lease");
    let mut rng = SmallRng::seed_from_u64(1);
    let vm: id::Vm = "entry-0003".parse().unwrap();
    let mut lease = Lease::new(name(), vm, id::Incarnation(1), 0);
    let mut now = Instant::from_millis(0);
    let mut version = 1;
    // The holder polls every 50 ms; every 40th poll renews the lease.
    group.bench_function("holder_tick", |b| {
        b.iter(|| {
            now = now + Duration::from_millis(50);
            match lease.poll(now, &mut rng) {
                Some(Action::Read { request_id, .. }) => {
                    lease.on_read(now, request_id, Ok(Vec::new())).unwrap();
                }
                Some(Action::Commit { request_id, .. }) => {
                    version += 1;
                    lease.on_commit(now, request_id, Ok(Outcome::Applied { version }));
                }
                None => {}
            }
            lease.held(now)
        });
    });
}

fn main() {
    let mut c = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(100))
        .measurement_time(Duration::from_millis(300))
        .configure_from_args();
    bench_rank(&mut c);
    bench_holder_poll(&mut c);
    c.final_summary();
}
