//! Randomised simulations of a trainer with crashes, lost replies, repeated requests, takeovers and
//! restarts of the trainer process.

mod requests;

use crate::owner::{ambiguous_error, trainer, FENCE_KEY};
use crate::table::Table;
use dogwoodlb_external::table::{Check, Outcome, Txn};
use dogwoodlb_external::{Category, Cause, Error};
use dogwoodlb_ledger::*;
use dogwoodlb_types::check_spans;
use dogwoodlb_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

const SCHEDULES: u64 = 2_000;
const EVENTS: u64 = 150;

/// The number of occurrences of each kind of event, by name.
type EventCounts = BTreeMap<&'static str, u64>;

enum InFlight {
    Commit(Commit),
    ReadBack(id::Operation, String),
}

/// A process that holds the trainer's lease, or assumes that it still does.
struct Process {
    /// The number of takeovers before this process became the owner.
    epoch: u64,
    ledger: Ledger,
    in_flight: Option<InFlight>,
}

struct Simulation {
    seed: u64,
    rng: SmallRng,
    table: Table,
    objects: BTreeMap<String, Vec<u8>>,
    bound: u64,
    /// The number of takeovers so far.
    epoch: u64,
    owner: Option<Process>,
    /// Paused processes that were replaced by a takeover.
    replaced: Vec<Process>,
    /// Delayed transactions, with the epoch of the process that sent them.
    delayed: Vec<(u64, Txn)>,
    last_operation: u128,
    last_attempt: u32,
    now_ms: u64,
    session: id::Session,
    next_step: u64,
    deliveries: BTreeMap<id::Step, Delivery>,
    acknowledged: Option<id::Step>,
    /// The attempts that the engines have produced, by attempt number.
    produced: BTreeMap<u32, FinishedAttempt>,
    faults_disabled: bool,
    event_counts: EventCounts,
}

fn load_ledger(table: &Table, bound: u64) -> Ledger {
    let settings = Settings {
        trainer: trainer(),
        staleness_bound: bound,
        initial_version: id::Version(1),
        max_buffer_bytes: 1 << 20,
    };
    let fence = Check {
        key: FENCE_KEY.to_owned(),
        version: table.version(FENCE_KEY),
    };
    let rows = table.scan(&Ledger::prefix(&trainer()));
    Ledger::load(settings, fence, &rows).unwrap()
}

