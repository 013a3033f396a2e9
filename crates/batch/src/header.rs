use crate::Record;
use serde::{Deserialize, Serialize};

/// The row that says how far a batch is; every write about the batch is conditional on it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BatchHeader {
    /// The node that runs the batch.
    pub owner: String,
    /// A random number of the lister that wrote last, so that it knows its own write whose answer
    /// was lost. The owner does not tell it: a node may own a batch again after another one.
    pub writer_id: u64,
    /// The host that selects the route.
    pub host: String,
    /// The path that selects the route.
    pub path: String,
    /// The service that runs the items.
    pub service: String,
    /// The number of items.
    pub items: u32,
    /// The parts of the stored body.
    pub parts: u32,
    /// The positions that hold a result.
    pub result_count: u32,
    /// Whether the trainer ended the batch.
    pub ended: bool,
    /// The store's steady clock at the submission, in milliseconds.
    pub submitted_ms: u64,
}

/// What a lister finds in the head after a write that failed or has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// Its own write took effect.
    Applied,
    /// No write took effect, so that it may write again.
    NotApplied,
    /// The trainer ended the batch.
    Ended,
    /// Another lister has written, or another node owns the batch.
    Superseded,
}

impl BatchHeader {
    /// Compares the head in the store with what it was before a write and what was written.
    pub fn resolve_write(&self, before: &Self, written: &Self) -> WriteOutcome {
        let is_own =
            self.writer_id == written.writer_id && self.result_count == written.result_count;
        let is_same = self.owner == before.owner
            && self.writer_id == before.writer_id
            && self.result_count == before.result_count;
        match (is_own, is_same) {
            (true, _) => WriteOutcome::Applied,
            (false, false) => WriteOutcome::Superseded,
            (false, true) if self.ended => WriteOutcome::Ended,
            (false, true) => WriteOutcome::NotApplied,
        }
    }

    /// Returns whether results are still to come.
    pub fn is_open(&self) -> bool {
        !self.ended && self.result_count < self.items
    }
}

impl Record for BatchHeader {
    const WHAT: &'static str = "head of a batch";
}
