//! Randomised simulations of several candidates with faults, in virtual time.

#[path = "fake/table.rs"]
mod table;

use dogwoodlb_external::table::{Outcome, Row, Txn};
use dogwoodlb_external::{Category, Cause, Error, Result};
use dogwoodlb_lease::{Action, Guard, Lease, LeaseName, RequestId};
use dogwoodlb_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use table::Table;

const CANDIDATES: usize = 3;
const FAULTS_END_MS: u64 = 50_000;
const END_MS: u64 = 80_000;
const SCHEDULES: u64 = 2_000;

enum Event {
    Tick,
    Arrive(RequestId, Request),
    Reply(RequestId, Reply),
    /// A data write of the holder that arrives at the table after a delay.
    Data(Guard),
}

enum Request {
    Read(String),
    Commit(Txn),
}

enum Reply {
    Rows(Result<Vec<Row>>),
    Outcome(Result<Outcome>),
}

struct Candidate {
    lease: Lease,
    incarnation: u64,
    clock_rate: f64,
    clock_offset_ms: f64,
    paused_until_ms: u64,
}

impl Candidate {
    /// Returns the time on the candidate's local clock.
    fn local_time(&self, now: u64) -> Instant {
        Instant::from_millis((now as f64 * self.clock_rate + self.clock_offset_ms) as u64)
    }
}

#[derive(Default)]
struct EventCounts {
    takeovers: u64,
    stale_writes: u64,
    data_writes: u64,
}

struct Simulation {
    rng: SmallRng,
    now_ms: u64,
    table: Table,
    candidates: Vec<Candidate>,
    /// Events by time and sequence number, with the VM and its incarnation. Events of an earlier
    /// incarnation are dropped, except for requests that are on their way to the table.
    events: BTreeMap<(u64, u64), (usize, u64, Event)>,
    sequence: u64,
    last_held_fence: id::Fence,
    last_written_fence: id::Fence,
    event_counts: EventCounts,
}

