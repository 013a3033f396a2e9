//! The keyed plain call: intent, dispatch, answer, outcome and replay.

use crate::fault::*;
use crate::store::{failure, Store};
use dogwoodlb_external::service::Reply;
use dogwoodlb_external::Category;
use dogwoodlb_once::{Action, Call, CallKey, Request, RequestDigest, Response};
use dogwoodlb_types::prelude::*;
use std::collections::VecDeque;

const DEADLINE_MS: u64 = 5_000;
/// The shortest time between two requests of the caller.
const PAUSE_MS: u64 = 3_000;
const TICK_MS: u64 = 100;

pub(crate) const PATH: Path = Path {
    name: "keyed",
    steps: &["intent", "dispatch", "answer", "outcome", "replay"],
    writes: &["intent", "dispatch", "outcome"],
    run,
    excuse,
};

/// The same, with the stricter reading of "not run".
pub(crate) const STRICT: Path = Path {
    run: run_strict,
    ..PATH
};

fn excuse(_: Step, fault: Fault) -> Option<&'static str> {
    (fault == Fault::TwoOperators).then_some("a call reads the manifest only at admission, before")
}

/// One attempt of the caller, on a node of its own.
struct Attempt {
    call: Option<Call>,
    actions: VecDeque<Action>,
    paused_until: u64,
    /// Until when the node reaches neither store nor upstream nor caller.
    cut_until: u64,
    store_cut_until: u64,
    /// When the upstream carries out a delayed request.
    late_run: Option<u64>,
    executed: u32,
    answer: Option<Response>,
    /// Whether the answer reached the caller.
    is_told: bool,
    began: u64,
}

struct World {
    now: u64,
    store: Store,
    attempts: Vec<Attempt>,
    upstream_cut_until: u64,
    repeats: usize,
    /// Whether "not run" must hold for the key, not only for the attempt.
    is_strict: bool,
}

fn run(faults: &mut Faults, seed: u64) {
    run_caller(faults, seed, false);
}

fn run_strict(faults: &mut Faults, seed: u64) {
    run_caller(faults, seed, true);
}

fn run_caller(faults: &mut Faults, seed: u64, is_strict: bool) {
    let mut world = World {
        now: 0,
        store: Store::default(),
        attempts: Vec::new(),
        upstream_cut_until: 0,
        repeats: 0,
        is_strict,
    };
    world.begin(seed);
    let mut last = 0;
    // The caller repeats the request until it has a final answer, and then once more.
    loop {
        assert!(
            world.attempts.len() < 1_000,
            "the caller gets no final answer"
        );
        world.tick(faults);
        let attempt = &world.attempts[last];
        let waited = world.now - attempt.began;
        let is_over = attempt.is_told && waited >= PAUSE_MS || waited > DEADLINE_MS + PAUSE_MS;
        if !is_over {
            continue;
        }
        if attempt.is_replayed() && world.is_quiet() {
            break;
        }
        last = world.attempts.len();
        world.begin(seed + last as u64);
    }
    for _ in 0..1_000 {
        world.tick(faults);
    }
    world.check();
}

impl Attempt {
    /// Tells whether the answer is one that no repetition changes.
    fn is_replayed(&self) -> bool {
        match &self.answer {
            Some(Response::Replay(_)) => true,
            Some(Response::Refuse(refusal)) => refusal.execution == Execution::MayHaveRun,
            _ => false,
        }
    }
}

impl World {
    fn begin(&mut self, operation: u64) {
        let call = Call::new(Request {
            key: CallKey::new(&"quotes".parse().unwrap(), "order-17").unwrap(),
            operation: id::Operation(u128::from(operation) << 32 | self.attempts.len() as u128),
            digest: RequestDigest::new("POST", "/orders", b"{}"),
            created: Timestamp::from_millis(0),
            deadline: Instant::from_millis(self.now + DEADLINE_MS),
        });
        self.attempts.push(Attempt {
            call: Some(call),
            actions: VecDeque::new(),
            paused_until: 0,
            cut_until: 0,
            store_cut_until: 0,
            late_run: None,
            executed: 0,
            answer: None,
            is_told: false,
            began: self.now,
        });
    }

