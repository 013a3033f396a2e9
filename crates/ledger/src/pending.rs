use crate::buffer::BufferedSample;
use crate::ledger::Ledger;
use crate::row::{parse, BatchRow, HeadRow, RowWriter, StepRow};
use crate::step::{OpenStep, SampleState, StalenessLimit};
use crate::view::{Commit, Completion, Next, Object, Start};
use dogwoodlb_external as external;
use dogwoodlb_external::table::{Outcome, Row, Txn};
use dogwoodlb_types::{id, Code, Refusal};
use std::collections::BTreeMap;

/// The operation whose transaction is in flight.
#[derive(Debug)]
pub(crate) struct PendingOperation {
    operation: id::Operation,
    txn: Txn,
    probe: Probe,
    effect: Effect,
    state: PendingState,
    /// Whether an earlier copy of the transaction may have been applied.
    ambiguous: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PendingState {
    Committing,
    /// Reading back after a conflict, which means that no copy can be applied any more.
    ReadingAfterConflict,
    /// Reading back after a reply that does not tell whether the transaction was applied.
    ReadingAfterAmbiguousReply,
}

/// The row whose state shows whether the transaction was applied.
#[derive(Debug)]
pub(crate) enum Probe {
    /// The transaction writes the row, whose version was `previous_version`.
    Written { key: String, previous_version: u64 },
    /// The transaction deletes the row.
    Deleted { key: String },
}

impl Probe {
    fn key(&self) -> &str {
        match self {
            Self::Written { key, .. } | Self::Deleted { key } => key,
        }
    }
}

/// The change to the state in memory once the transaction has been applied.
#[derive(Debug)]
pub(crate) enum Effect {
    OpenSession(HeadRow),
    Submit(id::Step, StepRow),
    Flush(BTreeMap<id::Step, BatchRow>, Vec<BufferedSample>),
    Deliver { head: HeadRow, assigned: Vec<u32> },
    Acknowledge(HeadRow),
    Publish(HeadRow),
    DeleteRows(usize),
}

impl Ledger {
    pub(crate) fn begin_commit(
        &mut self,
        operation: id::Operation,
        txn: Txn,
        objects: Vec<Object>,
        probe: Probe,
        effect: Effect,
    ) -> Start {
        self.pending = Some(PendingOperation {
            operation,
            txn: txn.clone(),
            probe,
            effect,
            state: PendingState::Committing,
            ambiguous: false,
        });
        Start::Commit(Commit {
            operation,
            objects,
            txn,
        })
    }

    pub(crate) fn head_probe(&self) -> Probe {
        Probe::Written {
            key: self.keys.head(),
            previous_version: self.head_version,
        }
    }

    /// Handles the reply to a transaction.
    ///
    /// An ambiguous reply leads to a read-back before the transaction is sent again; see
    /// docs/design.md, section 4.3.
    pub fn on_commit(
        &mut self,
        operation: id::Operation,
        reply: external::Result<Outcome>,
    ) -> Next {
        let Some(pending) = self.pending.as_mut() else {
            return Next::Ignored;
        };
        if pending.operation != operation || pending.state != PendingState::Committing {
            return Next::Ignored;
        }
        match reply {
            Ok(Outcome::Applied { version }) => self.complete(version),
            Ok(Outcome::Conflict { .. }) => {
                pending.state = PendingState::ReadingAfterConflict;
                self.read_back()
            }
            Err(error) => match error.classify() {
                external::Category::NotSent | external::Category::Refused => self.resend(),
                _ => {
                    pending.ambiguous = true;
                    pending.state = PendingState::ReadingAfterAmbiguousReply;
                    self.read_back()
                }
            },
        }
    }

    /// Handles the reply to a read-back; a failed read is repeated.
    pub fn on_read_back(
        &mut self,
        operation: id::Operation,
        reply: external::Result<Option<Row>>,
    ) -> Next {
        let Some(pending) = self.pending.as_ref() else {
            return Next::Ignored;
        };
        if pending.operation != operation || pending.state == PendingState::Committing {
            return Next::Ignored;
        }
        let Ok(row) = reply else {
            return self.read_back();
        };
        let version = row.as_ref().map_or(0, |row| row.version);
        let (applied, unchanged) = match &pending.probe {
            Probe::Written {
                previous_version, ..
            } => (
                row.is_some_and(|row| is_written_by(&row, operation)),
                version == *previous_version,
            ),
            // After a conflict, a missing row proves nothing: another owner may have deleted it.
            Probe::Deleted { .. } => (
                row.is_none() && pending.state == PendingState::ReadingAfterAmbiguousReply,
                row.is_some(),
            ),
        };
        if applied {
            self.complete(version)
        } else if unchanged && pending.state == PendingState::ReadingAfterAmbiguousReply {
            self.resend()
        } else {
            self.lose_ownership()
        }
    }

    fn read_back(&self) -> Next {
        let Some(pending) = &self.pending else {
            return Next::Ignored;
        };
        Next::ReadBack {
            operation: pending.operation,
            key: pending.probe.key().to_owned(),
        }
    }

