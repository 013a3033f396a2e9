//! The operations of trainers and engines in a simulation.

use super::{InFlight, Process, Simulation};
use crate::owner::trainer;
use dogwoodlb_ledger::*;
use dogwoodlb_types::prelude::*;
use rand::RngExt;

fn content(step: u64) -> Content {
    let group = |number| Group {
        prompt: format!("{step}/{number}"),
        size: 2,
    };
    Content {
        groups: vec![group(0), group(1)],
        max_tokens: 16,
    }
}

impl Simulation {
    /// Starts a random operation; returns the completion if it needed no transaction.
    pub(super) fn start_random_operation(&mut self, process: &mut Process) -> Option<Completion> {
        // A trainer that missed replies because of a crash resumes after the last acknowledged
        // step.
        if let Some(last) = process.ledger.acknowledged() {
            self.next_step = self.next_step.max(last.0 + 1);
        }
        // Occasionally a replaced trainer process continues under its old session.
        let uses_old_session = !self.faults_disabled && self.session.0 > 1 && self.one_in(10);
        let session = id::Session(self.session.0 - u64::from(uses_old_session));
        // Without faults the trainer neither restarts nor publishes, so that the step completes.
        let choices = if self.faults_disabled { 1..18 } else { 0..20 };
        let choice = self.rng.random_range(choices);
        let result = self.start_operation(process, session, choice)?;
        // The owner refuses the choices that check the session. A replaced owner may not know the
        // new session; its transaction conflicts instead.
        let is_refused =
            uses_old_session && process.epoch == self.epoch && matches!(choice, 1..3 | 13..19);
        let seed = self.seed;
        assert!(!is_refused || result.is_err(), "seed {seed}: old session");
        match result {
            Ok(Start::Commit(commit)) => {
                process.in_flight = Some(InFlight::Commit(commit));
                None
            }
            Ok(Start::Done(completion)) if process.epoch == self.epoch => {
                let is_delivery = matches!(completion, Completion::Delivered(_));
                self.count("redeliveries", u64::from(is_delivery));
                Some(completion)
            }
            Ok(Start::Done(_) | Start::Busy) => None,
            Err(refusal) => {
                assert_ne!(refusal.code, Code::Invariant, "seed {seed}: {refusal}");
                None
            }
        }
    }

    fn start_operation(
        &mut self,
        process: &mut Process,
        session: id::Session,
        choice: u32,
    ) -> Option<OperationResult<Start>> {
        let operation = self.operation();
        let steps = process.ledger.steps();
        let first = steps.first().map_or(self.next_step, |view| view.step.0);
        let ledger = &mut process.ledger;
        // The reply to the last `open_session` may have been lost.
        let session_unknown = self.faults_disabled && session != ledger.session();
        if choice == 0 || session == id::Session(0) || session_unknown {
            return Some(ledger.open_session(operation));
        }
        match choice {
            1..3 => {
                let last = if steps.len() < 3 {
                    self.next_step
                } else {
                    first
                };
                let step = self.rng.random_range(first..=last);
                Some(ledger.submit(session, id::Step(step), &content(step), operation))
            }
            3..10 => {
                self.accept(process, &steps);
                None
            }
            10..13 => {
                let commit = ledger.flush(Instant::from_millis(self.now_ms), operation)?;
                Some(Ok(Start::Commit(commit)))
            }
            13..16 => Some(ledger.deliver(session, id::Step(first), operation)),
            16..18 => {
                let last = self.deliveries.values().next_back()?;
                Some(ledger.acknowledge(session, last.step, last.delivery, operation))
            }
            18 => {
                let version = ledger.version().0.next();
                Some(ledger.publish(session, version, "weights", operation))
            }
            _ => ledger.delete_acknowledged(operation).map(Ok),
        }
    }

    /// Accepts finished attempts, some of them duplicates, stale or with invalid spans.
    fn accept(&mut self, process: &mut Process, steps: &[StepView]) {
        let version = process.ledger.version().0;
        for view in steps {
            for (group, index) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
                if self.one_in(2) {
                    continue;
                }
                self.last_attempt += 1;
                let oldest_version = version
                    .0
                    .saturating_sub(self.rng.random_range(0..=self.bound + 1));
                let swap_position = self.rng.random_range(1..6);
                let span = |version, from, to| Span { version, from, to };
                let finished = FinishedAttempt {
                    sample: id::Sample::new(trainer(), view.step, group, index),
                    attempt: self.last_attempt,
                    tokens: 6,
                    spans: vec![
                        span(id::Version(oldest_version), 0, swap_position),
                        span(version, swap_position, if self.one_in(20) { 5 } else { 6 }),
                    ],
                    body: format!("attempt {}", self.last_attempt),
                };
                self.produced.insert(self.last_attempt, finished.clone());
                process.ledger.accept(finished).unwrap();
            }
        }
    }
}