    fn is_quiet(&self) -> bool {
        self.now >= self.store.down_until
            && self.attempts.iter().all(|own| own.paused_until <= self.now)
    }

    fn tick(&mut self, faults: &mut Faults) {
        self.now += TICK_MS;
        self.store.advance(self.now);
        for index in 0..self.attempts.len() {
            let attempt = &mut self.attempts[index];
            if attempt.late_run.is_some_and(|at| at <= self.now) {
                attempt.late_run = None;
                self.execute(index);
            }
            // Each action takes a tick, so that attempts overlap.
            if self.attempts[index].paused_until <= self.now {
                self.advance(index, faults);
            }
        }
    }

    fn advance(&mut self, index: usize, faults: &mut Faults) {
        let now = Instant::from_millis(self.now);
        let attempt = &mut self.attempts[index];
        let Some(call) = &mut attempt.call else {
            return;
        };
        if attempt.actions.is_empty() && call.next_poll().is_some_and(|at| at <= now) {
            attempt.actions.extend(call.poll(now));
        }
        let Some(action) = attempt.actions.pop_front() else {
            return;
        };
        let fault = self.step(index, &action).and_then(|step| faults.at(step));
        match fault {
            Some(Fault::CrashBefore) => self.attempts[index].call = None,
            Some(Fault::Freeze) => {
                let attempt = &mut self.attempts[index];
                attempt.paused_until = self.now + FREEZE_MS;
                attempt.actions.push_front(action);
            }
            _ => self.perform(index, &action, fault),
        }
    }

    fn step(&self, index: usize, action: &Action) -> Option<Step> {
        let is_first = self.attempts[index].executed == 0;
        match action {
            Action::Commit { txn, .. } if txn.puts[0].value.contains("\"started\"") => {
                Some("intent")
            }
            Action::Commit { .. } => Some("outcome"),
            Action::Dispatch { .. } => Some("dispatch"),
            Action::Respond(Response::Reply(_)) => Some("answer"),
            Action::Read { key, .. } if is_first => {
                let rows = self.store.table.scan(key);
                let is_done = rows.iter().any(|row| row.value.contains("\"done\""));
                is_done.then_some("replay")
            }
            _ => None,
        }
    }

    fn perform(&mut self, index: usize, action: &Action, fault: Option<Fault>) {
        let now = self.now;
        match fault {
            Some(Fault::StoreDown) => self.store.down_until = now + OUTAGE_MS,
            Some(Fault::RegionCut) => self.attempts[index].cut_until = now + REGION_CUT_MS,
            Some(Fault::PeerCut) if matches!(action, Action::Dispatch { .. }) => {
                self.upstream_cut_until = now + PEER_CUT_MS;
            }
            Some(Fault::PeerCut) => self.attempts[index].store_cut_until = now + PEER_CUT_MS,
            Some(Fault::Repeated) => {
                self.repeats += 1;
                self.begin(0xFFFF + self.repeats as u64);
            }
            _ => {}
        }
        match action {
            Action::Read { key, .. } => self.read(index, key, fault),
            Action::Commit { txn, .. } => self.commit(index, txn, fault),
            Action::Dispatch { .. } => self.dispatch(index, fault),
            Action::Respond(answer) => self.answer(index, answer, fault),
        }
        if fault == Some(Fault::CrashAfter) {
            self.attempts[index].call = None;
        }
    }

    fn is_cut(&self, index: usize) -> bool {
        let attempt = &self.attempts[index];
        self.now < attempt.cut_until || self.now < attempt.store_cut_until
    }

    fn feed(
        &mut self,
        index: usize,
        event: impl FnOnce(&mut Call, Instant) -> dogwoodlb_once::Result<Vec<Action>>,
    ) {
        let now = Instant::from_millis(self.now);
        let attempt = &mut self.attempts[index];
        let call = attempt.call.as_mut().unwrap();
        attempt.actions.extend(event(call, now).unwrap());
    }

