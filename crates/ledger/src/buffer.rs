use crate::row::Record;
use crate::step::Limit;
use dogwoodlb_types::{id, oldest_version};
use std::collections::VecDeque;

/// The estimated size of a record beside its body.
const RECORD_BYTES: usize = 256;

#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) step: id::Step,
    pub(crate) record: Record,
    pub(crate) body: String,
}

impl Entry {
    fn bytes(&self) -> usize {
        self.body.len() + RECORD_BYTES
    }
}

/// Accepted samples that aren't in the table yet.
#[derive(Debug, Default)]
pub(crate) struct Buffer {
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl Buffer {
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds an entry unless the buffer would exceed its limit.
    pub(crate) fn push(&mut self, entry: Entry, limit_bytes: usize) -> bool {
        let bytes = self.bytes + entry.bytes();
        if bytes > limit_bytes {
            return false;
        }
        self.bytes = bytes;
        self.entries.push_back(entry);
        true
    }

    pub(crate) fn take(&mut self, most: usize) -> Vec<Entry> {
        let count = most.min(self.entries.len());
        let taken: Vec<Entry> = self.entries.drain(..count).collect();
        self.bytes -= taken.iter().map(Entry::bytes).sum::<usize>();
        taken
    }

    /// Removes the entries that are too old.
    pub(crate) fn drop_stale(&mut self, limit: Limit) -> Vec<Entry> {
        let all = std::mem::take(&mut self.entries);
        let (stale, fresh) = all
            .into_iter()
            .partition::<Vec<_>, _>(|entry| limit.is_stale(oldest_version(&entry.record.spans)));
        self.entries = fresh.into();
        self.bytes -= stale.iter().map(Entry::bytes).sum::<usize>();
        stale
    }
}
