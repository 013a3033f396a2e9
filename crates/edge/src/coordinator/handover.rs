//! Handover of unfinished texts to the next leader: at its request, at shutdown, and through
//! periodic checkpoints.

use super::Coordinator;
use crate::clock;
use dogwoodlb_batch::ItemText;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// How long a node that shuts down may take to store its unfinished texts.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(900);
/// The minimum interval between two checkpoints.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(500);
/// A text is stored again once it has this many new events.
const MIN_CHECKPOINT_EVENTS: u64 = 4;
/// A leader that can't reach the store stops its runs once the conditions of
/// [`Coordinator::is_isolated`] have held for this long. When an outage of the store ends, some
/// nodes notice it up to a second earlier than others; the margin keeps a leader that notices it
/// late from counting as isolated.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_400);
/// How long the store must not have responded before [`ISOLATION_TIMEOUT`] begins.
const MIN_UNREACHABLE_TIME: Duration = Duration::from_millis(1_100);

impl Coordinator {
    /// Stops all runs and returns the texts of the items without a written outcome. The coordinator
    /// starts nothing afterwards, and further calls return no texts. If this node stays the leader,
    /// the election replaces the coordinator.
    pub(crate) fn relinquish(&self) -> Vec<ItemText> {
        let texts = self.texts(1);
        self.relinquished.set(true);
        self.adoptions.borrow_mut().clear();
        self.loads.cancel();
        self.run_tasks.borrow_mut().clear();
        self.batches.borrow_mut().clear();
        tracing::info!(
            service = self.service,
            texts = texts.len(),
            "service_relinquished"
        );
        texts
    }

    pub(crate) fn is_relinquished(&self) -> bool {
        self.relinquished.get()
    }

    /// Stores the unfinished texts and stops all runs, so that the next leader can continue them.
    /// If the texts can't be stored within [`HANDOVER_TIMEOUT`], the runs continue, although a node
    /// that reaches the store may become leader meanwhile. Returns whether the texts were stored.
    pub(crate) async fn hand_over(&self) -> bool {
        let texts = self.texts(1);
        let txn = self.new_txn();
        let write = self.context.batch_store.put_texts(&texts, &txn);
        let result = timeout(HANDOVER_TIMEOUT, write).await;
        let is_written = matches!(result, Ok(Ok(())));
        if is_written {
            self.relinquish();
        }
        tracing::info!(
            service = self.service,
            texts = texts.len(),
            is_written,
            "handover_ended"
        );
        is_written
    }

    fn texts(&self, min_events: u64) -> Vec<ItemText> {
        let planner = self.planner.borrow();
        let batches = self.batches.borrow();
        let texts = batches.iter().flat_map(|(id, running)| {
            let texts = planner.texts(id, min_events).into_iter();
            texts.filter(|text| !running.batch.writer.is_written(text.index))
        });
        texts.collect()
    }

    /// Stores the texts that grew or started again since their last checkpoint, in case this node
    /// fails.
    pub(super) fn checkpoint(self: &Rc<Self>) {
        let now = clock::now();
        if now < self.next_checkpoint.get() || self.checkpointing.get() {
            return;
        }
        self.next_checkpoint.set(now + CHECKPOINT_INTERVAL);
        let mut texts = self.texts(MIN_CHECKPOINT_EVENTS);
        {
            let mut checkpointed = self.checkpointed.borrow_mut();
            texts.retain(|text| {
                let key = (text.batch.clone(), text.index);
                let last = checkpointed.get(&key).copied().unwrap_or(0);
                let events = text.progress.last_event;
                // A shorter text belongs to an item that has started again. If the discarded text
                // stayed in the store, the next leader would prefer it because it is longer.
                let has_changed = events < last || events >= last + MIN_CHECKPOINT_EVENTS;
                if has_changed {
                    checkpointed.insert(key, events);
                }
                has_changed
            });
            let batches = self.batches.borrow();
            checkpointed.retain(|(batch, _), _| batches.contains_key(batch));
        }
        if texts.is_empty() {
            return;
        }
        self.checkpointing.set(true);
        let this = self.clone();
        self.context.supervisor.spawn("checkpoint", async move {
            if let Err(error) = this
                .context
                .batch_store
                .put_texts(&texts, &this.new_txn())
                .await
            {
                tracing::debug!(service = this.service, %error, "checkpoint_not_written");
            }
            this.checkpointing.set(false);
        });
    }

    /// Returns whether another node may have become leader without this node being able to read it
    /// from the store: for longer than [`ISOLATION_TIMEOUT`], the last successful call to the store
    /// has been more than [`MIN_UNREACHABLE_TIME`] ago, and either a live peer reaches the store or
    /// there is no live peer. False if no call has succeeded yet.
    pub(super) fn is_isolated(&self) -> bool {
        let now = clock::now();
        let is_isolated = self.context.storage.unreachable_for(now) > MIN_UNREACHABLE_TIME
            && !self.context.peers.is_store_down();
        if !is_isolated {
            self.isolated_since.set(None);
            return false;
        }
        let since = self.isolated_since.get().unwrap_or(now);
        self.isolated_since.set(Some(since));
        now.saturating_since(since) > ISOLATION_TIMEOUT
    }
}
