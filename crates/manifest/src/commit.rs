//! The commit of a manifest on behalf of an operator, as a state machine without I/O.
//!
//! See docs/design.md, section 4.5: the node collects promises from a majority of the listed VMs
//! before the conditional write. If the response is lost, it determines the outcome by reading
//! back (section 4.3).

mod refusal;

use crate::proposal::{Answer, Proposal};
use crate::record::{self, Pointer, Record, CURRENT};
use crate::Manifest;
use dogwoodlb_external::table::{Outcome, Row, Txn};
use dogwoodlb_external::Category;
use dogwoodlb_types::{id, Code, Instant, Refusal};
use std::collections::BTreeSet;
use std::time::Duration;

/// The time within which a commit completes or its outcome is reported as unknown.
pub const DEADLINE: Duration = Duration::from_secs(10);

/// The maximum time to wait for promises; half of the time after which nodes close a proposal.
const PROMISE_TIMEOUT: Duration = Duration::from_secs(2);

/// The delay before a failed read-back is repeated.
const READ_BACK_DELAY: Duration = Duration::from_millis(200);

/// The maximum number of attempts of a commit. An attempt is repeated if another node closes its
/// proposal before the write.
const MAX_ATTEMPTS: u32 = 3;

/// The maximum base revision. The revision that follows it is 2^53 - 1, the largest integer up to
/// which all JSON numbers are exact.
const MAX_REVISION: u64 = (1 << 53) - 2;

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A read completed.
    Row {
        /// The key that was read.
        key: String,
        /// The row, if it exists, or the category of the error.
        result: Result<Option<Row>, Category>,
    },
    /// A VM answered the proposal.
    Answer {
        /// The VM.
        vm: id::Vm,
        /// The row version of the answered proposal.
        row_version: u64,
        /// The answer.
        answer: Answer,
    },
    /// The write completed.
    Written(Result<Outcome, Category>),
    /// Time has advanced.
    Tick,
}

/// An output of the state machine, to be executed by the node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read a row and report [`Event::Row`].
    Read(String),
    /// Send a proposal to these VMs, this node included, and report each [`Event::Answer`].
    Propose {
        /// The VMs.
        vms: Vec<id::Vm>,
        /// The proposal.
        proposal: Proposal,
    },
    /// Commit a transaction and report [`Event::Written`].
    Write(Txn),
    /// Return the result to the operator. No further actions follow.
    Done(Result<id::Revision, Refusal>),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    ReadPointer,
    ReadBase,
    CollectPromises {
        started_at: Instant,
    },
    Write,
    ReadBack {
        /// Whether the write conflicted; otherwise it got no response.
        conflict: bool,
        retry_at: Option<Instant>,
    },
    Done,
}

/// The state machine of one commit.
#[derive(Debug)]
pub struct Commit {
    proposal: Proposal,
    state: State,
    deadline: Instant,
    attempt: u32,
    /// Whether a write without a response may still take effect.
    in_doubt: bool,
    vms: Vec<id::Vm>,
    promised: BTreeSet<id::Vm>,
    refused: BTreeSet<id::Vm>,
}

impl Commit {
    /// Validates the document and starts a commit.
    ///
    /// `operation` must be a random number.
    ///
    /// # Errors
    ///
    /// Returns [`Code::BadRequest`] with all faults if the document is invalid.
    pub fn new(
        operation: id::Operation,
        operator: id::Operator,
        base: id::Revision,
        text: String,
        now: Instant,
    ) -> Result<(Self, Vec<Action>), Refusal> {
        if let Err(error) = crate::from_str(&text) {
            let message = format!("the manifest is invalid, nothing was changed:\n{error}");
            return Err(Refusal::not_run(Code::BadRequest, message));
        }
        if base.0 > MAX_REVISION {
            let message = format!("base revision {base} exceeds the maximum revision");
            return Err(Refusal::not_run(Code::BadRequest, message));
        }
        let proposal = Proposal {
            operation,
            operator,
            base,
            row_version: 0,
            text,
        };
        let commit = Self {
            proposal,
            state: State::ReadPointer,
            deadline: now + DEADLINE,
            attempt: 1,
            in_doubt: false,
            vms: Vec::new(),
            promised: BTreeSet::new(),
            refused: BTreeSet::new(),
        };
        Ok((commit, vec![Action::Read(CURRENT.to_owned())]))
    }

