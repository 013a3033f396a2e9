//! Lists the outcomes of one batch: a result is shown only once it is in the store.

use crate::archive::Archive;
use crate::clock;
use crate::known::Known;
use crate::metrics::Metrics;
use crate::storage::{self, Storage, OUTCOMES, SHARED, TXN_BYTES, TXN_ROWS};
use dogwoodlb_batch::{parts, BatchHeader, Outcome, Record, State, WriteOutcome};
use dogwoodlb_external::store::{self, Row, Txn};
use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// The results of one transaction; a long one takes several rows.
const AT_ONCE: usize = TXN_ROWS * 2 / 3;
/// The pause before a transaction, in which more results gather.
const GATHER: Duration = Duration::from_millis(30);
const RETRY: Duration = Duration::from_millis(60);

/// Why a lister stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ended {
    /// Every item has a result, or the trainer ended the batch.
    Done,
    /// Another lister has written, or another node owns the batch.
    Lost,
}

/// The lister of one batch, which this node owns.
pub(crate) struct Lister {
    pub(crate) batch: String,
    node: String,
    /// Marks the writes of this lister.
    claim: u64,
    head: RefCell<(u64, BatchHeader)>,
    queue: RefCell<VecDeque<Outcome>>,
    wake: Notify,
    /// The indices of the items that are listed.
    listed: RefCell<BTreeSet<u32>>,
}

/// What listers write with.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) archive: Rc<Archive>,
    pub(crate) known: Rc<Known>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) storage: Rc<Storage>,
}

impl Lister {
    /// Creates the lister of a batch whose head names this node.
    pub(crate) fn new(
        batch: &str,
        node: &str,
        row: u64,
        head: BatchHeader,
        listed: BTreeSet<u32>,
    ) -> Self {
        Self {
            batch: batch.to_owned(),
            node: node.to_owned(),
            claim: rand::random(),
            head: RefCell::new((row, head)),
            queue: RefCell::default(),
            wake: Notify::new(),
            listed: RefCell::new(listed),
        }
    }

    /// Returns whether the outcome of an item is listed.
    pub(crate) fn is_listed(&self, index: u32) -> bool {
        self.listed.borrow().contains(&index)
    }

    /// Adds an outcome.
    pub(crate) fn push(&self, outcome: Outcome) {
        self.queue.borrow_mut().push_back(outcome);
        self.wake.notify_one();
    }

    /// Lists outcomes until the batch is done or lost.
    pub(crate) async fn run(&self, context: &Context) -> Ended {
        loop {
            {
                let head = &self.head.borrow().1;
                if head.owner != self.node {
                    return Ended::Lost;
                }
                if !head.is_open() {
                    return Ended::Done;
                }
            }
            if self.queue.borrow().is_empty() {
                self.wake.notified().await;
            }
            sleep(GATHER).await;
            let outcomes = self.take();
            if outcomes.is_empty() {
                continue;
            }
            if let Some(ended) = self.list(context, &outcomes).await {
                return ended;
            }
        }
    }

    fn take(&self) -> Vec<Outcome> {
        let mut queue = self.queue.borrow_mut();
        let mut bytes = 0;
        let fits = |outcome: &&Outcome| {
            bytes += outcome.text.len() + 300;
            bytes <= TXN_BYTES
        };
        let count = queue.iter().take(AT_ONCE).take_while(fits).count();
        let count = count.max(1).min(queue.len());
        queue.drain(..count).collect()
    }

    /// Lists outcomes at the next positions, whatever it takes.
    async fn list(&self, context: &Context, outcomes: &[Outcome]) -> Option<Ended> {
        let count = u32::try_from(outcomes.len()).unwrap_or(u32::MAX);
        let (first, before) = {
            let head = self.head.borrow();
            (head.1.result_count, head.1.clone())
        };
        let wanted = BatchHeader {
            writer_id: self.claim,
            result_count: first + count,
            ..before.clone()
        };
        loop {
            let (row, head) = self.head.borrow().clone();
            match head.resolve_write(&before, &wanted) {
                WriteOutcome::Applied => {
                    self.show(context, first, outcomes);
                    return None;
                }
                WriteOutcome::Superseded => return Some(Ended::Lost),
                WriteOutcome::Ended => return Some(Ended::Done),
                WriteOutcome::NotApplied => {}
            }
            let txn = match self.txn(row, &wanted, first, outcomes) {
                Ok(txn) => txn,
                Err(error) => {
                    tracing::error!(batch = self.batch, %error, "outcomes_not_encoded");
                    return Some(Ended::Lost);
                }
            };
            match context.storage.commit(&txn).await {
                Ok(store::Outcome::Done { version, .. }) => {
                    *self.head.borrow_mut() = (version, wanted.clone());
                }
                Ok(store::Outcome::Conflict { rows }) => self.learn(context, &rows),
                Err(error) => {
                    tracing::info!(batch = self.batch, %error, count, "list_not_written");
                    sleep(RETRY).await;
                }
            }
        }
    }

    fn txn(
        &self,
        row: u64,
        head: &BatchHeader,
        first: u32,
        outcomes: &[Outcome],
    ) -> dogwoodlb_batch::Result<Txn> {
        let key = storage::head_key(&self.batch);
        let txn = Txn::default().check(SHARED, &key, row);
        let mut txn = txn.put(SHARED, &key, head.to_vec()?);
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

    fn learn(&self, context: &Context, rows: &[Row]) {
        for row in rows {
            match BatchHeader::from_slice(&row.value) {
                Ok(head) => {
                    context
                        .known
                        .put_head(&self.batch, row.version, head.clone());
                    *self.head.borrow_mut() = (row.version, head);
                }
                Err(error) => tracing::error!(batch = self.batch, %error, "row_refused"),
            }
        }
    }

    fn show(&self, context: &Context, first: u32, outcomes: &[Outcome]) {
        let (row, head) = self.head.borrow().clone();
        for (position, outcome) in (first..).zip(outcomes) {
            self.listed.borrow_mut().insert(outcome.index);
            let outcome = Rc::new(outcome.clone());
            context
                .archive
                .cache
                .put_outcome(&self.batch, position, outcome);
        }
        let is_complete = |outcome: &&Outcome| outcome.state == State::Complete;
        let complete = outcomes.iter().filter(is_complete).count();
        let abandoned = outcomes.len() - complete;
        context.metrics.listed("complete", complete as u64);
        context.metrics.listed("abandoned", abandoned as u64);
        tracing::info!(
            batch = self.batch,
            first,
            complete,
            abandoned,
            row,
            at_ms = clock::now().as_millis(),
            "results_listed"
        );
        context.known.put_head(&self.batch, row, head);
        context.known.announce();
    }
}
