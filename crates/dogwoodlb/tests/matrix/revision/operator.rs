//! An operator, who commits a change on one node after the other until it is accepted.

use super::*;
use crate::store::failure;
use dogwoodlb_external::{Category, Error};
use dogwoodlb_manifest::adopt::Answer;
use dogwoodlb_manifest::commit::{Action, Commit, Event};
use std::collections::VecDeque;

/// How long the operator waits for a node that crashed or froze.
const PATIENCE_MS: u64 = 15_000;

pub(super) struct Run {
    operation: id::Operation,
    node: usize,
    incarnation: u64,
    core: Commit,
    actions: VecDeque<Action>,
    result: Option<Result<id::Revision, Refusal>>,
    began: u64,
    base: u64,
}

pub(super) struct Operator {
    name: String,
    node: usize,
    not_before: u64,
    runs: Vec<Run>,
    is_done: bool,
}

impl Operator {
    pub(super) fn new(name: &str, node: usize, not_before: u64) -> Self {
        Self {
            name: name.to_owned(),
            node: node % NODES,
            not_before,
            runs: Vec::new(),
            is_done: false,
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.is_done
    }
}

/// The number of a run tells its operator too.
const RUNS: usize = 10_000;

impl World {
    pub(super) fn run_operator(&mut self, index: usize, faults: &mut Faults) {
        let count = self.operators[index].runs.len();
        if let Some(run) = count.checked_sub(1) {
            self.advance(index * RUNS + run, None, faults);
        }
        if self.operators[index].is_done || !self.is_over(index) {
            return;
        }
        let operator = &self.operators[index];
        let mut own = self.history.iter().map(|own| own.1.operation);
        if own.any(|one| operator.runs.iter().any(|run| run.operation == one)) {
            self.operators[index].is_done = true;
        } else if self.now >= operator.not_before && self.now >= self.store.down_until {
            self.start(index);
        }
    }

    /// Tells whether the last run has an answer, or none will come.
    fn is_over(&self, index: usize) -> bool {
        self.operators[index].runs.last().is_none_or(|run| {
            let is_dead = self.nodes[run.node].incarnation != run.incarnation;
            run.result.is_some() || is_dead || self.now > run.began + PATIENCE_MS
        })
    }

    fn start(&mut self, index: usize) {
        let now = self.now;
        let base = id::Revision(self.history.len() as u64);
        let operator = &mut self.operators[index];
        let count = operator.runs.len();
        operator.not_before = now + 1_000;
        let node = (operator.node + count) % NODES;
        if !self.nodes[node].is_up(now) && count > 0 {
            operator.node += 1;
            return;
        }
        let operation = id::Operation((index * RUNS + count + 2) as u128);
        let name = operator.name.parse().unwrap();
        let local = self.nodes[node].local(now);
        let text = text(&operator.name);
        let (core, actions) = Commit::new(operation, name, base, text, local).unwrap();
        operator.runs.push(Run {
            operation,
            node,
            incarnation: self.nodes[node].incarnation,
            core,
            actions: actions.into(),
            result: None,
            began: now,
            base: base.0,
        });
    }

    fn run(&mut self, run: usize) -> &mut Run {
        &mut self.operators[run / RUNS].runs[run % RUNS]
    }

    pub(super) fn on_answer(
        &mut self,
        run: usize,
        from: usize,
        row_version: u64,
        answer: Answer,
        faults: &mut Faults,
    ) {
        let vm = name(from);
        let event = Event::Answer {
            vm,
            row_version,
            answer,
        };
        self.advance(run, Some(event), faults);
    }

    /// Feeds an event and a tick to a commit whose node runs, and carries out its actions.
    fn advance(&mut self, number: usize, event: Option<Event>, faults: &mut Faults) {
        let now = self.now;
        let run = &self.operators[number / RUNS].runs[number % RUNS];
        let (index, incarnation) = (run.node, run.incarnation);
        let node = &self.nodes[index];
        let is_over = run.result.is_some() || node.incarnation != incarnation;
        if is_over || !node.is_up(now) {
            return;
        }
        let local = node.local(now);
        let run = self.run(number);
        // Actions that a pause interrupted come first.
        if run.actions.is_empty() {
            let more = run.core.on_event(event.unwrap_or(Event::Tick), local);
            run.actions.extend(more);
        } else if let Some(event) = event {
            let more = run.core.on_event(event, local);
            run.actions.extend(more);
        }
        while let Some(action) = self.run(number).actions.pop_front() {
            if !self.carry_out(number, index, action, faults) {
                return;
            }
        }
    }

