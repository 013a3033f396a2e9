//! A node: its lease, and the ledger, planner and running attempts while it owns the trainer.

use super::trainer::content;
use super::*;
use crate::store::failure;
use dogwoodlb_external::table::{Check, Row};
use dogwoodlb_external::{Category, Result};
use dogwoodlb_lease::{Action as LeaseAction, Lease, LeaseName};
use dogwoodlb_ledger::{Commit, Completion, Settings, Start};
use dogwoodlb_rollout::Planner;
use rand::RngExt;
use std::collections::VecDeque;

const FENCE_KEY: &str = "lease/trainer/weld/fence";

#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Request {
    Session,
    Submit(id::Session, id::Step),
    /// Whether the step was fetched before.
    Fetch(id::Session, id::Step, bool),
    Acknowledge(id::Session, id::Step, id::Delivery),
    Publish(id::Session, id::Version),
}

pub(super) enum Flight {
    Objects(Commit),
    Commit(Commit),
    ReadBack(id::Operation, String),
}

#[derive(Clone, Copy, PartialEq)]
pub(super) enum Stage {
    Generate,
    Label,
    Score,
    Accept,
}

/// An attempt of a sample.
#[derive(Clone)]
pub(super) struct Job {
    pub(super) sample: id::Sample,
    pub(super) attempt: u32,
    pub(super) stage: Stage,
    pub(super) due: u64,
    /// The version that the engine served when it began.
    pub(super) first: u64,
    pub(super) spans: Vec<Span>,
    pub(super) body: String,
}

pub(super) struct Owner {
    pub(super) fence: id::Fence,
    pub(super) row_version: u64,
    pub(super) ledger: Ledger,
    pub(super) planner: Planner,
    pub(super) flight: Option<Flight>,
    /// The request that the flight belongs to; none for a flush or a sweep.
    pub(super) asked: Option<Request>,
    pub(super) jobs: Vec<Job>,
}

pub(crate) struct Node {
    index: usize,
    incarnation: u64,
    lease: Lease,
    owner: Option<Owner>,
    pub(super) requests: VecDeque<Request>,
    pub(super) late_requests: Vec<(u64, Request)>,
    pub(super) paused_until: u64,
    pub(super) restart_at: Option<u64>,
    pub(super) store_cut_until: u64,
    pub(super) trainer_cut_until: u64,
    pub(super) crash_after: bool,
    pub(super) lose_reply: bool,
}

pub(super) fn settings(staleness_bound: u64) -> Settings {
    Settings {
        trainer: trainer_id(),
        staleness_bound,
        initial_version: id::Version(1),
        max_buffer_bytes: 1 << 20,
    }
}

pub(super) fn fence(store: &Store) -> Check {
    Check {
        key: FENCE_KEY.to_owned(),
        version: store.table.version(FENCE_KEY),
    }
}

impl Node {
    pub(super) fn new(index: usize) -> Self {
        Self {
            index,
            incarnation: 0,
            lease: lease(index, 0),
            owner: None,
            requests: VecDeque::new(),
            late_requests: Vec::new(),
            paused_until: 0,
            restart_at: None,
            store_cut_until: 0,
            trainer_cut_until: 0,
            crash_after: false,
            lose_reply: false,
        }
    }

    pub(super) fn crash(&mut self, now: u64) {
        self.restart_at = Some(now + RESTART_MS);
        self.owner = None;
        self.requests.clear();
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.restart_at = None;
        self.lease = lease(self.index, self.incarnation);
    }
}

fn lease(index: usize, incarnation: u64) -> Lease {
    let vm = format!("entry-{index}").parse().unwrap();
    let incarnation = id::Incarnation(incarnation);
    Lease::new(LeaseName::Trainer(trainer_id()), vm, incarnation, index)
}

impl World {
    pub(super) fn run_node(&mut self, index: usize, faults: &mut Faults) {
        let now = self.now;
        self.wake(index);
        let node = &mut self.nodes[index];
        if node.restart_at.is_some_and(|at| at <= now) {
            node.restart();
        }
        if node.restart_at.is_some() || node.paused_until > now {
            return;
        }
        let (due, late) = std::mem::take(&mut node.late_requests)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        node.late_requests = late;
        node.requests.extend(due.into_iter().map(|(_, own)| own));
        // What was decided before a pause is carried out first after it.
        if let Some(owner) = self.nodes[index].owner.take() {
            let owner = self.run_flight(index, owner, faults);
            let owner = owner.and_then(|owner| self.run_jobs(index, owner, faults));
            self.nodes[index].owner = owner;
        }
        if self.nodes[index].restart_at.is_none() && self.nodes[index].paused_until <= now {
            self.run_lease(index);
            self.run_owner(index);
        }
    }

    /// Wakes a frozen node right after another one has taken the trainer over, before that one
    /// has written anything: then only the fence row tells that a write is stale.
    fn wake(&mut self, index: usize) {
        let now = self.now;
        let mut others = self.nodes.iter().filter(|own| own.index != index);
        if others.any(|own| own.lease.held(at(now)).is_some()) {
            let node = &mut self.nodes[index];
            node.paused_until = node.paused_until.min(now);
        }
    }

    pub(super) fn is_cut(&self, index: usize) -> bool {
        self.now < self.nodes[index].store_cut_until
    }

    fn run_lease(&mut self, index: usize) {
        let now = at(self.now);
        let is_cut = self.is_cut(index);
        for _ in 0..2 {
            let lease = &mut self.nodes[index].lease;
            match lease.poll(now, &mut self.rng) {
                Some(LeaseAction::Read { request_id, prefix }) => {
                    let rows: Result<Vec<Row>> = match is_cut {
                        true => Err(failure(Category::NotSent)),
                        false => self.store.scan(self.now, &prefix),
                    };
                    lease.on_read(now, request_id, rows).unwrap();
                }
                Some(LeaseAction::Commit { request_id, txn }) => {
                    let outcome = match is_cut {
                        true => Err(failure(Category::NotSent)),
                        false => self.store.commit(self.now, &txn),
                    };
                    lease.on_commit(now, request_id, outcome);
                }
                None => return,
            }
        }
    }