fn take_over_trainer(table: &mut Table, epoch: u64, bound: u64) -> Process {
    table.commit(&Txn::new().put(FENCE_KEY, "{}"));
    Process {
        epoch,
        ledger: load_ledger(table, bound),
        in_flight: None,
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut table = Table::default();
        let bound = rng.random_range(0..3);
        Self {
            seed,
            bound,
            epoch: 0,
            owner: Some(take_over_trainer(&mut table, 0, bound)),
            rng,
            table,
            objects: BTreeMap::new(),
            replaced: Vec::new(),
            delayed: Vec::new(),
            last_operation: 0,
            last_attempt: 0,
            now_ms: 0,
            session: id::Session(0),
            next_step: 1,
            deliveries: BTreeMap::new(),
            acknowledged: None,
            produced: BTreeMap::new(),
            faults_disabled: false,
            event_counts: EventCounts::new(),
        }
    }

    fn count(&mut self, name: &'static str, number: u64) {
        *self.event_counts.entry(name).or_default() += number;
    }

    fn one_in(&mut self, n: u32) -> bool {
        self.rng.random_ratio(1, n)
    }

    fn operation(&mut self) -> id::Operation {
        self.last_operation += 1;
        id::Operation(self.last_operation)
    }

    fn run_random_event(&mut self) {
        self.now_ms += 100;
        match self.rng.random_range(0..100) {
            0..3 => self.take_over(),
            3..8 => self.deliver_delayed(),
            8..13 => self.run_replaced(),
            _ => self.run_owner(),
        }
    }

    /// Replaces the owner, which has either crashed or is paused.
    fn take_over(&mut self) {
        self.epoch += 1;
        let new = take_over_trainer(&mut self.table, self.epoch, self.bound);
        let old = self.owner.replace(new).unwrap();
        self.count("takeovers", 1);
        if self.one_in(2) {
            self.replaced.push(old);
        } else if let Some(InFlight::Commit(commit)) = old.in_flight {
            self.delayed.push((old.epoch, commit.txn));
        }
    }

    fn deliver_delayed(&mut self) {
        if !self.delayed.is_empty() {
            let index = self.rng.random_range(0..self.delayed.len());
            let (epoch, txn) = self.delayed.swap_remove(index);
            self.count("delayed_transactions", 1);
            self.commit(epoch, &txn);
        }
    }

    /// Runs a replaced process. Its results without a transaction are ignored, because it no longer
    /// holds the lease.
    fn run_replaced(&mut self) {
        if self.replaced.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.replaced.len());
        let mut process = self.replaced.swap_remove(index);
        match process.in_flight.take() {
            Some(in_flight) => {
                // A read-back may find that the transaction was applied before the takeover.
                let is_commit = matches!(in_flight, InFlight::Commit(_));
                let done = self.advance(&mut process, in_flight);
                assert!(
                    !is_commit || done.is_none(),
                    "seed {}: stale write",
                    self.seed
                );
            }
            None => {
                self.start_random_operation(&mut process);
            }
        }
        if !process.ledger.has_lost_ownership() {
            self.replaced.push(process);
        }
    }

    fn run_owner(&mut self) {
        let mut process = self.owner.take().unwrap();
        let done = match process.in_flight.take() {
            Some(in_flight) => self.advance(&mut process, in_flight),
            None => self.start_random_operation(&mut process),
        };
        assert!(
            !process.ledger.has_lost_ownership(),
            "seed {}: current owner lost its ownership",
            self.seed
        );
        self.owner = Some(process);
        if let Some(done) = done {
            self.check_completion(done);
        }
    }

    /// Executes a transaction or a read-back; returns the completion, if there is one.
    fn advance(&mut self, process: &mut Process, in_flight: InFlight) -> Option<Completion> {
        let next = match in_flight {
            InFlight::Commit(commit) => {
                let reply = self.send(process.epoch, &commit);
                process.ledger.on_commit(commit.operation, reply)
            }
            InFlight::ReadBack(operation, key) => {
                let rows = self.table.scan(&key);
                let reply = match !self.faults_disabled && self.one_in(4) {
                    true => Err(ambiguous_error()),
                    false => Ok(rows.into_iter().find(|row| row.key == key)),
                };
                process.ledger.on_read_back(operation, reply)
            }
        };
        match next {
            Next::Done(completion) => return Some(completion),
            Next::ReadBack { operation, key } => {
                process.in_flight = Some(InFlight::ReadBack(operation, key));
            }
            Next::Resend(commit) => process.in_flight = Some(InFlight::Commit(commit)),
            Next::OwnershipLost(_) => self.count("ownership_lost", 1),
            Next::Ignored => panic!("seed {}: reply ignored", self.seed),
        }
        None
    }

    fn send(&mut self, epoch: u64, commit: &Commit) -> dogwoodlb_external::Result<Outcome> {
        for object in &commit.objects {
            let old = self
                .objects
                .insert(object.name.clone(), object.body.clone());
            assert!(
                old.is_none_or(|old| old == object.body),
                "object overwritten with another body"
            );
        }
        match self
            .rng
            .random_range(0..if self.faults_disabled { 1 } else { 10 })
        {
            // The transaction is applied, but its reply is lost or arrives after the timeout.
            6 | 7 => {
                self.commit(epoch, &commit.txn);
                Err(ambiguous_error())
            }
            8 => {
                self.delayed.push((epoch, commit.txn.clone()));
                Err(ambiguous_error())
            }
            9 => Err(Error::new(Category::NotSent, "table", Cause::Truncated)),
            _ => Ok(self.commit(epoch, &commit.txn)),
        }
    }

    fn commit(&mut self, epoch: u64, txn: &Txn) -> Outcome {
        let outcome = self.table.commit(txn);
        if matches!(outcome, Outcome::Applied { .. }) {
            assert_eq!(epoch, self.epoch, "seed {}: stale write", self.seed);
            // Other transactions cannot affect the properties that are checked.
            if txn.puts.iter().any(|put| put.key.ends_with("/head")) || !txn.deletes.is_empty() {
                self.check_rows();
            }
        }
        outcome
    }

    /// Checks the invariants of the stored rows alone, which is what a crash at this point leaves.
    fn check_rows(&mut self) {
        let mut ledger = load_ledger(&self.table, self.bound);
        let version = ledger.version().0;
        let Some(view) = ledger.steps().into_iter().find(|step| step.delivered) else {
            return;
        };
        let start = ledger.deliver(ledger.session(), view.step, id::Operation(0));
        let Ok(Start::Done(Completion::Delivered(delivery))) = start else {
            panic!("seed {}: {start:?}", self.seed);
        };
        for sample in &delivery.samples {
            let oldest = sample.spans.iter().map(|span| span.version).min().unwrap();
            let age = version.0.saturating_sub(oldest.0);
            assert!(age <= self.bound, "seed {}: {age} versions old", self.seed);
        }
        self.check_delivery(&delivery);
    }

    /// Checks that a delivery is complete, correctly labelled and identical on each fetch.
    fn check_delivery(&mut self, delivery: &Delivery) {
        let seed = self.seed;
        let known = self.deliveries.entry(delivery.step);
        let first = known.or_insert_with(|| delivery.clone());
        assert_eq!(first, delivery, "seed {seed}: delivery changed");
        let samples: Vec<_> = delivery
            .samples
            .iter()
            .map(|sample| &sample.sample)
            .collect();
        let sample = |group, index| id::Sample::new(trainer(), delivery.step, group, index);
        let all = [sample(0, 0), sample(0, 1), sample(1, 0), sample(1, 1)];
        assert_eq!(samples, all.iter().collect::<Vec<_>>(), "seed {seed}");
        for sample in &delivery.samples {
            let produced = &self.produced[&sample.attempt];
            assert_eq!(produced.sample, sample.sample, "seed {seed}");
            assert_eq!(produced.spans, sample.spans, "seed {seed}: spans changed");
            assert!(
                check_spans(&sample.spans, produced.tokens).is_ok(),
                "seed {seed}"
            );
            assert!(sample.staleness <= self.bound, "seed {seed}: stale");
            let bodies = decode_bodies(&self.objects[&sample.object]).unwrap();
            assert_eq!(
                bodies[sample.position], produced.body,
                "seed {seed}: body changed"
            );
        }
    }

    /// Checks a completion that is visible to the trainer.
    fn check_completion(&mut self, completion: Completion) {
        let seed = self.seed;
        match completion {
            Completion::Session(session) => {
                assert!(session > self.session, "seed {seed}: session {session}");
                self.session = session;
                self.count("sessions", 1);
            }
            Completion::Delivered(delivery) => {
                let is_acknowledged = self.acknowledged.is_some_and(|last| delivery.step <= last);
                assert!(
                    !is_acknowledged,
                    "seed {seed}: delivered after the acknowledgement"
                );
                self.check_delivery(&delivery);
            }
            Completion::Acknowledged(step) => {
                self.count("acknowledged", u64::from(self.acknowledged < Some(step)));
                self.acknowledged = self.acknowledged.max(Some(step));
            }
            Completion::Submitted(step) => self.next_step = self.next_step.max(step.0 + 1),
            Completion::Published { stale, .. } | Completion::Waiting { stale, .. } => {
                self.count("stale_samples", stale.len() as u64);
            }
            Completion::Flushed(_) | Completion::RowsDeleted(_) => {}
        }
    }

    /// Checks that another step is acknowledged once there are no more faults.
    fn check_progress(&mut self) {
        self.faults_disabled = true;
        let before = self.acknowledged;
        for _ in 0..5_000 {
            self.now_ms += 100;
            self.run_owner();
            if self.acknowledged > before {
                return;
            }
        }
        panic!("seed {}: no progress", self.seed);
    }
}

/// Guards against samples that are lost, delivered twice, too old or wrongly labelled, and against
/// transactions of a replaced owner that are applied.
#[test]
fn delivers_exactly_once_under_faults() {
    let mut total = EventCounts::new();
    for seed in 0..SCHEDULES {
        let mut simulation = Simulation::new(seed);
        for _ in 0..EVENTS {
            simulation.run_random_event();
        }
        simulation.check_progress();
        for (name, number) in simulation.event_counts {
            *total.entry(name).or_default() += number;
        }
    }
    println!("{SCHEDULES} schedules: {total:?}");
    // Every kind of event must have occurred often enough.
    assert_eq!(total.len(), 7);
    assert!(total.values().all(|number| *number > SCHEDULES / 4));
}