    /// Carries out an action; returns false if the node stopped.
    fn carry_out(
        &mut self,
        number: usize,
        index: usize,
        action: Action,
        faults: &mut Faults,
    ) -> bool {
        let base = self.run(number).base();
        let step = match &action {
            Action::Read(key) if key == CURRENT => "read pointer",
            Action::Read(key) if *key == base => "read base",
            Action::Propose { .. } => "propose",
            Action::Write(_) => "write",
            Action::Read(_) | Action::Done(_) => "",
        };
        let fault = faults.at(step);
        if !self.begin(index, step, fault) {
            self.run(number).actions.push_front(action);
            return false;
        }
        match action {
            Action::Read(key) => self.read(number, index, key, fault),
            Action::Write(txn) => self.write(number, index, &txn, fault),
            Action::Propose { vms, proposal } => {
                let copies = 1 + usize::from(fault == Some(Fault::Repeated));
                for vm in vms.iter().flat_map(|vm| std::iter::repeat_n(vm, copies)) {
                    let to = vm.as_str()[1..].parse().unwrap();
                    let message = Message::Propose(number, index, proposal.clone());
                    match fault {
                        // Each copy arrives, but no answer comes back.
                        Some(Fault::ReplyLost) => {
                            let lost = Message::Propose(number, NODES, proposal.clone());
                            self.send(index, to, lost);
                        }
                        Some(Fault::Delay) => self.post(self.now + DELAY_MS, to, message),
                        _ => self.send(index, to, message),
                    }
                }
            }
            Action::Done(result) => {
                let old = self.run(number).result.replace(result);
                assert!(old.is_none(), "two results");
            }
        }
        if fault == Some(Fault::CrashAfter) {
            self.nodes[index].crash(self.now);
            return false;
        }
        true
    }

    fn feed(&mut self, number: usize, index: usize, event: Event) {
        let local = self.nodes[index].local(self.now);
        let run = self.run(number);
        let actions = run.core.on_event(event, local);
        run.actions.extend(actions);
    }

    fn read(&mut self, number: usize, index: usize, key: String, fault: Option<Fault>) {
        let is_cut = self.now < self.nodes[index].store_cut_until;
        let is_lost = matches!(fault, Some(Fault::ReplyLost | Fault::Delay));
        let result = match is_cut || is_lost {
            true => Err(Category::Ambiguous),
            false => self.store.read(self.now, &key).map_err(|e| e.classify()),
        };
        let event = Event::Row { key, result };
        if fault == Some(Fault::Repeated) {
            self.feed(number, index, event.clone());
        }
        self.feed(number, index, event);
    }

    fn write(
        &mut self,
        number: usize,
        index: usize,
        txn: &dogwoodlb_external::table::Txn,
        fault: Option<Fault>,
    ) {
        let now = self.now;
        let result = if now < self.nodes[index].store_cut_until {
            Err(failure(Category::NotSent))
        } else if fault == Some(Fault::Delay) {
            self.store.delay(now + DELAY_MS, txn);
            Err(failure(Category::Ambiguous))
        } else {
            self.store.commit(now, txn)
        };
        if fault == Some(Fault::Repeated) && result.is_ok() {
            self.store.delay(now + 1_000, txn);
        }
        let result = match fault {
            Some(Fault::ReplyLost) => Err(Category::Ambiguous),
            _ => result.map_err(|error: Error| error.classify()),
        };
        self.feed(number, index, Event::Written(result));
    }

    /// Each answer to an operator is true.
    pub(super) fn check_results(&self) {
        for operator in &self.operators {
            for run in &operator.runs {
                let mut history = self.history.iter().map(|own| &own.1);
                let written = history.find(|record| record.operation == run.operation);
                match &run.result {
                    Some(Ok(revision)) => {
                        let written = written.map(|record| record.revision);
                        assert_eq!(written, Some(*revision), "accepted, but not written");
                    }
                    Some(Err(refusal)) if refusal.execution == Execution::NotRun => {
                        assert!(written.is_none(), "untrue `not run`: {refusal:?}");
                    }
                    Some(Err(_)) | None => {}
                }
            }
        }
        let accepted = |operator: &Operator| {
            let mut history = self.history.iter();
            history.any(|own| own.1.operator.as_str() == operator.name)
        };
        assert!(self.operators.iter().all(accepted), "a change was lost");
    }
}

impl Run {
    fn base(&self) -> String {
        record::key(id::Revision(self.base))
    }
}
