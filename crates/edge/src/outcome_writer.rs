//! Writes the outcomes of a batch. A result becomes visible to callers only after it is in the
//! store.

use crate::batch_store::BatchStore;
use crate::clock;
use crate::cluster::ClusterState;
use crate::metrics::Metrics;
use crate::storage::{self, Storage, MAX_TXN_BYTES, MAX_TXN_ROWS, OUTCOMES, SHARED};
use dogwoodlb_batch::{parts, BatchHeader, Outcome, OutcomeState, Record, WriteOutcome};
use dogwoodlb_external::store::{self, Row, Txn};
use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// The maximum number of outcomes in a transaction. It leaves room for long outcomes, which take
/// several rows.
const OUTCOMES_PER_TXN: usize = MAX_TXN_ROWS * 2 / 3;
/// The delay before a transaction, in which further outcomes are grouped with the first.
const GROUP_DELAY: Duration = Duration::from_millis(30);
/// The estimated encoded size of an outcome, without its text.
const OUTCOME_OVERHEAD_BYTES: usize = 300;
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Why an outcome writer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriterEnd {
    /// Every item has an outcome, or the trainer ended the batch.
    Done,
    /// Another writer wrote the header, another node owns the batch, the batch was deleted, or
    /// outcomes could not be encoded.
    Lost,
}

/// Writes the outcomes of one batch that this node owns.
pub(crate) struct OutcomeWriter {
    pub(crate) batch: String,
    node: String,
    /// Identifies the writes of this writer.
    writer_id: u64,
    /// The version of the header row, and the header.
    header: RefCell<(u64, BatchHeader)>,
    queue: RefCell<VecDeque<Outcome>>,
    wake: Notify,
    /// The indices of the items whose outcomes are written.
    written: RefCell<BTreeSet<u32>>,
}

/// The components that outcome writers use.
#[derive(Clone)]
pub(crate) struct WriterContext {
    pub(crate) batch_store: Rc<BatchStore>,
    pub(crate) cluster: Rc<ClusterState>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) storage: Rc<Storage>,
}

impl OutcomeWriter {
    /// Creates the writer of a batch whose header names this node as the owner.
    pub(crate) fn new(
        batch: &str,
        node: &str,
        row_version: u64,
        header: BatchHeader,
        written: BTreeSet<u32>,
    ) -> Self {
        Self {
            batch: batch.to_owned(),
            node: node.to_owned(),
            writer_id: rand::random(),
            header: RefCell::new((row_version, header)),
            queue: RefCell::default(),
            wake: Notify::new(),
            written: RefCell::new(written),
        }
    }

    /// Returns whether the outcome of an item is written.
    pub(crate) fn is_written(&self, index: u32) -> bool {
        self.written.borrow().contains(&index)
    }

    /// Enqueues an outcome.
    pub(crate) fn enqueue(&self, outcome: Outcome) {
        self.queue.borrow_mut().push_back(outcome);
        self.wake.notify_one();
    }

    /// Writes outcomes until the batch is complete, ended or lost.
    pub(crate) async fn run(&self, context: &WriterContext) -> WriterEnd {
        loop {
            {
                let header = &self.header.borrow().1;
                if header.owner != self.node {
                    return WriterEnd::Lost;
                }
                if !header.is_open() {
                    return WriterEnd::Done;
                }
            }
            if self.queue.borrow().is_empty() {
                self.wake.notified().await;
            }
            sleep(GROUP_DELAY).await;
            let outcomes = self.next_chunk();
            if outcomes.is_empty() {
                continue;
            }
            if let Some(end) = self.write(context, &outcomes).await {
                return end;
            }
        }
    }

    fn next_chunk(&self) -> Vec<Outcome> {
        let mut queue = self.queue.borrow_mut();
        let mut bytes = 0;
        let fits = |outcome: &&Outcome| {
            bytes += outcome.text.len() + OUTCOME_OVERHEAD_BYTES;
            bytes <= MAX_TXN_BYTES
        };
        let count = queue.iter().take(OUTCOMES_PER_TXN).take_while(fits).count();
        let count = count.max(1).min(queue.len());
        queue.drain(..count).collect()
    }