    /// Processes an event and returns the actions to execute.
    pub fn on_event(&mut self, event: Event, now: Instant) -> Vec<Action> {
        match event {
            Event::Row { key, result } => self.on_row(&key, result, now),
            Event::Answer {
                vm,
                row_version,
                answer,
            } => self.on_answer(vm, row_version, answer),
            Event::Written(result) => self.on_written(result, now),
            Event::Tick => self.on_tick(now),
        }
    }

    fn on_row(
        &mut self,
        key: &str,
        result: Result<Option<Row>, Category>,
        now: Instant,
    ) -> Vec<Action> {
        match self.state {
            State::ReadPointer if key == CURRENT => match result {
                Ok(row) => self.on_pointer(row.as_ref()),
                Err(_) => self.refuse_store(),
            },
            State::ReadBase if key == record::key(self.proposal.base) => match result {
                Ok(row) => self.on_base(row.as_ref(), now),
                Err(_) => self.refuse_store(),
            },
            State::ReadBack { conflict, .. } if key == self.next_key() => match result {
                Ok(row) => self.on_read_back(row.as_ref(), conflict),
                Err(_) => self.schedule_read_back(conflict, now),
            },
            _ => Vec::new(),
        }
    }

    fn on_pointer(&mut self, row: Option<&Row>) -> Vec<Action> {
        let base = self.proposal.base;
        let pointer = row.map(Pointer::from_row);
        match pointer {
            Some(None) => self.refuse(
                Code::Invariant,
                format!("row {CURRENT} is malformed, nothing was changed"),
            ),
            Some(Some(pointer)) if pointer.revision != base => {
                self.refuse_conflict(pointer.revision, &pointer.operator)
            }
            None if base != id::Revision(0) => self.refuse(
                Code::Conflict,
                format!(
                    "base revision {base} does not exist: there is no manifest yet, use base 0"
                ),
            ),
            _ => {
                self.proposal.row_version = row.map_or(0, |row| row.version);
                if row.is_none() {
                    // No node can act before the first manifest, so no promises are required.
                    return self.write();
                }
                self.state = State::ReadBase;
                vec![Action::Read(record::key(base))]
            }
        }
    }

    fn on_base(&mut self, row: Option<&Row>, now: Instant) -> Vec<Action> {
        let record = row.and_then(Record::from_row);
        let manifest = record.and_then(|one| one.text.parse::<Manifest>().ok());
        let Some(manifest) = manifest else {
            let key = record::key(self.proposal.base);
            let message = format!("row {key} is missing or malformed, nothing was changed");
            return self.refuse(Code::Invariant, message);
        };
        let entries = manifest.entry_vms.into_iter();
        self.vms = entries.map(|entry| entry.vm).collect();
        self.promised.clear();
        self.refused.clear();
        self.state = State::CollectPromises { started_at: now };
        vec![Action::Propose {
            vms: self.vms.clone(),
            proposal: self.proposal.clone(),
        }]
    }

    fn on_answer(&mut self, vm: id::Vm, row_version: u64, answer: Answer) -> Vec<Action> {
        let is_collecting = matches!(self.state, State::CollectPromises { .. });
        if !is_collecting || row_version != self.proposal.row_version || !self.vms.contains(&vm) {
            return Vec::new();
        }
        match answer {
            Answer::Promised => {
                self.promised.insert(vm);
            }
            Answer::Stale { .. } => return self.restart(),
            Answer::Busy | Answer::Invalid | Answer::Unready => {
                self.refused.insert(vm);
            }
        }
        if self.promised.len() >= self.quorum() {
            self.write()
        } else if self.refused.len() > self.vms.len() - self.quorum() {
            self.refuse_quorum()
        } else {
            Vec::new()
        }
    }

