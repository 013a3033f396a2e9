//! Seeded simulations of several nodes with retries, crashes, lost replies and late writes.

use dogwoodlb_external::service::Reply;
use dogwoodlb_external::table::{Outcome, Row, Txn};
use dogwoodlb_external::{Category, Cause, Error};
use dogwoodlb_once::{Action, Call, CallKey, Request, RequestDigest, Response};
use dogwoodlb_types::prelude::*;
use rand::{rngs::StdRng, RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const SCHEDULES: u64 = 10_000;
const DEADLINE: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct Table {
    rows: HashMap<String, Row>,
    version: u64,
}

impl Table {
    fn apply(&mut self, txn: &Txn) -> Outcome {
        for check in &txn.checks {
            let found = self.rows.get(&check.key).map_or(0, |row| row.version);
            if found != check.version {
                let key = check.key.clone();
                return Outcome::Conflict { key, found };
            }
        }
        self.version += 1;
        let version = self.version;
        for put in &txn.puts {
            let row = Row {
                key: put.key.clone(),
                version,
                value: put.value.clone(),
            };
            self.rows.insert(put.key.clone(), row);
        }
        Outcome::Applied { version }
    }
}

enum Event {
    Retry { key: usize },
    Poll { attempt: usize },
    DelayedCommit(Txn),
    DelayedExecution { attempt: usize },
    Read { attempt: usize },
    Commit { attempt: usize, txn: Txn },
    Dispatch { attempt: usize },
    ReadDone(usize, Result<Option<Row>, Error>),
    CommitDone(usize, Result<Outcome, Error>),
    DispatchDone(usize, Result<Reply, Error>),
}

struct Attempt {
    key: usize,
    call: Option<Call>,
    executed: u32,
    response: Option<Response>,
}

/// Counts of events in the simulations, which show that the faults occurred.
#[derive(Debug, Default)]
struct Counts {
    executed: u64,
    crashed: u64,
    delayed_commits: u64,
    replayed: u64,
    not_run: u64,
    may_have_run: u64,
    reclaimed: u64,
}

struct Simulation {
    rng: StdRng,
    /// The probability of a fault per request, in percent. A crash before an action is a quarter
    /// as likely.
    fault_percent: u32,
    /// The start and the end of the table outage, in milliseconds of virtual time.
    outage_ms: (u64, u64),
    table: Table,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    attempts: Vec<Attempt>,
    /// The number of executions of each key.
    executions_by_key: Vec<u32>,
    counts: Counts,
}

fn failure(category: Category) -> Error {
    Error::new(category, "stand-in", Cause::Timeout(DEADLINE))
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let keys = rng.random_range(1..=2);
        let start = rng.random_range(0..3_000);
        let mut simulation = Self {
            fault_percent: rng.random_range(0..40),
            outage_ms: (start, start + rng.random_range(0..3_000)),
            rng,
            table: Table::default(),
            queue: BTreeMap::new(),
            sequence: 0,
            attempts: Vec::new(),
            executions_by_key: vec![0; keys],
            counts: Counts::default(),
        };
        for key in 0..keys {
            for _ in 0..simulation.rng.random_range(1..=5) {
                let at = simulation.rng.random_range(0..6_000);
                simulation.push(at, Event::Retry { key });
            }
        }
        simulation
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    fn inject_fault(&mut self) -> bool {
        self.rng.random_range(0..100) < self.fault_percent
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(1..40)
    }

    fn run(&mut self) {
        let mut event_count = 0;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            event_count += 1;
            assert!(event_count < 10_000, "the simulation does not terminate");
            self.handle(event, at);
        }
    }

    fn handle(&mut self, event: Event, at: u64) {
        let now = Instant::from_millis(at);
        let table_down = (self.outage_ms.0..self.outage_ms.1).contains(&at);
        match event {
            Event::Retry { key } => self.start_attempt(key, at),
            Event::Poll { attempt } => self.advance(attempt, at, |call| Ok(call.poll(now))),
            Event::DelayedCommit(txn) => {
                self.table.apply(&txn);
            }
            Event::DelayedExecution { attempt } => self.execute(attempt),
            Event::Read { attempt } => self.read(attempt, at, table_down),
            Event::Commit { attempt, txn } => {
                let result = self.commit(&txn, at, table_down);
                let at = at + self.delay();
                self.push(at, Event::CommitDone(attempt, result));
            }
            Event::Dispatch { attempt } => {
                let result = self.dispatch(attempt, at);
                let at = at + self.rng.random_range(1..2_000);
                self.push(at, Event::DispatchDone(attempt, result));
            }
            Event::ReadDone(attempt, result) => {
                self.advance(attempt, at, |call| call.on_read(&result, now));
            }
            Event::CommitDone(attempt, result) => {
                self.advance(attempt, at, |call| call.on_commit(&result, now));
            }
            Event::DispatchDone(attempt, result) => {
                self.advance(attempt, at, |call| call.on_dispatch(&result, now));
            }
        }
    }

    fn read(&mut self, attempt: usize, at: u64, table_down: bool) {
        let key = format!("call/quotes/{}", self.attempts[attempt].key);
        let fails = table_down || self.inject_fault();
        let row = self.table.rows.get(&key).cloned();
        let result = if fails {
            Err(failure(Category::NotSent))
        } else {
            Ok(row)
        };
        let at = at + self.delay();
        self.push(at, Event::ReadDone(attempt, result));
    }

    fn start_attempt(&mut self, key: usize, at: u64) {
        let attempt = self.attempts.len();
        let caller = "quotes".parse().unwrap();
        let call = Call::new(Request {
            key: CallKey::new(&caller, &key.to_string()).unwrap(),
            operation: id::Operation(self.rng.random()),
            digest: RequestDigest::new("POST", "/orders", b"{}"),
            created: Timestamp::from_millis(0),
            deadline: Instant::from_millis(at) + DEADLINE,
        });
        self.attempts.push(Attempt {
            key,
            call: Some(call),
            executed: 0,
            response: None,
        });
        self.push(at, Event::Poll { attempt });
    }

    /// Applies a write now, later or never; the reply is accurate or, with a fault, an error.
    fn commit(&mut self, txn: &Txn, at: u64, table_down: bool) -> Result<Outcome, Error> {
        if table_down {
            return Err(failure(Category::NotSent));
        }
        if !self.inject_fault() {
            return Ok(self.table.apply(txn));
        }
        match self.rng.random_range(0..4) {
            0 => return Err(failure(Category::NotSent)),
            1 => {}
            2 => {
                self.table.apply(txn);
            }
            _ => {
                self.counts.delayed_commits += 1;
                let at = at + self.rng.random_range(1..8_000);
                self.push(at, Event::DelayedCommit(txn.clone()));
            }
        }
        Err(failure(Category::Ambiguous))
    }

    /// Executes a request now, later or never; the reply is accurate or, with a fault, an error.
    fn dispatch(&mut self, attempt: usize, at: u64) -> Result<Reply, Error> {
        if !self.inject_fault() {
            self.execute(attempt);
            return Ok(Reply {
                status: 201,
                content_type: None,
                body: attempt.to_string().into_bytes(),
            });
        }
        match self.rng.random_range(0..5) {
            0 | 1 => return Err(failure(Category::NotSent)),
            2 => {}
            3 => self.execute(attempt),
            _ => {
                let at = at + self.rng.random_range(1..6_000);
                self.push(at, Event::DelayedExecution { attempt });
            }
        }
        Err(failure(Category::Ambiguous))
    }

    fn execute(&mut self, attempt: usize) {
        let key = self.attempts[attempt].key;
        self.attempts[attempt].executed += 1;
        self.executions_by_key[key] += 1;
        self.counts.executed += 1;
        assert_eq!(
            self.executions_by_key[key], 1,
            "key {key} was executed twice"
        );
    }

    /// Passes an event to a call unless its node has crashed, and executes the actions. The node
    /// may crash before each of them.
    fn advance(
        &mut self,
        attempt: usize,
        at: u64,
        event: impl FnOnce(&mut Call) -> dogwoodlb_once::Result<Vec<Action>>,
    ) {
        let Some(mut call) = self.attempts[attempt].call.take() else {
            return;
        };
        let actions = event(&mut call).unwrap();
        for action in actions {
            if self.rng.random_range(0..400) < self.fault_percent {
                self.counts.crashed += 1;
                return;
            }
            let at = at + 1;
            match action {
                Action::Read { .. } => self.push(at, Event::Read { attempt }),
                Action::Commit { txn, .. } => {
                    let is_open = |row: &Row| row.value.contains("\"open\"");
                    let is_claim = txn.puts[0].value.contains("\"started\"");
                    let row = self.table.rows.get(&txn.puts[0].key);
                    self.counts.reclaimed += u64::from(is_claim && row.is_some_and(is_open));
                    self.push(at, Event::Commit { attempt, txn });
                }
                Action::Dispatch { .. } => self.push(at, Event::Dispatch { attempt }),
                Action::Respond(response) => self.respond(attempt, response),
            }
        }
        if let Some(wake) = call.next_poll() {
            let at = wake.as_millis().max(at);
            self.push(at, Event::Poll { attempt });
        }
        self.attempts[attempt].call = Some(call);
    }

    fn respond(&mut self, index: usize, response: Response) {
        let executions = self.executions_by_key[self.attempts[index].key];
        let attempt = &mut self.attempts[index];
        assert_eq!(attempt.response, None, "second response");
        match &response {
            Response::Reply(_) => assert_eq!(attempt.executed, 1),
            Response::Replay(reply) => {
                self.counts.replayed += 1;
                let first: usize = std::str::from_utf8(&reply.body).unwrap().parse().unwrap();
                assert_eq!(self.attempts[first].executed, 1);
            }
            Response::Refuse(refusal) if refusal.execution == Execution::NotRun => {
                self.counts.not_run += 1;
                assert_eq!(attempt.executed, 0, "not run, but executed");
                // "Not run" applies to the key, whichever attempt ran.
                assert_eq!(executions, 0, "not run, but executed by another attempt");
            }
            Response::Refuse(_) => self.counts.may_have_run += 1,
        }
        self.attempts[index].response = Some(response);
    }

    fn check(&self) {
        for attempt in &self.attempts {
            let refused_as =
                |ran| matches!(&attempt.response, Some(Response::Refuse(r)) if r.execution == ran);
            if refused_as(Execution::NotRun) {
                assert_eq!(attempt.executed, 0, "executed after the response `not run`");
            }
            if let Some(call) = &attempt.call {
                assert!(call.is_finished() && attempt.response.is_some());
            }
        }
    }
}

/// Guards against a second execution of a key and against a false "not run" after crashes, lost
/// replies, late writes and retries on other nodes, in any order.
#[test]
fn key_runs_at_most_once() {
    let mut total = Counts::default();
    for seed in 0..SCHEDULES {
        let mut simulation = Simulation::new(seed);
        let run = std::panic::AssertUnwindSafe(|| {
            simulation.run();
            simulation.check();
        });
        if let Err(panic) = std::panic::catch_unwind(run) {
            eprintln!("seed {seed}");
            std::panic::resume_unwind(panic);
        }
        let counts = simulation.counts;
        total.executed += counts.executed;
        total.crashed += counts.crashed;
        total.delayed_commits += counts.delayed_commits;
        total.replayed += counts.replayed;
        total.not_run += counts.not_run;
        total.may_have_run += counts.may_have_run;
        total.reclaimed += counts.reclaimed;
    }
    println!("{total:?}");
    for count in [
        total.executed,
        total.crashed,
        total.delayed_commits,
        total.replayed,
        total.not_run,
        total.may_have_run,
        total.reclaimed,
    ] {
        assert!(count > SCHEDULES / 100, "an event is too rare: {total:?}");
    }
}