    fn read(&mut self, index: usize, key: &str, fault: Option<Fault>) {
        let is_lost = matches!(fault, Some(Fault::ReplyLost | Fault::Delay));
        let row = match self.is_cut(index) || is_lost {
            true => Err(failure(Category::Ambiguous)),
            false => self.store.read(self.now, key),
        };
        self.feed(index, |call, now| call.on_read(&row, now));
    }

    fn commit(&mut self, index: usize, txn: &dogwoodlb_external::table::Txn, fault: Option<Fault>) {
        let result = if self.is_cut(index) {
            Err(failure(Category::NotSent))
        } else if fault == Some(Fault::Delay) {
            self.store.delay(self.now + DELAY_MS, txn);
            Err(failure(Category::Ambiguous))
        } else {
            self.store.commit(self.now, txn)
        };
        let result = match fault {
            Some(Fault::ReplyLost) => Err(failure(Category::Ambiguous)),
            _ => result,
        };
        self.feed(index, |call, now| call.on_commit(&result, now));
    }

    fn dispatch(&mut self, index: usize, fault: Option<Fault>) {
        let body = index.to_string().into_bytes();
        let mut result = Ok(Reply {
            status: 201,
            content_type: None,
            body,
        });
        match fault {
            Some(Fault::Delay) => self.attempts[index].late_run = Some(self.now + DELAY_MS),
            // The region is cut while the upstream executes the call.
            _ if self.now < self.upstream_cut_until => result = Err(failure(Category::NotSent)),
            _ => self.execute(index),
        }
        let is_lost = matches!(
            fault,
            Some(Fault::Delay | Fault::ReplyLost | Fault::RegionCut)
        );
        if is_lost {
            result = Err(failure(Category::Ambiguous));
        }
        self.feed(index, |call, now| call.on_dispatch(&result, now));
    }

    fn execute(&mut self, index: usize) {
        self.attempts[index].executed += 1;
        let executed: u32 = self.attempts.iter().map(|own| own.executed).sum();
        assert_eq!(executed, 1, "attempt {index} is the second execution");
    }

    fn answer(&mut self, index: usize, answer: &Response, fault: Option<Fault>) {
        let is_lost = matches!(
            fault,
            Some(Fault::ReplyLost | Fault::Delay | Fault::PeerCut | Fault::RegionCut)
        );
        let is_lost = is_lost || self.now < self.attempts[index].cut_until;
        if let (Response::Refuse(refusal), true) = (answer, self.is_strict) {
            let executed: u32 = self.attempts.iter().map(|own| own.executed).sum();
            let is_true = refusal.execution == Execution::MayHaveRun || executed == 0;
            assert!(
                is_true,
                "`not run` for a key that was executed: {refusal:?}"
            );
        }
        let attempt = &mut self.attempts[index];
        assert_eq!(attempt.answer, None, "two answers");
        attempt.answer = Some(answer.clone());
        attempt.is_told = !is_lost;
    }

    fn check(&self) {
        for (index, attempt) in self.attempts.iter().enumerate() {
            match &attempt.answer {
                Some(Response::Reply(_)) => assert_eq!(attempt.executed, 1, "reply without a run"),
                Some(Response::Replay(reply)) => {
                    let first: usize = std::str::from_utf8(&reply.body).unwrap().parse().unwrap();
                    assert_eq!(self.attempts[first].executed, 1, "another answer");
                }
                Some(Response::Refuse(refusal)) if refusal.execution == Execution::NotRun => {
                    assert_eq!(attempt.executed, 0, "attempt {index}: untrue `not run`");
                }
                Some(Response::Refuse(_)) => {}
                None => assert!(attempt.call.is_none(), "attempt {index} has no answer"),
            }
            if let Some(call) = &attempt.call {
                assert!(call.is_finished(), "attempt {index} is stuck");
            }
        }
        let last = self.attempts.last().unwrap();
        assert!(last.is_replayed(), "no final answer: {:?}", last.answer);
    }
}
