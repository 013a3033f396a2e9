//! Measures ledger operations by the number of samples in a step; docs/CAPACITY.md uses the
//! slopes.

use criterion::{BatchSize, BenchmarkId, Criterion};
use dogwoodlb_external::table::{Check, Outcome, Row};
use dogwoodlb_ledger::{
    Commit, Completion, Content, FinishedAttempt, Group, Ledger, Next, Settings, Start,
};
use dogwoodlb_types::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const STEP_SIZES: [u32; 4] = [64, 256, 512, 1_024];
const GROUP_SIZE: u32 = 8;
/// Samples per flush, close to the 2.4 per 200 ms of a step with 1,024 samples in 7 min.
const FLUSH_SIZE: u32 = 4;
const BODY_BYTES: usize = 4_096;

/// A ledger with the rows that it has committed.
struct Fixture {
    ledger: Ledger,
    rows: BTreeMap<String, Row>,
    version: u64,
    session: id::Session,
}

fn settings_and_fence() -> (Settings, Check) {
    let settings = Settings {
        trainer: "trainer-01".parse().unwrap(),
        staleness_bound: 2,
        initial_version: id::Version(1),
        max_buffer_bytes: 64 << 20,
    };
    let key = "lease/trainer/trainer-01/fence".to_owned();
    (settings, Check { key, version: 7 })
}

impl Fixture {
    fn new(samples: u32) -> Self {
        let (settings, fence) = settings_and_fence();
        let mut fixture = Self {
            ledger: Ledger::load(settings, fence, &[]).unwrap(),
            rows: BTreeMap::new(),
            version: 7,
            session: id::Session(0),
        };
        let start = fixture.ledger.open_session(id::Operation(1)).unwrap();
        if let Some(Completion::Session(session)) = fixture.finish(start) {
            fixture.session = session;
        }
        let group = || Group {
            prompt: "p".repeat(512),
            size: GROUP_SIZE,
        };
        let groups = (0..samples / GROUP_SIZE).map(|_| group()).collect();
        let content = Content {
            groups,
            max_tokens: 1_024,
        };
        let session = fixture.session;
        let start = fixture
            .ledger
            .submit(session, id::Step(1), &content, id::Operation(2));
        fixture.finish(start.unwrap());
        fixture
    }

    fn finish(&mut self, start: Start) -> Option<Completion> {
        match start {
            Start::Commit(commit) => Some(self.commit(commit)),
            Start::Done(completion) => Some(completion),
            Start::Busy => None,
        }
    }

    fn commit(&mut self, commit: Commit) -> Completion {
        self.version += 1;
        let version = self.version;
        for put in commit.txn.puts {
            let row = Row {
                key: put.key.clone(),
                version,
                value: put.value,
            };
            self.rows.insert(put.key, row);
        }
        match self
            .ledger
            .on_commit(commit.operation, Ok(Outcome::Applied { version }))
        {
            Next::Done(completion) => completion,
            next => panic!("{next:?}"),
        }
    }

    fn accept(&mut self, flat_index: u32) {
        let trainer = "trainer-01".parse().unwrap();
        let (group, index) = (flat_index / GROUP_SIZE, flat_index % GROUP_SIZE);
        let finished = FinishedAttempt {
            sample: id::Sample::new(trainer, id::Step(1), group, index),
            attempt: 0,
            tokens: 1_024,
            spans: vec![Span {
                version: id::Version(1),
                from: 0,
                to: 1_024,
            }],
            body: "b".repeat(BODY_BYTES),
        };
        self.ledger.accept(finished).unwrap();
    }

    /// Accepts all samples, with a flush after every [`FLUSH_SIZE`] of them.
    fn accept_and_flush_all(&mut self, samples: u32) {
        for flat_index in 0..samples {
            self.accept(flat_index);
            if flat_index % FLUSH_SIZE == FLUSH_SIZE - 1 {
                let now = Instant::from_millis(u64::from(flat_index) * 200);
                let operation = id::Operation(u128::from(flat_index) + 10);
                let commit = self.ledger.flush(now, operation).unwrap();
                self.commit(commit);
            }
        }
    }

    fn rows(&self) -> Vec<Row> {
        self.rows.values().cloned().collect()
    }
}

fn ledger(c: &mut Criterion) {
    let mut group = c.benchmark_group("ledger");
    for samples in STEP_SIZES {
        let batch_size = BatchSize::LargeInput;
        group.bench_function(BenchmarkId::new("accept_all", samples), |b| {
            b.iter_batched(
                || Fixture::new(samples),
                |mut fixture| {
                    (0..samples).for_each(|flat_index| fixture.accept(flat_index));
                    fixture
                },
                batch_size,
            );
        });
        group.bench_function(BenchmarkId::new("accept_flush_all", samples), |b| {
            b.iter_batched(
                || Fixture::new(samples),
                |mut fixture| {
                    fixture.accept_and_flush_all(samples);
                    fixture
                },
                batch_size,
            );
        });
        let mut filled = Fixture::new(samples);
        filled.accept_and_flush_all(samples);
        let rows = filled.rows();
        group.bench_function(BenchmarkId::new("load", samples), |b| {
            b.iter(|| {
                let (settings, fence) = settings_and_fence();
                Ledger::load(settings, fence, &rows).unwrap()
            });
        });
        group.bench_function(BenchmarkId::new("views", samples), |b| {
            b.iter(|| filled.ledger.steps());
        });
    }
}

fn main() {
    let mut c = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(100))
        .measurement_time(Duration::from_millis(300))
        .configure_from_args();
    ledger(&mut c);
    c.final_summary();
}