    fn quorum(&self) -> usize {
        self.vms.len() / 2 + 1
    }

    fn next_key(&self) -> String {
        record::key(self.proposal.base.next())
    }

    fn write(&mut self) -> Vec<Action> {
        self.state = State::Write;
        let record = Record {
            revision: self.proposal.base.next(),
            operation: self.proposal.operation,
            operator: self.proposal.operator.clone(),
            text: self.proposal.text.clone(),
        };
        vec![Action::Write(record.commit(self.proposal.row_version))]
    }

    fn on_written(&mut self, result: Result<Outcome, Category>, now: Instant) -> Vec<Action> {
        if self.state != State::Write {
            return Vec::new();
        }
        match result {
            Ok(Outcome::Applied { .. }) => self.done(Ok(self.proposal.base.next())),
            Ok(Outcome::Conflict { .. }) => self.read_back(true),
            Err(Category::NotSent | Category::Refused) if !self.in_doubt => self.refuse_store(),
            Err(_) if self.in_doubt => self.schedule_read_back(false, now),
            Err(_) => {
                self.in_doubt = true;
                self.read_back(false)
            }
        }
    }

    /// Schedules the next read-back with a delay, so that a failing table is not overloaded.
    fn schedule_read_back(&mut self, conflict: bool, now: Instant) -> Vec<Action> {
        let retry_at = Some(now + READ_BACK_DELAY);
        self.state = State::ReadBack { conflict, retry_at };
        Vec::new()
    }

    fn read_back(&mut self, conflict: bool) -> Vec<Action> {
        let retry_at = None;
        self.state = State::ReadBack { conflict, retry_at };
        vec![Action::Read(self.next_key())]
    }

    fn on_read_back(&mut self, row: Option<&Row>, conflict: bool) -> Vec<Action> {
        match row.map(Record::from_row) {
            Some(Some(record)) if record.operation == self.proposal.operation => {
                self.done(Ok(record.revision))
            }
            Some(Some(record)) => self.refuse_conflict(record.revision, &record.operator),
            Some(None) => {
                let message = format!("row {} is malformed", self.next_key());
                self.refuse(Code::Invariant, message)
            }
            // Another node closed the proposal, so no delayed write can take effect.
            None if conflict => {
                self.in_doubt = false;
                self.restart()
            }
            // The write has not been applied. If it is only delayed, at most one of the two writes
            // takes effect, because both have the same conditions.
            None => self.write(),
        }
    }

    fn restart(&mut self) -> Vec<Action> {
        if self.attempt >= MAX_ATTEMPTS {
            let message = format!(
                "the proposal was closed {MAX_ATTEMPTS} times before it was written, nothing was \
                 changed: retry the commit"
            );
            return self.refuse(Code::Conflict, message);
        }
        self.attempt += 1;
        self.state = State::ReadPointer;
        vec![Action::Read(CURRENT.to_owned())]
    }

    fn on_tick(&mut self, now: Instant) -> Vec<Action> {
        match self.state {
            State::Done => Vec::new(),
            _ if now >= self.deadline => self.on_deadline(),
            State::CollectPromises { started_at } if now >= started_at + PROMISE_TIMEOUT => {
                self.refuse_quorum()
            }
            State::ReadBack {
                conflict,
                retry_at: Some(retry_at),
            } if now >= retry_at => self.read_back(conflict),
            _ => Vec::new(),
        }
    }

    fn on_deadline(&mut self) -> Vec<Action> {
        if self.in_doubt || self.state == State::Write {
            let message = format!(
                "the table did not confirm within {} s whether revision {} was written: check the \
                 revision in force with `show`",
                DEADLINE.as_secs(),
                self.proposal.base.next(),
            );
            let refusal = Refusal::may_have_run(Code::StoreUnavailable, message);
            return self.done(Err(refusal));
        }
        self.refuse_store()
    }
}
