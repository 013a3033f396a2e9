use crate::row::SampleRecord;
use crate::step::StalenessLimit;
use dogwoodlb_types::{id, oldest_version};
use std::collections::VecDeque;

/// The estimated size of a record without its body.
const RECORD_OVERHEAD_BYTES: usize = 256;

#[derive(Clone, Debug)]
pub(crate) struct BufferedSample {
    pub(crate) step: id::Step,
    pub(crate) record: SampleRecord,
    pub(crate) body: String,
}

impl BufferedSample {
    fn bytes(&self) -> usize {
        self.body.len() + RECORD_OVERHEAD_BYTES
    }
}

/// Accepted samples that are not yet part of a transaction.
#[derive(Debug, Default)]
pub(crate) struct Buffer {
    entries: VecDeque<BufferedSample>,
    bytes: usize,
}

impl Buffer {
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds an entry; returns `false` without adding it if the buffer would exceed `max_bytes`.
    pub(crate) fn push(&mut self, entry: BufferedSample, max_bytes: usize) -> bool {
        let bytes = self.bytes + entry.bytes();
        if bytes > max_bytes {
            return false;
        }
        self.bytes = bytes;
        self.entries.push_back(entry);
        true
    }

    pub(crate) fn take(&mut self, max_count: usize) -> Vec<BufferedSample> {
        let count = max_count.min(self.entries.len());
        let taken: Vec<BufferedSample> = self.entries.drain(..count).collect();
        self.bytes -= taken.iter().map(BufferedSample::bytes).sum::<usize>();
        taken
    }

    /// Removes and returns the entries that exceed the staleness limit.
    pub(crate) fn discard_stale(&mut self, limit: StalenessLimit) -> Vec<BufferedSample> {
        let all = std::mem::take(&mut self.entries);
        let (stale, fresh) = all
            .into_iter()
            .partition::<Vec<_>, _>(|entry| limit.is_stale(oldest_version(&entry.record.spans)));
        self.entries = fresh.into();
        self.bytes -= stale.iter().map(BufferedSample::bytes).sum::<usize>();
        stale
    }
}