    /// Writes outcomes at the next positions, and retries until the result of the write is known.
    async fn write(&self, context: &WriterContext, outcomes: &[Outcome]) -> Option<WriterEnd> {
        let count = u32::try_from(outcomes.len()).unwrap_or(u32::MAX);
        let (first, before) = {
            let header = self.header.borrow();
            (header.1.result_count, header.1.clone())
        };
        let wanted = BatchHeader {
            writer_id: self.writer_id,
            result_count: first + count,
            ..before.clone()
        };
        // Each iteration first compares the last known header with the wanted one. A successful
        // commit and a conflict update that header, and the next iteration determines the result;
        // after an error the header is the same, so the transaction is repeated.
        loop {
            let (row_version, header) = self.header.borrow().clone();
            match header.resolve_write(&before, &wanted) {
                WriteOutcome::Applied => {
                    self.publish(context, first, outcomes);
                    return None;
                }
                WriteOutcome::Superseded => return Some(WriterEnd::Lost),
                WriteOutcome::Ended => return Some(WriterEnd::Done),
                WriteOutcome::NotApplied => {}
            }
            let txn = match self.build_txn(row_version, &wanted, first, outcomes) {
                Ok(txn) => txn,
                Err(error) => {
                    tracing::error!(batch = self.batch, %error, "outcomes_not_encoded");
                    return Some(WriterEnd::Lost);
                }
            };
            match context.storage.commit(&txn).await {
                Ok(store::Outcome::Done { version, .. }) => {
                    *self.header.borrow_mut() = (version, wanted.clone());
                }
                Ok(store::Outcome::Conflict { rows, version }) => {
                    if !self.apply_header_rows(context, &rows, version) {
                        return Some(WriterEnd::Lost);
                    }
                }
                Err(error) => {
                    tracing::info!(batch = self.batch, %error, count, "outcomes_not_written");
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    fn build_txn(
        &self,
        row_version: u64,
        header: &BatchHeader,
        first: u32,
        outcomes: &[Outcome],
    ) -> dogwoodlb_batch::Result<Txn> {
        let key = storage::header_key(&self.batch);
        let txn = Txn::default().check(SHARED, &key, row_version);
        let mut txn = txn.put(SHARED, &key, header.to_vec()?);
        for (position, outcome) in (first..).zip(outcomes) {
            let key = storage::numbered_key(&self.batch, position);
            for (number, part) in parts::split(&outcome.to_vec()?).into_iter().enumerate() {
                let key = match number {
                    0 => key.clone(),
                    number => format!("{key}/{number:02}"),
                };
                txn = txn.put(OUTCOMES, &key, part);
            }
        }
        Ok(txn)
    }

    /// Applies the current header. Returns whether there is one that can be read.
    fn apply_header_rows(&self, context: &WriterContext, rows: &[Row], as_of: u64) -> bool {
        let key = storage::header_key(&self.batch);
        let Some(row) = rows.iter().find(|row| row.key == key && !row.removed) else {
            return false;
        };
        match BatchHeader::from_slice(&row.value) {
            Ok(header) => {
                let cluster = &context.cluster;
                cluster.put_batch_header(&self.batch, row.version, header.clone(), as_of);
                *self.header.borrow_mut() = (row.version, header);
                true
            }
            Err(error) => {
                tracing::error!(batch = self.batch, %error, "row_not_decoded");
                false
            }
        }
    }

    fn publish(&self, context: &WriterContext, first: u32, outcomes: &[Outcome]) {
        let (row_version, header) = self.header.borrow().clone();
        for (position, outcome) in (first..).zip(outcomes) {
            self.written.borrow_mut().insert(outcome.index);
            let outcome = Rc::new(outcome.clone());
            context
                .batch_store
                .cache
                .put_outcome(&self.batch, position, outcome);
        }
        let is_complete = |outcome: &&Outcome| outcome.state == OutcomeState::Complete;
        let complete = outcomes.iter().filter(is_complete).count();
        let abandoned = outcomes.len() - complete;
        context.metrics.count_items("complete", complete as u64);
        context.metrics.count_items("abandoned", abandoned as u64);
        tracing::info!(
            batch = self.batch,
            first,
            complete,
            abandoned,
            row = row_version,
            at_ms = clock::now().as_millis(),
            "outcomes_written"
        );
        context
            .cluster
            .put_batch_header(&self.batch, row_version, header, row_version);
        context.cluster.notify_changed();
    }
}
