//! Measures the cost of manifest operations by size; docs/CAPACITY.md uses the slopes.

#[path = "../../dogwoodlb/examples/capacity/generated.rs"]
mod generated;

use criterion::{BenchmarkId, Criterion};
use dogwoodlb_external::table::Row;
use dogwoodlb_manifest::adopt::{Action, Adoption, Event, Report};
use dogwoodlb_manifest::record::{self, Record, CURRENT};
use dogwoodlb_manifest::{diff, from_str, joint};
use dogwoodlb_types::{id, Instant};
use generated::{Size, HALF, TARGET, TODAY};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::HashMap;
use std::hint::black_box;
use std::time::Duration;

const SIZES: [Size; 3] = [TODAY, HALF, TARGET];

fn parse(c: &mut Criterion) {
    let mut group = c.benchmark_group("manifest");
    for size in SIZES {
        let (old, new) = (generated::text(size, 0), generated::text(size, 1));
        group.bench_function(BenchmarkId::new("parse", size.nodes), |b| {
            b.iter(|| from_str(black_box(&old)).unwrap());
        });
        let (old, new) = (from_str(&old).unwrap(), from_str(&new).unwrap());
        group.bench_function(BenchmarkId::new("clone", size.nodes), |b| {
            b.iter(|| black_box(&old).clone());
        });
        // The node does this in each iteration of a model's weight swap.
        let model: id::Model = "model-00".parse().unwrap();
        group.bench_function(BenchmarkId::new("engines_of_model", size.nodes), |b| {
            b.iter(|| {
                let engines = black_box(&old).engines.iter();
                let own = engines.filter(|one| one.models.contains(&model) && !one.leaving);
                own.map(|one| (one.upstream.clone(), one.address))
                    .collect::<HashMap<_, _>>()
            });
        });
        group.bench_function(BenchmarkId::new("joint", size.nodes), |b| {
            b.iter(|| joint(black_box(&old), &new));
        });
        group.bench_function(BenchmarkId::new("diff", size.nodes), |b| {
            b.iter(|| diff(black_box(&old), &new));
        });
    }
}

/// Returns the state of a node that holds a manifest and last read the table at time 0.
fn adopted(size: Size, rng: &mut SmallRng) -> Adoption {
    let record = Record {
        revision: id::Revision(1),
        operation: id::Operation(1),
        operator: "ana".parse().unwrap(),
        text: generated::text(size, 0),
    };
    let txn = record.commit(0);
    let row = |key: &str| {
        let put = txn.puts.iter().find(|put| put.key == key).unwrap();
        Some(Row {
            key: put.key.clone(),
            version: 1,
            value: put.value.clone(),
        })
    };
    let sent_at = Instant::from_millis(0);
    let mut adoption = Adoption::new("entry-0000".parse().unwrap(), sent_at);
    let read = Event::Read {
        sent_at,
        row: row(CURRENT),
    };
    let actions = adoption.on_event(read.clone(), sent_at, rng);
    assert_eq!(actions, [Action::ReadRevision(id::Revision(1))]);
    let text = row(&record::key(id::Revision(1)));
    adoption.on_event(Event::Revision { row: text }, sent_at, rng);
    adoption.on_event(read, sent_at, rng);
    adoption
}

fn authority(c: &mut Criterion) {
    let mut group = c.benchmark_group("authority");
    let mut rng = SmallRng::seed_from_u64(1);
    for size in SIZES {
        let mut adoption = adopted(size, &mut rng);
        let read_at = Instant::from_millis(0);
        group.bench_function(BenchmarkId::new("table", size.nodes), |b| {
            b.iter(|| std::mem::discriminant(&black_box(adoption.authority(read_at))));
        });
        // The last read has expired, so the reports of the other nodes are counted.
        let now = Instant::from_millis(3_500);
        for index in 1..size.nodes {
            let report = Report {
                revision: id::Revision(1),
                operation: Some(id::Operation(1)),
                pending: Vec::new(),
                settled: true,
            };
            let vm = format!("entry-{index:04}").parse().unwrap();
            let sent_at = now;
            adoption.on_event(
                Event::PeerReport {
                    vm,
                    sent_at,
                    report,
                },
                now,
                &mut rng,
            );
        }
        group.bench_function(BenchmarkId::new("peers", size.nodes), |b| {
            b.iter(|| std::mem::discriminant(&black_box(adoption.authority(now))));
        });
    }
}

fn main() {
    let mut c = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(100))
        .measurement_time(Duration::from_millis(300))
        .configure_from_args();
    parse(&mut c);
    authority(&mut c);
    c.final_summary();
}