fn lease(vm: usize, incarnation: u64) -> Lease {
    let name = LeaseName::Trainer("weld".parse().unwrap());
    let vm = format!("entry-{vm}").parse().unwrap();
    Lease::new(name, vm, id::Incarnation(incarnation), 0)
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let candidates = (0..CANDIDATES)
            .map(|vm| Candidate {
                lease: lease(vm, 0),
                incarnation: 0,
                clock_rate: rng.random_range(0.99..=1.01),
                clock_offset_ms: rng.random_range(0.0..1e6),
                paused_until_ms: 0,
            })
            .collect();
        let mut simulation = Self {
            rng,
            now_ms: 0,
            table: Table::default(),
            candidates,
            events: BTreeMap::new(),
            sequence: 0,
            last_held_fence: id::Fence(0),
            last_written_fence: id::Fence(0),
            event_counts: EventCounts::default(),
        };
        for vm in 0..CANDIDATES {
            simulation.push(vm, 0, Event::Tick);
        }
        simulation
    }

    fn push(&mut self, vm: usize, delay: u64, event: Event) {
        self.sequence += 1;
        let incarnation = self.candidates[vm].incarnation;
        let key = (self.now_ms + delay, self.sequence);
        self.events.insert(key, (vm, incarnation, event));
    }

    /// Returns whether a random event occurs; none occurs after the end of the faults.
    fn occurs(&mut self, permille: u32) -> bool {
        self.now_ms < FAULTS_END_MS && self.rng.random_ratio(permille, 1_000)
    }

    fn run(mut self, seed: u64) -> EventCounts {
        while let Some(((at, _), (vm, incarnation, event))) = self.events.pop_first() {
            if at >= END_MS {
                break;
            }
            self.now_ms = at;
            let is_current = self.candidates[vm].incarnation == incarnation;
            match event {
                Event::Arrive(request_id, request) => {
                    self.handle_request(vm, is_current, request_id, request)
                }
                Event::Data(guard) => self.write_data(guard, seed),
                Event::Tick | Event::Reply(..) if !is_current => {}
                event if self.candidates[vm].paused_until_ms > at => {
                    let delay = self.candidates[vm].paused_until_ms - at;
                    self.push(vm, delay, event);
                }
                Event::Tick => self.tick(vm),
                Event::Reply(request_id, reply) => self.handle_reply(vm, request_id, reply),
            }
            self.check_holders(seed);
        }
        let holders = self.candidates.iter();
        let holders = holders.filter(|candidate| {
            candidate
                .lease
                .held(candidate.local_time(self.now_ms))
                .is_some()
        });
        assert_eq!(holders.count(), 1, "seed {seed}: holders after the faults");
        self.event_counts
    }

    fn tick(&mut self, vm: usize) {
        if self.occurs(4) {
            let candidate = &mut self.candidates[vm];
            candidate.incarnation += 1;
            candidate.lease = lease(vm, candidate.incarnation);
        }
        let now = self.candidates[vm].local_time(self.now_ms);
        if let Some(guard) = self.candidates[vm].lease.held(now) {
            if self.occurs(100) {
                let delay = self.rng.random_range(5..20_000);
                self.push(vm, delay, Event::Data(guard));
            }
        }
        if let Some(action) = self.candidates[vm].lease.poll(now, &mut self.rng) {
            self.send(vm, action);
        }
        if self.occurs(15) {
            self.candidates[vm].paused_until_ms =
                self.now_ms + self.rng.random_range(1_000..16_000);
        }
        let delay = self.rng.random_range(50..250);
        self.push(vm, delay, Event::Tick);
    }

    /// Sends a request, which may be lost or delayed, also beyond its timeout of 1 s.
    fn send(&mut self, vm: usize, action: Action) {
        let error = |category| Error::new(category, "table", Cause::Truncated);
        let (request_id, request) = match action {
            Action::Read { request_id, prefix } => (request_id, Request::Read(prefix)),
            Action::Commit { request_id, txn } => (request_id, Request::Commit(txn)),
        };
        let failed_reply = |request: &Request, category| match request {
            Request::Read(_) => Reply::Rows(Err(error(category))),
            Request::Commit(_) => Reply::Outcome(Err(error(category))),
        };
        if self.occurs(40) {
            let reply = failed_reply(&request, Category::NotSent);
            return self.push(vm, 1, Event::Reply(request_id, reply));
        }
        let reply = failed_reply(&request, Category::Ambiguous);
        self.push(vm, 1_000, Event::Reply(request_id, reply));
        if !self.occurs(60) {
            let delay = match self.occurs(150) {
                true => self.rng.random_range(100..20_000),
                false => self.rng.random_range(1..20),
            };
            self.push(vm, delay, Event::Arrive(request_id, request));
        }
    }

    fn handle_request(
        &mut self,
        vm: usize,
        is_current: bool,
        request_id: RequestId,
        request: Request,
    ) {
        let reply = match request {
            Request::Read(prefix) => Reply::Rows(Ok(self.table.scan(&prefix))),
            Request::Commit(txn) => Reply::Outcome(Ok(self.table.commit(&txn))),
        };
        let lost = self.occurs(100);
        if is_current && !lost {
            let delay = match self.occurs(100) {
                true => self.rng.random_range(100..5_000),
                false => self.rng.random_range(1..20),
            };
            self.push(vm, delay, Event::Reply(request_id, reply));
        }
    }

    fn handle_reply(&mut self, vm: usize, request_id: RequestId, reply: Reply) {
        let candidate = &mut self.candidates[vm];
        let now = candidate.local_time(self.now_ms);
        match reply {
            Reply::Rows(rows) => candidate.lease.on_read(now, request_id, rows).unwrap(),
            Reply::Outcome(outcome) => candidate.lease.on_commit(now, request_id, outcome),
        }
    }

    fn write_data(&mut self, guard: Guard, seed: u64) {
        let fence_key = "lease/trainer/weld/fence";
        let txn = Txn::new()
            .check(fence_key, guard.fence_row_version)
            .put("data", "1");
        self.event_counts.data_writes += 1;
        match self.table.commit(&txn) {
            Outcome::Applied { .. } => {
                assert!(
                    guard.fence >= self.last_held_fence,
                    "seed {seed}: stale write"
                );
                assert!(
                    guard.fence >= self.last_written_fence,
                    "seed {seed}: fencing token decreased"
                );
                self.last_written_fence = guard.fence;
            }
            Outcome::Conflict { .. } => self.event_counts.stale_writes += 1,
        }
    }

    /// Checks that at most one candidate, paused or not, holds a valid guard.
    fn check_holders(&mut self, seed: u64) {
        let held = |candidate: &Candidate| candidate.lease.held(candidate.local_time(self.now_ms));
        let guards: Vec<Guard> = self.candidates.iter().filter_map(held).collect();
        assert!(
            guards.len() <= 1,
            "seed {seed}, {} ms: {guards:?}",
            self.now_ms
        );
        for guard in guards {
            assert!(
                guard.fence >= self.last_held_fence,
                "seed {seed}: {guard:?}"
            );
            if guard.fence > self.last_held_fence {
                self.last_held_fence = guard.fence;
                self.event_counts.takeovers += 1;
            }
        }
    }
}

/// Guards against two holders at the same real time and against an applied data write of a former
/// holder, with lost replies, delayed writes, pauses, restarts and clock-rate errors.
#[test]
fn at_most_one_holder() {
    let mut total = EventCounts::default();
    for seed in 0..SCHEDULES {
        let event_counts = Simulation::new(seed).run(seed);
        total.takeovers += event_counts.takeovers;
        total.stale_writes += event_counts.stale_writes;
        total.data_writes += event_counts.data_writes;
    }
    println!(
        "{SCHEDULES} schedules: {} takeovers, {} data writes, {} of them stale",
        total.takeovers, total.data_writes, total.stale_writes
    );
    // The faults must have had an effect often enough.
    assert!(total.takeovers > 2 * SCHEDULES);
    assert!(total.stale_writes > SCHEDULES / 2);
}
