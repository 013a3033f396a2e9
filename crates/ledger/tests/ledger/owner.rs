//! A trainer's owner whose transactions are applied immediately.

use crate::table::Table;
use dogwoodlb_external::table::{Check, Txn};
use dogwoodlb_external::{Category, Cause, Error};
use dogwoodlb_ledger::*;
use dogwoodlb_types::prelude::*;

pub(crate) const FENCE_KEY: &str = "lease/trainer/weld/fence";

pub(crate) struct Owner {
    pub(crate) ledger: Ledger,
    pub(crate) session: id::Session,
    last_operation: u128,
    now_ms: u64,
}

pub(crate) fn trainer() -> id::Trainer {
    "weld".parse().unwrap()
}

pub(crate) fn sample(step: u64, index: u32) -> id::Sample {
    id::Sample::new(trainer(), id::Step(step), 0, index)
}

/// Returns the content of a step with one group.
pub(crate) fn content(size: u32) -> Content {
    let prompt = "2 + 2 =".to_owned();
    let groups = vec![Group { prompt, size }];
    Content {
        groups,
        max_tokens: 16,
    }
}

/// Returns an attempt whose tokens were all produced by one version.
pub(crate) fn finished_attempt(
    step: u64,
    index: u32,
    attempt: u32,
    version: u64,
) -> FinishedAttempt {
    let span = Span {
        version: id::Version(version),
        from: 0,
        to: 4,
    };
    FinishedAttempt {
        sample: sample(step, index),
        attempt,
        tokens: 4,
        spans: vec![span],
        body: format!("body {step}/{index}/{attempt}"),
    }
}

pub(crate) fn ambiguous_error() -> Error {
    Error::new(Category::Ambiguous, "table", Cause::Truncated)
}

impl Owner {
    /// Takes over the trainer and loads its ledger; the initial version is 5.
    pub(crate) fn take_over(table: &mut Table, staleness_bound: u64) -> Self {
        table.commit(&Txn::new().put(FENCE_KEY, "{}"));
        let settings = Settings {
            trainer: trainer(),
            staleness_bound,
            initial_version: id::Version(5),
            max_buffer_bytes: 4_096,
        };
        let fence = Check {
            key: FENCE_KEY.to_owned(),
            version: table.version(FENCE_KEY),
        };
        let rows = table.scan(&Ledger::prefix(&trainer()));
        let ledger = Ledger::load(settings, fence, &rows).unwrap();
        Self {
            session: ledger.session(),
            ledger,
            // Operation ids of different owners must not collide.
            last_operation: u128::from(table.version(FENCE_KEY)) << 64,
            now_ms: 0,
        }
    }

    pub(crate) fn operation(&mut self) -> id::Operation {
        self.last_operation += 1;
        id::Operation(self.last_operation)
    }

    /// Commits the transaction of an operation, if it needs one; returns the completion.
    pub(crate) fn execute(&mut self, table: &mut Table, start: Start) -> Completion {
        let commit = match start {
            Start::Done(completion) => return completion,
            Start::Commit(commit) => commit,
            Start::Busy => panic!("busy"),
        };
        let outcome = table.commit(&commit.txn);
        match self.ledger.on_commit(commit.operation, Ok(outcome)) {
            Next::Done(completion) => completion,
            next => panic!("{next:?}"),
        }
    }

    pub(crate) fn open_session(&mut self, table: &mut Table) {
        let operation = self.operation();
        let start = self.ledger.open_session(operation).unwrap();
        let Completion::Session(session) = self.execute(table, start) else {
            panic!("no session");
        };
        self.session = session;
    }

    pub(crate) fn submit(&mut self, table: &mut Table, step: u64, size: u32) {
        let start = self.try_submit(step, &content(size)).unwrap();
        self.execute(table, start);
    }

    pub(crate) fn try_submit(&mut self, step: u64, content: &Content) -> OperationResult<Start> {
        let operation = self.operation();
        self.ledger
            .submit(self.session, id::Step(step), content, operation)
    }

    pub(crate) fn flush(&mut self) -> Option<Commit> {
        let operation = self.operation();
        self.now_ms += 200;
        self.ledger
            .flush(Instant::from_millis(self.now_ms), operation)
    }

    /// Accepts one attempt per sample and flushes until the buffer is empty.
    pub(crate) fn accept_and_flush(
        &mut self,
        table: &mut Table,
        step: u64,
        size: u32,
        version: u64,
    ) {
        for index in 0..size {
            let accepted = self
                .ledger
                .accept(finished_attempt(step, index, 0, version));
            assert_eq!(accepted.unwrap(), AcceptOutcome::Buffered);
        }
        while let Some(commit) = self.flush() {
            self.execute(table, Start::Commit(commit));
        }
    }

    pub(crate) fn try_deliver(&mut self, step: u64) -> OperationResult<Start> {
        let operation = self.operation();
        self.ledger.deliver(self.session, id::Step(step), operation)
    }

    pub(crate) fn deliver(&mut self, table: &mut Table, step: u64) -> Completion {
        let start = self.try_deliver(step).unwrap();
        self.execute(table, start)
    }

    pub(crate) fn expect_delivery(&mut self, table: &mut Table, step: u64) -> Delivery {
        match self.deliver(table, step) {
            Completion::Delivered(delivery) => delivery,
            other => panic!("{other:?}"),
        }
    }

    pub(crate) fn try_acknowledge(&mut self, delivery: &Delivery) -> OperationResult<Start> {
        let operation = self.operation();
        self.ledger
            .acknowledge(self.session, delivery.step, delivery.delivery, operation)
    }

    pub(crate) fn try_publish(&mut self, version: u64) -> OperationResult<Start> {
        let operation = self.operation();
        let object = format!("weights/{version}");
        self.ledger
            .publish(self.session, id::Version(version), &object, operation)
    }
}

/// Returns an owner with an open session and step 1 submitted.
pub(crate) fn owner(table: &mut Table, size: u32) -> Owner {
    let mut owner = Owner::take_over(table, 2);
    owner.open_session(table);
    owner.submit(table, 1, size);
    owner
}
