//! Adoption of open batches: a batch is taken over if another node owns it, read, and started.

use super::guarantees::Guarantees;
use super::running::{Batch, RunningBatch};
use super::Coordinator;
use crate::batch_store::Error;
use crate::clock;
use crate::outcome_writer::{OutcomeWriter, WriterEnd};
use crate::permit::Permit;
use crate::storage::{self, SHARED};
use dogwoodlb_batch::{BatchHeader, ItemText, NewBatch, Record, Submission};
use dogwoodlb_external::store;
use std::collections::BTreeSet;
use std::rc::Rc;

/// What a batch is started with.
struct Start {
    row_version: u64,
    header: BatchHeader,
    submission: Rc<Submission>,
    /// The indices of the items that have an outcome.
    finished: BTreeSet<u32>,
    guarantees: Guarantees,
}

impl Coordinator {
    /// Takes over an open batch if another node owns it, and starts running it.
    pub(super) async fn adopt(
        self: &Rc<Self>,
        id: &str,
        row_version: u64,
        header: BatchHeader,
    ) -> Result<(), Error> {
        let node = &self.context.settings.node;
        let batch_store = &self.context.batch_store;
        let mut row_version = row_version;
        let mut header = header;
        let is_take_over = header.owner != *node;
        if is_take_over {
            header.owner.clone_from(node);
            let key = storage::header_key(id);
            let txn = self.new_txn().check(SHARED, &key, row_version);
            let txn = txn.put(SHARED, &key, header.to_vec()?);
            match self.context.storage.commit(&txn).await? {
                store::Outcome::Done { version, .. } => {
                    row_version = version;
                    let cluster = &self.context.cluster;
                    cluster.put_batch_header(id, row_version, header.clone(), version);
                }
                store::Outcome::Conflict { .. } => {
                    batch_store.read_header(id).await?;
                    return Err(Error::Conflict);
                }
            }
        }
        let refresh = self.context.watcher.refresh_configuration();
        let (submission, outcomes, mut texts, ()) = tokio::try_join!(
            batch_store.submission(id, &header),
            batch_store.outcomes(id, 0, header.result_count),
            batch_store.texts(id),
            async { Ok(refresh.await?) },
        )?;
        let guarantees = self.guarantees(&header)?;
        let finished = outcomes.iter().map(|outcome| outcome.index).collect();
        let inherited = self.inherited.iter().filter(|text| text.batch == id);
        texts.extend(inherited.cloned());
        // While the batch was read, it may have ended or got another owner. If it is still open, the
        // next round adopts it with its new header.
        let current = self.context.cluster.batch_header(id);
        if current.is_some_and(|current| current.row_version == row_version) {
            let start = Start {
                row_version,
                header,
                submission,
                finished,
                guarantees,
            };
            self.start_batch(id, start, &texts);
        }
        Ok(())
    }

    fn start_batch(self: &Rc<Self>, id: &str, start: Start, texts: &[ItemText]) {
        let Start {
            row_version,
            header,
            submission,
            finished,
            guarantees,
        } = start;
        self.planner.borrow_mut().add_batch(&NewBatch {
            id,
            organisation: header.organisation.as_deref(),
            model: &submission.model,
            min_version: submission.min_version,
            single_version: guarantees.single_version,
            target_groups: submission.target_groups,
            max_attempts: guarantees.max_attempts,
            event_tokens: guarantees.event_tokens,
            items: &submission.items,
            finished: &finished,
            priority: guarantees.priority,
            deadline: Some(clock::now() + guarantees.time_left),
        });
        let protocol = &self.context.protocol;
        let parts = |index: u32| {
            let item = submission.items.get(index as usize);
            item.map_or_else(Vec::new, |item| protocol.prompt_parts(item))
        };
        self.planner.borrow_mut().set_prompt_parts(id, parts);
        let unfinished = self.planner.borrow().unfinished(id);
        for work in unfinished {
            let index = self
                .planner
                .borrow()
                .item_location(work)
                .map(|(_, index)| index);
            for text in texts.iter().filter(|text| Some(text.index) == index) {
                self.planner.borrow_mut().restore(work, text);
            }
        }
        tracing::info!(
            batch = id,
            step = submission.step,
            items = submission.items.len(),
            listed = finished.len(),
            restored = texts.len(),
            age_ms = guarantees.age.as_millis(),
            single_version = guarantees.single_version,
            max_attempts = guarantees.max_attempts,
            config = guarantees.config_version,
            has_route = guarantees.has_route,
            row = row_version,
            "batch_adopted"
        );
        let organisation = header.organisation.clone();
        let writer = Rc::new(OutcomeWriter::new(
            id,
            &self.context.settings.node,
            row_version,
            header,
            finished,
        ));
        let mut running = RunningBatch::new(Rc::new(Batch {
            submission,
            organisation,
            writer: writer.clone(),
            permit: self.permit(id),
            single_version: guarantees.single_version,
            deadline: clock::now() + guarantees.time_left,
        }));
        let write = self.clone().write_outcomes(writer);
        running.spawn(self.context.supervisor.supervise("outcome_writer", write));
        self.batches.borrow_mut().insert(id.to_owned(), running);
        let generated = self.planner.borrow().generated(id);
        for work in generated {
            self.score(work);
        }
        if !guarantees.has_route {
            self.abandon_unfinished(id, "route_gone");
        }
    }

    async fn write_outcomes(self: Rc<Self>, writer: Rc<OutcomeWriter>) {
        let end = writer.run(&self.context.writer_context).await;
        tracing::info!(batch = writer.batch, ended = ?end, "outcome_writer_ended");
        if end == WriterEnd::Lost {
            self.drop_batch(&writer);
        }
        self.wake.notify_one();
    }

    fn permit(&self, batch: &str) -> Permit {
        let context = &self.context;
        Permit::new(
            batch,
            &context.settings.node,
            &context.cluster,
            &context.metrics,
        )
    }
}