    /// Loads the ledger after a takeover and starts what is due.
    fn run_owner(&mut self, index: usize) {
        let now = at(self.now);
        let held = self.nodes[index].lease.held(now);
        let is_cut = self.is_cut(index);
        let node = &mut self.nodes[index];
        if let Some(guard) = held {
            let is_loaded = node
                .owner
                .as_ref()
                .is_some_and(|own| own.fence == guard.fence);
            if !is_loaded && !is_cut {
                node.owner = load(&self.store, self.now, guard, self.bound);
            }
        }
        let Some(mut owner) = node.owner.take() else {
            return self.refuse_all(index);
        };
        owner.ledger.set_staleness_bound(self.bound);
        owner.planner.update_settings(self.bound, 1.0);
        if held.is_none_or(|guard| guard.fence != owner.fence) {
            self.refuse_all(index);
            self.nodes[index].owner = Some(owner);
            return;
        }
        self.run_requests(index, &mut owner);
        if let Some(commit) = owner.ledger.flush(now, id::Operation(self.rng.random())) {
            owner.flight = Some(Flight::Objects(commit));
            owner.asked = None;
        }
        self.plan(&mut owner);
        if self.nodes[index].restart_at.is_none() {
            self.nodes[index].owner = Some(owner);
        }
    }

    fn refuse_all(&mut self, index: usize) {
        for request in std::mem::take(&mut self.nodes[index].requests) {
            self.answer(index, &request, None);
        }
    }

    fn run_requests(&mut self, index: usize, owner: &mut Owner) {
        while let Some(request) = self.nodes[index].requests.pop_front() {
            let start = self.start(owner, &request);
            match start {
                Ok(Start::Busy) => {
                    self.nodes[index].requests.push_front(request);
                    return;
                }
                Ok(Start::Commit(commit)) => {
                    owner.flight = Some(Flight::Commit(commit));
                    owner.asked = Some(request);
                }
                Ok(Start::Done(done)) => {
                    self.complete(owner, &done);
                    self.reply(index, &request, Some(done));
                }
                Err(_) => self.reply(index, &request, None),
            }
        }
    }

    fn start(
        &mut self,
        owner: &mut Owner,
        request: &Request,
    ) -> dogwoodlb_ledger::OperationResult<Start> {
        let operation = id::Operation(self.rng.random());
        let ledger = &mut owner.ledger;
        match request {
            Request::Session => ledger.open_session(operation),
            Request::Submit(session, step) => ledger.submit(*session, *step, &content(), operation),
            Request::Fetch(session, step, _) => {
                // As the daemon does: the planner counts its run-ahead from this step.
                owner.planner.set_requested_step(Some(*step));
                let start = ledger.deliver(*session, *step, operation);
                if matches!(start, Ok(Start::Commit(_))) {
                    let bound = self.delivery_bounds.entry(*step).or_default();
                    *bound = self.bound.max(*bound);
                }
                start
            }
            Request::Acknowledge(session, step, delivery) => {
                ledger.acknowledge(*session, *step, *delivery, operation)
            }
            Request::Publish(session, version) => {
                ledger.publish(*session, *version, &format!("weights/{version}"), operation)
            }
        }
    }

    /// Answers the trainer, if the lease is still held then.
    pub(super) fn reply(&mut self, index: usize, request: &Request, done: Option<Completion>) {
        let node = &mut self.nodes[index];
        let is_held = node.lease.held(at(self.now)).is_some();
        if std::mem::take(&mut node.lose_reply) {
            return;
        }
        let crashes = std::mem::take(&mut node.crash_after);
        self.answer(index, request, done.filter(|_| is_held));
        if crashes {
            self.nodes[index].crash(self.now);
        }
    }

    /// Tells the planner what the ledger did.
    pub(super) fn complete(&mut self, owner: &mut Owner, done: &Completion) {
        let now = at(self.now);
        let planner = &mut owner.planner;
        match done {
            Completion::Submitted(step) => planner.submit(*step, &[SIZE]).unwrap(),
            Completion::Acknowledged(step) => planner.on_acknowledged(*step),
            Completion::Published { version, .. } => planner.on_version(now, *version),
            _ => {}
        }
        if let Completion::Published { stale, .. } | Completion::Waiting { stale, .. } = done {
            for sample in stale {
                planner.on_stale(now, sample);
            }
        }
    }
}

fn load(store: &Store, now: u64, guard: dogwoodlb_lease::Guard, bound: u64) -> Option<Owner> {
    let rows = store.scan(now, &Ledger::prefix(&trainer_id())).ok()?;
    let fence = Check {
        key: FENCE_KEY.to_owned(),
        version: guard.fence_row_version,
    };
    let ledger = Ledger::load(settings(bound), fence, &rows).unwrap();
    let settings = dogwoodlb_rollout::Settings {
        trainer: trainer_id(),
        staleness_bound: bound,
        idle_weight: 1.0,
    };
    let mut planner = Planner::new(settings, ledger.version().0);
    for step in ledger.steps() {
        planner
            .resume(step.step, &step.group_sizes, &step.missing)
            .unwrap();
    }
    Some(Owner {
        fence: guard.fence,
        row_version: guard.fence_row_version,
        ledger,
        planner,
        flight: None,
        asked: None,
        jobs: Vec::new(),
    })
}