    fn resend(&mut self) -> Next {
        let Some(pending) = self.pending.as_mut() else {
            return Next::Ignored;
        };
        pending.state = PendingState::Committing;
        Next::Resend(Commit {
            operation: pending.operation,
            objects: Vec::new(),
            txn: pending.txn.clone(),
        })
    }

    fn lose_ownership(&mut self) -> Next {
        self.ownership_lost = true;
        let message = "another VM has taken over the trainer";
        let ambiguous = self.pending.take().is_some_and(|pending| pending.ambiguous);
        Next::OwnershipLost(if ambiguous {
            Refusal::may_have_run(Code::WrongNode, message)
        } else {
            Refusal::not_run(Code::WrongNode, message)
        })
    }

    fn complete(&mut self, version: u64) -> Next {
        let Some(pending) = self.pending.take() else {
            return Next::Ignored;
        };
        match self.apply(pending.effect, version) {
            Some(completion) => Next::Done(completion),
            None => self.lose_ownership(),
        }
    }

    /// Applies the effect of a committed transaction to the state in memory.
    ///
    /// Returns `None` if the effect does not match that state.
    fn apply(&mut self, effect: Effect, version: u64) -> Option<Completion> {
        match effect {
            Effect::OpenSession(head) => {
                self.set_head(head, version);
                Some(Completion::Session(self.head.session))
            }
            Effect::Submit(step, row) => {
                self.open_steps.insert(step, OpenStep::new(row, version));
                Some(Completion::Submitted(step))
            }
            Effect::Flush(batches, entries) => self.apply_flush(batches, entries.len()),
            Effect::Deliver { head, assigned } => {
                let delivered = head.delivered?;
                self.set_head(head, version);
                let open = self.open_steps.get_mut(&delivered.step)?;
                open.row.assigned = assigned;
                open.row_version = version;
                let delivery = open.delivery(&self.settings.trainer, delivered)?;
                Some(Completion::Delivered(delivery))
            }
            Effect::Acknowledge(head) => {
                let step = head.acknowledged?.step;
                self.set_head(head, version);
                let keys = self.open_steps.remove(&step)?.row_keys(&self.keys, step);
                self.obsolete_keys.extend(keys);
                Some(Completion::Acknowledged(step))
            }
            Effect::Publish(head) => {
                self.set_head(head, version);
                let stale = self.discard_stale();
                let version = self.head.version;
                Some(Completion::Published { version, stale })
            }
            Effect::DeleteRows(count) => {
                self.obsolete_keys
                    .drain(..count.min(self.obsolete_keys.len()));
                Some(Completion::RowsDeleted(count))
            }
        }
    }

    fn set_head(&mut self, head: HeadRow, version: u64) {
        self.head = head;
        self.head_version = version;
    }

    /// Adds the committed batches to their steps; `count` is the number of their samples.
    fn apply_flush(
        &mut self,
        batches: BTreeMap<id::Step, BatchRow>,
        count: usize,
    ) -> Option<Completion> {
        // No staleness check here: committed samples count until a delivery or a publication
        // discards them.
        let limit = StalenessLimit {
            bound: u64::MAX,
            ..self.staleness_limit()
        };
        for (step, batch) in batches {
            let open = self.open_steps.get_mut(&step)?;
            let number = open.next_batch;
            open.add_batch(number, batch, limit)?;
        }
        Some(Completion::Flushed(count))
    }

    /// Discards all undelivered samples that exceed the staleness bound and returns their ids.
    fn discard_stale(&mut self) -> Vec<id::Sample> {
        let limit = self.staleness_limit();
        let mut stale = Vec::new();
        for entry in self.buffer.discard_stale(limit) {
            let (group, index) = (entry.record.group, entry.record.index);
            if let Some(open) = self.open_steps.get_mut(&entry.step) {
                if let Some(flat_index) = open.flat_index(group, index) {
                    open.set_sample_state(flat_index, SampleState::Missing);
                }
            }
            stale.extend(self.sample_ids(entry.step, &[(group, index)]));
        }
        let steps: Vec<id::Step> = self.open_steps.keys().copied().collect();
        for step in steps {
            stale.extend(self.discard_stale_in_step(step));
        }
        self.counts.stale += stale.len() as u64;
        stale
    }

    /// Discards the committed samples of an undelivered step that exceed the staleness bound and
    /// returns their ids.
    pub(crate) fn discard_stale_in_step(&mut self, step: id::Step) -> Vec<id::Sample> {
        let limit = self.staleness_limit();
        if self.current_delivery(step).is_some() {
            return Vec::new();
        }
        let stale = match self.open_steps.get_mut(&step) {
            Some(open) => open.discard_stale(limit),
            None => Vec::new(),
        };
        self.sample_ids(step, &stale)
    }
}

fn is_written_by(row: &Row, operation: id::Operation) -> bool {
    parse::<RowWriter>(&row.key, &row.value).is_ok_and(|writer| writer.operation == operation)
}
