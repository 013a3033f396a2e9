use crate::buffer::Entry;
use crate::ledger::Ledger;
use crate::row::{parse, Batch, Head, Step, Writer};
use crate::step::{Limit, Open, Slot};
use crate::view::{Commit, Completion, Next, Object, Start};
use dogwoodlb_external as platform;
use dogwoodlb_external::table::{Outcome, Row, Txn};
use dogwoodlb_types::{id, Code, Refusal};
use std::collections::BTreeMap;

/// The operation in flight.
#[derive(Debug)]
pub(crate) struct Pending {
    operation: id::Operation,
    txn: Txn,
    probe: Probe,
    effect: Effect,
    stage: Stage,
    /// Whether a copy of the transaction may have taken effect.
    ambiguous: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Sent,
    /// The read-back follows a conflict: no copy can take effect any more.
    AfterConflict,
    AfterAmbiguous,
}

/// The row that tells whether the transaction took effect.
#[derive(Debug)]
pub(crate) enum Probe {
    /// The transaction writes the row, which had this version before.
    Written { key: String, before: u64 },
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

/// What the transaction changes in memory once it took effect.
#[derive(Debug)]
pub(crate) enum Effect {
    Session(Head),
    Submit(id::Step, Step),
    Flush(BTreeMap<id::Step, Batch>, Vec<Entry>),
    Deliver(Head, Vec<u32>),
    Acknowledge(Head),
    Publish(Head),
    Sweep(usize),
}

impl Ledger {
    pub(crate) fn start(
        &mut self,
        operation: id::Operation,
        txn: Txn,
        objects: Vec<Object>,
        probe: Probe,
        effect: Effect,
    ) -> Start {
        self.pending = Some(Pending {
            operation,
            txn: txn.clone(),
            probe,
            effect,
            stage: Stage::Sent,
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
            before: self.head_version,
        }
    }

    /// Records the reply to a transaction.
    ///
    /// A reply that leaves the outcome open leads to a read-back before any repetition; see
    /// docs/design.md, section 4.3.
    pub fn on_commit(
        &mut self,
        operation: id::Operation,
        reply: platform::Result<Outcome>,
    ) -> Next {
        let Some(pending) = self.pending.as_mut() else {
            return Next::Ignored;
        };
        if pending.operation != operation || pending.stage != Stage::Sent {
            return Next::Ignored;
        }
        match reply {
            Ok(Outcome::Applied { version }) => self.finish(version),
            Ok(Outcome::Conflict { .. }) => {
                pending.stage = Stage::AfterConflict;
                self.read_back()
            }
            Err(error) => match error.classify() {
                platform::Category::NotSent | platform::Category::Refused => self.resend(),
                _ => {
                    pending.ambiguous = true;
                    pending.stage = Stage::AfterAmbiguous;
                    self.read_back()
                }
            },
        }
    }

    /// Records the reply to a read-back; a failed one is repeated.
    pub fn on_read_back(
        &mut self,
        operation: id::Operation,
        reply: platform::Result<Option<Row>>,
    ) -> Next {
        let Some(pending) = self.pending.as_ref() else {
            return Next::Ignored;
        };
        if pending.operation != operation || pending.stage == Stage::Sent {
            return Next::Ignored;
        }
        let Ok(row) = reply else {
            return self.read_back();
        };
        let version = row.as_ref().map_or(0, |row| row.version);
        let (applied, open) = match &pending.probe {
            Probe::Written { before, .. } => (
                row.is_some_and(|row| is_written_by(&row, operation)),
                version == *before,
            ),
            // A conflict shows another owner, who may have deleted the row too.
            Probe::Deleted { .. } => (
                row.is_none() && pending.stage == Stage::AfterAmbiguous,
                row.is_some(),
            ),
        };
        if applied {
            self.finish(version)
        } else if open && pending.stage == Stage::AfterAmbiguous {
            self.resend()
        } else {
            self.lose()
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
        pending.stage = Stage::Sent;
        Next::Resend(Commit {
            operation: pending.operation,
            objects: Vec::new(),
            txn: pending.txn.clone(),
        })
    }

    fn lose(&mut self) -> Next {
        self.lost = true;
        let message = "another VM took the trainer over";
        let ambiguous = self.pending.take().is_some_and(|p| p.ambiguous);
        Next::OwnershipLost(if ambiguous {
            Refusal::may_have_run(Code::WrongNode, message)
        } else {
            Refusal::not_run(Code::WrongNode, message)
        })
    }

    fn finish(&mut self, version: u64) -> Next {
        let Some(pending) = self.pending.take() else {
            return Next::Ignored;
        };
        match self.apply(pending.effect, version) {
            Some(completion) => Next::Done(completion),
            None => self.lose(),
        }
    }

    /// Returns `None` if the state in memory contradicts the effect.
    fn apply(&mut self, effect: Effect, version: u64) -> Option<Completion> {
        match effect {
            Effect::Session(head) => {
                self.set_head(head, version);
                Some(Completion::Session(self.head.session))
            }
            Effect::Submit(step, row) => {
                self.open.insert(step, Open::new(row, version));
                Some(Completion::Submitted(step))
            }
            Effect::Flush(batches, entries) => self.apply_flush(batches, entries.len()),
            Effect::Deliver(head, assigned) => {
                let delivered = head.delivered?;
                self.set_head(head, version);
                let open = self.open.get_mut(&delivered.step)?;
                open.row.assigned = assigned;
                open.row_version = version;
                let delivery = open.delivery(&self.settings.trainer, delivered)?;
                Some(Completion::Delivered(delivery))
            }
            Effect::Acknowledge(head) => {
                let step = head.acknowledged?.step;
                self.set_head(head, version);
                let keys = self.open.remove(&step)?.keys(&self.keys, step);
                self.garbage.extend(keys);
                Some(Completion::Acknowledged(step))
            }
            Effect::Publish(head) => {
                self.set_head(head, version);
                let stale = self.drop_stale();
                let version = self.head.version;
                Some(Completion::Published { version, stale })
            }
            Effect::Sweep(count) => {
                self.garbage.drain(..count.min(self.garbage.len()));
                Some(Completion::RowsDeleted(count))
            }
        }
    }

    fn set_head(&mut self, head: Head, version: u64) {
        self.head = head;
        self.head_version = version;
    }

    fn apply_flush(
        &mut self,
        batches: BTreeMap<id::Step, Batch>,
        count: usize,
    ) -> Option<Completion> {
        // Whatever is in the table counts until a delivery or a publication drops it.
        let limit = Limit {
            bound: u64::MAX,
            ..self.limit()
        };
        for (step, batch) in batches {
            let open = self.open.get_mut(&step)?;
            let number = open.next_batch;
            open.add_batch(number, batch, limit)?;
        }
        Some(Completion::Flushed(count))
    }

    /// Forgets all samples that are too old and not delivered, and returns them.
    fn drop_stale(&mut self) -> Vec<id::Sample> {
        let limit = self.limit();
        let mut stale = Vec::new();
        for entry in self.buffer.drop_stale(limit) {
            let sample = (entry.record.group, entry.record.index);
            if let Some(open) = self.open.get_mut(&entry.step) {
                if let Some(place) = open.place(sample.0, sample.1) {
                    open.set(place, Slot::Missing);
                }
            }
            stale.extend(self.samples(entry.step, &[sample]));
        }
        let steps: Vec<id::Step> = self.open.keys().copied().collect();
        for step in steps {
            stale.extend(self.drop_stale_of(step));
        }
        self.counts.stale += stale.len() as u64;
        stale
    }

    /// Forgets the committed samples of an undelivered step that are too old.
    pub(crate) fn drop_stale_of(&mut self, step: id::Step) -> Vec<id::Sample> {
        let limit = self.limit();
        if self.delivered(step).is_some() {
            return Vec::new();
        }
        let stale = match self.open.get_mut(&step) {
            Some(open) => open.drop_stale(limit),
            None => Vec::new(),
        };
        self.samples(step, &stale)
    }
}

fn is_written_by(row: &Row, operation: id::Operation) -> bool {
    parse::<Writer>(&row.key, &row.value).is_ok_and(|writer| writer.operation == operation)
}
