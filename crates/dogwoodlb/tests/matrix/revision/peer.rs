//! A node: its adoption core, and the faults of promising and adopting.

use super::*;
use crate::store::failure;
use dogwoodlb_external::Category;
use dogwoodlb_manifest::adopt::{Action, Adoption, Event};

/// How often nodes ping each other.
const PING_MS: u64 = 500;

pub(super) struct Node {
    pub(super) index: usize,
    pub(super) adoption: Adoption,
    /// The highest revision adopted since the start.
    revision: id::Revision,
    pub(super) incarnation: u64,
    pub(super) paused_until: u64,
    pub(super) restart_at: Option<u64>,
    pub(super) store_cut_until: u64,
    pub(super) peers_cut_until: u64,
    /// The read that a pause interrupted.
    flight: Option<Action>,
}

impl Node {
    pub(super) fn new(index: usize) -> Self {
        Self {
            index,
            adoption: Adoption::new(name(index), Instant::from_millis(index as u64 * 77_777)),
            revision: id::Revision(0),
            incarnation: 0,
            paused_until: 0,
            restart_at: None,
            store_cut_until: 0,
            peers_cut_until: 0,
            flight: None,
        }
    }

    /// Each process has a clock with an origin of its own.
    pub(super) fn local(&self, now: u64) -> Instant {
        Instant::from_millis(self.index as u64 * 77_777 + now)
    }

    pub(super) fn is_up(&self, now: u64) -> bool {
        self.restart_at.is_none() && self.paused_until <= now
    }

    pub(super) fn crash(&mut self, now: u64) {
        self.restart_at = Some(now + RESTART_MS);
        self.incarnation += 1;
        self.revision = id::Revision(0);
        self.flight = None;
    }
}

impl World {
    /// Applies the parts of a fault that are the same for all steps of a node; returns false
    /// if the step doesn't happen now.
    pub(super) fn begin(&mut self, index: usize, step: Step, fault: Option<Fault>) -> bool {
        let now = self.now;
        let node = &mut self.nodes[index];
        match fault {
            Some(Fault::CrashBefore) => node.crash(now),
            Some(Fault::Freeze) => node.paused_until = now + FREEZE_MS,
            Some(Fault::StoreDown) => self.store.down_until = now + OUTAGE_MS,
            Some(Fault::PeerCut) if matches!(step, "propose" | "promise") => {
                node.peers_cut_until = now + PEER_CUT_MS;
            }
            Some(Fault::PeerCut) => node.store_cut_until = now + PEER_CUT_MS,
            Some(Fault::RegionCut) => {
                self.region_cut_until = now + REGION_CUT_MS;
                let far = self.nodes.iter_mut().skip(FAR);
                far.for_each(|own| own.store_cut_until = now + REGION_CUT_MS);
            }
            Some(Fault::TwoOperators) => {
                let number = self.operators.len();
                let operator = Operator::new(&format!("bob-{number}"), number, now);
                self.operators.push(operator);
            }
            _ => {}
        }
        !matches!(fault, Some(Fault::CrashBefore | Fault::Freeze))
    }

