use crate::buffer::BufferedSample;
use crate::ledger::Ledger;
use crate::pending::{Effect, Probe};
use crate::row::{to_json, BatchRow, SampleRecord};
use crate::step::SampleState;
use crate::view::{AcceptOutcome, Commit, FinishedAttempt, Object, Start};
use crate::OperationResult;
use dogwoodlb_types::{check_spans, id, oldest_version, Code, Instant, Refusal};
use std::collections::BTreeMap;
use std::time::Duration;

/// The minimum time between two flushes, which limits the write rate of a trainer.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// The maximum number of samples in one flush, which limits batch rows to some ten kilobytes.
const MAX_FLUSH_SAMPLES: usize = 128;

/// The maximum number of spans of a sample; one that spans more weight swaps is generated again.
const MAX_SPANS: usize = 32;

impl Ledger {
    /// Accepts a finished attempt unless another attempt at the sample was accepted earlier.
    ///
    /// This needs no transaction: accepted samples are buffered in memory until the next
    /// [`Ledger::flush`]. If the owner fails before the flush, they are generated again.
    ///
    /// # Errors
    ///
    /// Refused if the sample belongs to another trainer or to no open step, the buffer is full,
    /// or another process has taken over the trainer.
    pub fn accept(&mut self, finished: FinishedAttempt) -> OperationResult<AcceptOutcome> {
        self.check_owner()?;
        let sample = &finished.sample;
        if sample.trainer != self.settings.trainer {
            let message = format!("sample {sample} belongs to another trainer");
            return Err(Refusal::not_run(Code::BadRequest, message));
        }
        if self.is_acknowledged(sample.step) {
            self.counts.duplicates += 1;
            return Ok(AcceptOutcome::Duplicate);
        }
        let Some((flat_index, is_missing)) = self.find_sample(sample) else {
            let message = format!("no open step has sample {sample}");
            return Err(Refusal::not_run(Code::NotFound, message));
        };
        let spans = &finished.spans;
        if spans.len() > MAX_SPANS || check_spans(spans, finished.tokens).is_err() {
            self.counts.invalid_spans += 1;
            return Ok(AcceptOutcome::InvalidSpans);
        }
        if !is_missing {
            self.counts.duplicates += 1;
            return Ok(AcceptOutcome::Duplicate);
        }
        if self.staleness_limit().is_stale(oldest_version(spans)) {
            self.counts.stale += 1;
            return Ok(AcceptOutcome::Stale);
        }
        self.buffer_sample(finished, flat_index)
    }

    /// Returns the flat index of a sample and whether it has no accepted attempt yet.
    fn find_sample(&self, sample: &id::Sample) -> Option<(usize, bool)> {
        let open = self.open_steps.get(&sample.step)?;
        let flat_index = open.flat_index(sample.group, sample.index)?;
        Some((
            flat_index,
            matches!(open.sample_state(flat_index)?, SampleState::Missing),
        ))
    }

    fn buffer_sample(
        &mut self,
        finished: FinishedAttempt,
        flat_index: usize,
    ) -> OperationResult<AcceptOutcome> {
        let step = finished.sample.step;
        let entry = BufferedSample {
            step,
            record: SampleRecord {
                group: finished.sample.group,
                index: finished.sample.index,
                attempt: finished.attempt,
                // The flush sets the position in the batch object.
                position: 0,
                tokens: finished.tokens,
                spans: finished.spans,
            },
            body: finished.body,
        };
        if !self.buffer.push(entry, self.settings.max_buffer_bytes) {
            let message = "buffer of accepted samples is full";
            return Err(Refusal::not_run(Code::Overloaded, message).retry_after(FLUSH_INTERVAL));
        }
        if let Some(open) = self.open_steps.get_mut(&step) {
            open.set_sample_state(flat_index, SampleState::Buffered);
        }
        Ok(AcceptOutcome::Buffered)
    }

    /// Returns a transaction that stores the accepted samples, if a flush is due.
    ///
    /// Call this after each event. Returns `None` while a transaction is in flight, within
    /// [`FLUSH_INTERVAL`] of the last flush, or if no samples are buffered.
    pub fn flush(&mut self, now: Instant, operation: id::Operation) -> Option<Commit> {
        let within_interval = self
            .last_flush
            .is_some_and(|last| now.saturating_since(last) < FLUSH_INTERVAL);
        if within_interval || self.ownership_lost || self.is_busy() || self.buffer.is_empty() {
            return None;
        }
        self.last_flush = Some(now);
        let entries = self.buffer.take(MAX_FLUSH_SAMPLES);
        let bodies: Vec<&str> = entries.iter().map(|entry| entry.body.as_str()).collect();
        let object = Object {
            name: self.keys.batch_object(operation),
            body: to_json(&bodies).into_bytes(),
        };
        let batches = group_by_step(&entries, operation, &object.name);
        let mut txn = self.fenced_txn();
        let mut probe = None;
        for (step, batch) in &batches {
            let key = self
                .keys
                .batch(*step, self.open_steps.get(step)?.next_batch);
            txn = txn.absent(key.clone()).put(key.clone(), to_json(batch));
            // A transaction is applied as a whole, so one row shows its outcome.
            probe.get_or_insert(Probe::Written {
                key,
                previous_version: 0,
            });
        }
        let effect = Effect::Flush(batches, entries);
        match self.begin_commit(operation, txn, vec![object], probe?, effect) {
            Start::Commit(commit) => Some(commit),
            Start::Done(_) | Start::Busy => None,
        }
    }
}

fn group_by_step(
    entries: &[BufferedSample],
    operation: id::Operation,
    object: &str,
) -> BTreeMap<id::Step, BatchRow> {
    let mut batches = BTreeMap::new();
    for (position, entry) in (0..).zip(entries) {
        let batch = batches.entry(entry.step).or_insert_with(|| BatchRow {
            operation,
            object: object.to_owned(),
            records: Vec::new(),
        });
        batch.records.push(SampleRecord {
            position,
            ..entry.record.clone()
        });
    }
    batches
}
