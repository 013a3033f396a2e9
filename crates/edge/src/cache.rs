//! In-memory cache of submissions and outcomes. Both are immutable in the store, so entries never
//! need invalidation.

use dogwoodlb_batch::{Outcome, Submission};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// The maximum number of cached batches.
const MAX_BATCHES: usize = 12;
/// The maximum estimated size of all cached batches together.
const MAX_BYTES: usize = 24 * 1024 * 1024;

/// The estimated size of a cached item, without its body.
const ITEM_OVERHEAD_BYTES: usize = 512;
/// The estimated size of a cached outcome, without its text.
const OUTCOME_OVERHEAD_BYTES: usize = 256;

#[derive(Default)]
struct Entry {
    submission: Option<Rc<Submission>>,
    outcomes: BTreeMap<u32, Rc<Outcome>>,
    bytes: usize,
}

/// A cache of batches that evicts the batch inserted first.
#[derive(Default)]
pub(crate) struct Cache {
    entries: RefCell<BTreeMap<String, Entry>>,
    order: RefCell<VecDeque<String>>,
}

impl Cache {
    pub(crate) fn submission(&self, batch: &str) -> Option<Rc<Submission>> {
        self.entries.borrow().get(batch)?.submission.clone()
    }

    pub(crate) fn put_submission(&self, batch: &str, submission: Rc<Submission>) {
        let items = submission.items.iter();
        let bytes = items
            .map(|item| ITEM_OVERHEAD_BYTES + 2 * item.body.len())
            .sum();
        self.update(batch, bytes, |entry| entry.submission = Some(submission));
    }

    /// Returns the cached outcomes from a position on, up to the first gap.
    pub(crate) fn outcomes(&self, batch: &str, from: u32) -> Vec<Rc<Outcome>> {
        let entries = self.entries.borrow();
        let Some(entry) = entries.get(batch) else {
            return Vec::new();
        };
        let cached = entry.outcomes.range(from..).zip(from..);
        let cached = cached.take_while(|((position, _), expected)| *position == expected);
        cached.map(|((_, outcome), _)| outcome.clone()).collect()
    }

    pub(crate) fn put_outcome(&self, batch: &str, position: u32, outcome: Rc<Outcome>) {
        let bytes = OUTCOME_OVERHEAD_BYTES + outcome.text.len();
        self.update(batch, bytes, |entry| {
            entry.outcomes.insert(position, outcome);
        });
    }

    fn update(&self, batch: &str, bytes: usize, update: impl FnOnce(&mut Entry)) {
        let mut entries = self.entries.borrow_mut();
        let mut order = self.order.borrow_mut();
        if !entries.contains_key(batch) {
            order.push_back(batch.to_owned());
        }
        let entry = entries.entry(batch.to_owned()).or_default();
        entry.bytes += bytes;
        update(entry);
        let total = |entries: &BTreeMap<String, Entry>| -> usize {
            entries.values().map(|entry| entry.bytes).sum()
        };
        while order.len() > 1 && (order.len() > MAX_BATCHES || total(&entries) > MAX_BYTES) {
            if let Some(oldest) = order.pop_front() {
                entries.remove(&oldest);
            }
        }
    }
}
