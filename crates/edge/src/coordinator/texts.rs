//! What a leader leaves to the next one.

use super::Coordinator;
use crate::clock;
use dogwoodlb_batch::ItemText;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// How long a node that leaves writes down what it has.
const HAND_OVER: Duration = Duration::from_millis(900);
/// The time between two writings of texts, and the events that make one worth its bytes.
const CHECKPOINT: Duration = Duration::from_millis(500);
const CHECKPOINT_EVENTS: u64 = 4;
/// A leader without the store stops its runs after others have had it for this long. When the
/// store returns to all, some see it a second earlier than others.
const CUT_OFF: Duration = Duration::from_millis(1_400);
const CUT_OFF_AWAY: Duration = Duration::from_millis(1_100);

impl Coordinator {
    /// Stops all runs and returns what is known of unfinished items; nothing is run after this.
    pub(crate) fn surrender(&self) -> Vec<ItemText> {
        let texts = self.texts(1);
        self.surrendered.set(true);
        self.guards.borrow_mut().clear();
        let batches = std::mem::take(&mut *self.batches.borrow_mut());
        for running in batches.values() {
            running.stop();
        }
        tracing::info!(service = self.service, texts = texts.len(), "surrendered");
        texts
    }

    /// Writes down what is known and stops all runs, so that the next leader goes on with it.
    /// Without the store the runs go on, since nobody else can lead; returns whether it is done.
    pub(crate) async fn hand_over(&self) -> bool {
        let texts = self.texts(1);
        let written = timeout(HAND_OVER, self.tools.archive.put_texts(&texts)).await;
        let is_written = matches!(written, Ok(Ok(())));
        if is_written {
            self.surrender();
        }
        tracing::info!(
            service = self.service,
            texts = texts.len(),
            is_written,
            "handed_over"
        );
        is_written
    }

    fn texts(&self, least: u64) -> Vec<ItemText> {
        let planner = self.planner.borrow();
        let batches = self.batches.borrow();
        let texts = batches.iter().flat_map(|(id, running)| {
            let texts = planner.texts(id, least).into_iter();
            texts.filter(|text| !running.lister.is_listed(text.index))
        });
        texts.collect()
    }

    /// Writes down the texts that grew, for the case that this node dies.
    pub(super) fn checkpoint(self: &Rc<Self>) {
        let now = clock::now();
        if now < self.next_checkpoint.get() || self.checkpointing.get() {
            return;
        }
        self.next_checkpoint.set(now + CHECKPOINT);
        let mut texts = self.texts(CHECKPOINT_EVENTS);
        {
            let mut saved = self.saved.borrow_mut();
            texts.retain(|text| {
                let key = (text.batch.clone(), text.index);
                let last = saved.get(&key).copied().unwrap_or(0);
                let grown = text.progress.last_event >= last + CHECKPOINT_EVENTS;
                if grown {
                    saved.insert(key, text.progress.last_event);
                }
                grown
            });
            let batches = self.batches.borrow();
            saved.retain(|(batch, _), _| batches.contains_key(batch));
        }
        if texts.is_empty() {
            return;
        }
        self.checkpointing.set(true);
        let own = self.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = own.tools.archive.put_texts(&texts).await {
                tracing::debug!(service = own.service, %error, "checkpoint_not_written");
            }
            own.checkpointing.set(false);
        });
    }

    /// Returns whether another node is likely to lead by now, although this one can't read it.
    pub(super) fn is_cut_off(&self) -> bool {
        let now = clock::now();
        let is_alone =
            self.tools.storage.away_for(now) > CUT_OFF_AWAY && !self.tools.peers.is_store_down();
        if !is_alone {
            self.alone.set(None);
            return false;
        }
        let since = self.alone.get().unwrap_or(now);
        self.alone.set(Some(since));
        now.saturating_since(since) > CUT_OFF
    }
}