    pub(super) fn run_node(&mut self, index: usize, faults: &mut Faults) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.restart_at.is_some_and(|at| at <= now) {
            node.restart_at = None;
            node.adoption = Adoption::new(name(index), node.local(now));
        }
        if !node.is_up(now) {
            return;
        }
        if let Some(action) = node.flight.take() {
            let began = node.local(now);
            self.perform(index, action, began, faults);
        }
        self.adopt(index, Event::Tick, faults);
        if now.is_multiple_of(PING_MS) {
            let began = self.nodes[index].local(now);
            for to in (0..NODES).filter(|to| *to != index) {
                self.send(index, to, Message::Ping(index, began));
            }
        }
    }

    fn adopt(&mut self, index: usize, event: Event, faults: &mut Faults) {
        let now = self.nodes[index].local(self.now);
        let adoption = &mut self.nodes[index].adoption;
        let actions = adoption.on_event(event, now, &mut self.rng);
        for action in actions {
            self.perform(index, action, now, faults);
        }
    }

    fn perform(&mut self, index: usize, action: Action, began: Instant, faults: &mut Faults) {
        let now = self.now;
        let is_cut = now < self.nodes[index].store_cut_until;
        match action {
            Action::Adopted(revision) => {
                let node = &mut self.nodes[index];
                assert!(revision > node.revision, "adopted an older revision");
                node.revision = revision;
            }
            Action::Close(txn) => {
                if !is_cut {
                    let _ = self.store.commit(now, &txn);
                }
            }
            Action::Read => self.read_pointer(index, began, faults),
            Action::ReadRevision(revision) => {
                let row = match is_cut {
                    true => Err(failure(Category::NotSent)),
                    false => self.store.read(now, &record::key(revision)),
                };
                let event = row.map_or(Event::ReadFailed, |row| Event::Revision { row });
                self.adopt(index, event, faults);
            }
        }
    }

    /// The step "adopt" is the first read that shows a node a new revision.
    fn read_pointer(&mut self, index: usize, began: Instant, faults: &mut Faults) {
        let now = self.now;
        let held = self.nodes[index].adoption.revision().0;
        let is_new = held > 0 && self.history.len() as u64 > held;
        let fault = if is_new { faults.at("adopt") } else { None };
        if !self.begin(index, "adopt", fault) {
            if fault == Some(Fault::Freeze) {
                self.nodes[index].flight = Some(Action::Read);
            }
            return;
        }
        let row = match now < self.nodes[index].store_cut_until {
            true => Err(failure(Category::NotSent)),
            false => self.store.read(now, CURRENT),
        };
        match (fault, row) {
            (Some(Fault::Delay), Ok(row)) => {
                self.post(now + DELAY_MS, index, Message::Pointer(began, row));
            }
            (Some(Fault::ReplyLost), _) | (_, Err(_)) => {
                self.adopt(index, Event::ReadFailed, faults);
            }
            (_, Ok(row)) => {
                let again = row.clone();
                self.adopt(
                    index,
                    Event::Read {
                        sent_at: began,
                        row,
                    },
                    faults,
                );
                if fault == Some(Fault::Repeated) {
                    // An old reply comes again after newer ones.
                    self.post(now + DELAY_MS, index, Message::Pointer(began, again));
                }
            }
        }
        if fault == Some(Fault::CrashAfter) {
            self.nodes[index].crash(now);
        }
    }

    pub(super) fn deliver(&mut self, to: usize, message: Message, faults: &mut Faults) {
        let node = &self.nodes[to];
        if node.restart_at.is_some() {
            return;
        }
        if node.paused_until > self.now {
            return self.post(node.paused_until, to, message);
        }
        match message {
            Message::Ping(from, began) => {
                let report = self.nodes[to].adoption.report();
                self.send(to, from, Message::Ack(to, began, report));
            }
            Message::Ack(from, began, report) => {
                let vm = name(from);
                self.adopt(
                    to,
                    Event::PeerReport {
                        vm,
                        sent_at: began,
                        report,
                    },
                    faults,
                );
            }
            Message::Propose(run, from, proposal) => {
                self.promise(to, run, from, proposal, faults);
            }
            Message::Answer(run, from, row_version, answer) => {
                self.on_answer(run, from, row_version, answer, faults);
            }
            Message::Pointer(began, row) => self.adopt(
                to,
                Event::Read {
                    sent_at: began,
                    row,
                },
                faults,
            ),
        }
    }

    fn promise(
        &mut self,
        to: usize,
        run: usize,
        from: usize,
        proposal: Proposal,
        faults: &mut Faults,
    ) {
        let fault = faults.at("promise");
        if !self.begin(to, "promise", fault) {
            if fault == Some(Fault::Freeze) {
                let at = self.now + FREEZE_MS;
                self.post(at, to, Message::Propose(run, from, proposal));
            }
            return;
        }
        let now = self.nodes[to].local(self.now);
        let adoption = &mut self.nodes[to].adoption;
        let mut answer = adoption.on_proposal(&proposal, now, &mut self.rng);
        if fault == Some(Fault::Repeated) {
            answer = adoption.on_proposal(&proposal, now, &mut self.rng);
        }
        let message = Message::Answer(run, to, proposal.row_version, answer);
        match fault {
            Some(Fault::ReplyLost) => {}
            Some(Fault::Delay) if from < NODES => {
                self.post(self.now + DELAY_MS, from, message);
            }
            Some(Fault::Repeated) => {
                let again = Message::Answer(run, to, proposal.row_version, answer);
                self.send(to, from, again);
                self.send(to, from, message);
            }
            _ => self.send(to, from, message),
        }
        if fault == Some(Fault::CrashAfter) {
            self.nodes[to].crash(self.now);
        }
    }
}
