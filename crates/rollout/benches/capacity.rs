//! Benchmarks the planner against the number of samples per step; docs/CAPACITY.md uses the
//! slopes.

use criterion::{BatchSize, BenchmarkId, Criterion};
use dogwoodlb_rollout::{Action, Planner, Settings};
use dogwoodlb_types::prelude::*;
use std::time::Duration;

const SAMPLES: [u32; 4] = [64, 256, 512, 1_024];

fn planner(samples: u32) -> Planner {
    let settings = Settings {
        trainer: "trainer-01".parse().unwrap(),
        staleness_bound: 2,
        idle_weight: 0.5,
    };
    let mut planner = Planner::new(settings, id::Version(1));
    let sizes = vec![8; samples as usize / 8];
    for step in 1..=3 {
        planner.submit(id::Step(step), &sizes).unwrap();
    }
    planner
}

/// Runs the first step, polling after the end of each attempt as the trainer's owner does; returns
/// the number of polls.
fn run(planner: &mut Planner, samples: u32, in_flight: usize) -> usize {
    let mut running = Vec::new();
    let mut polls = 0;
    for millis in 0..u64::from(samples) {
        let now = Instant::from_millis(1 + millis * 10);
        polls += 1;
        for action in planner.poll(now, in_flight) {
            if let Action::Generate {
                sample, attempt, ..
            } = action
            {
                running.push((sample, attempt));
            }
        }
        let (sample, attempt) = running.swap_remove(0);
        planner.on_finished(now, &sample, attempt);
    }
    polls
}

fn polls(c: &mut Criterion) {
    let mut group = c.benchmark_group("planner");
    for samples in SAMPLES {
        let mut busy = planner(samples);
        let now = Instant::from_millis(1);
        busy.poll(now, 64);
        group.bench_function(BenchmarkId::new("idle_poll", samples), |b| {
            b.iter(|| busy.poll(now, 64));
        });
        group.bench_function(BenchmarkId::new("step", samples), |b| {
            b.iter_batched(
                || planner(samples),
                |mut planner| run(&mut planner, samples, 64),
                BatchSize::LargeInput,
            );
        });
    }
}

fn main() {
    let mut c = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(100))
        .measurement_time(Duration::from_millis(300))
        .configure_from_args();
    polls(&mut c);
    c.final_summary();
}
