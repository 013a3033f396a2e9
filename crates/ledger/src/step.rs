use crate::row::{BatchRow, DeliveredStep, Keys, SampleRecord, StepRow};
use crate::{Delivery, Progress, Sample};
use dogwoodlb_types::{id, oldest_version};
use std::collections::BTreeMap;

/// The state of one sample of an open step.
#[derive(Clone, Debug)]
pub(crate) enum SampleState {
    Missing,
    /// Accepted, but not yet committed to the table.
    Buffered,
    Committed {
        batch: u32,
        record: SampleRecord,
    },
}

impl SampleState {
    fn oldest_version(&self) -> Option<id::Version> {
        match self {
            Self::Committed { record, .. } => oldest_version(&record.spans),
            Self::Missing | Self::Buffered => None,
        }
    }
}

/// The staleness bound, relative to the last published version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StalenessLimit {
    pub(crate) version: id::Version,
    pub(crate) bound: u64,
}

impl StalenessLimit {
    pub(crate) fn is_stale(self, oldest: Option<id::Version>) -> bool {
        oldest.is_some_and(|oldest| staleness(self.version, oldest) > self.bound)
    }
}

pub(crate) fn staleness(version: id::Version, oldest: id::Version) -> u64 {
    version.0.saturating_sub(oldest.0)
}

/// A step that is submitted but not yet acknowledged.
#[derive(Clone, Debug)]
pub(crate) struct OpenStep {
    pub(crate) row: StepRow,
    pub(crate) row_version: u64,
    pub(crate) next_batch: u32,
    sample_states: Vec<SampleState>,
    /// The object name of each batch, by batch number.
    batch_objects: BTreeMap<u32, String>,
}

impl OpenStep {
    pub(crate) fn new(row: StepRow, row_version: u64) -> Self {
        let sample_count = row.sample_count();
        Self {
            row,
            row_version,
            next_batch: 0,
            sample_states: vec![SampleState::Missing; sample_count],
            batch_objects: BTreeMap::new(),
        }
    }

    /// Returns the index of a sample among all samples of the step, or `None` if the step does not
    /// contain it.
    pub(crate) fn flat_index(&self, group: u32, index: u32) -> Option<usize> {
        let size = *self.row.sizes.get(group as usize)?;
        let preceding: usize = self.row.sizes[..group as usize]
            .iter()
            .map(|size| *size as usize)
            .sum();
        (index < size).then_some(preceding + index as usize)
    }

    pub(crate) fn sample_state(&self, flat_index: usize) -> Option<&SampleState> {
        self.sample_states.get(flat_index)
    }

    pub(crate) fn set_sample_state(&mut self, flat_index: usize, state: SampleState) {
        if let Some(old) = self.sample_states.get_mut(flat_index) {
            *old = state;
        }
    }

    /// Adds a batch row; returns `None` if it contains a sample that the step does not have.
    ///
    /// Selects the first attempt at each sample that is not stale, or the assigned attempt once the
    /// step is delivered. Add batches in the order of their numbers, so that the selection does not
    /// depend on the order in which the rows were read.
    pub(crate) fn add_batch(
        &mut self,
        number: u32,
        batch: BatchRow,
        limit: StalenessLimit,
    ) -> Option<()> {
        self.next_batch = self.next_batch.max(number + 1);
        self.batch_objects.insert(number, batch.object);
        for record in batch.records {
            let flat_index = self.flat_index(record.group, record.index)?;
            let is_selected = match self.row.assigned.get(flat_index) {
                Some(assigned) => *assigned == number,
                None => {
                    !matches!(
                        self.sample_states[flat_index],
                        SampleState::Committed { .. }
                    ) && !limit.is_stale(oldest_version(&record.spans))
                }
            };
            if is_selected {
                let batch = number;
                self.sample_states[flat_index] = SampleState::Committed { batch, record };
            }
        }
        Some(())
    }

    /// Returns the batch number of each sample, or `None` unless all samples are committed.
    pub(crate) fn assignment(&self) -> Option<Vec<u32>> {
        let batch = |state: &SampleState| match state {
            SampleState::Committed { batch, .. } => Some(*batch),
            SampleState::Missing | SampleState::Buffered => None,
        };
        self.sample_states.iter().map(batch).collect()
    }

    /// Returns the oldest model version that produced tokens of a committed sample.
    pub(crate) fn oldest_version(&self) -> Option<id::Version> {
        self.sample_states
            .iter()
            .filter_map(SampleState::oldest_version)
            .min()
    }

    /// Discards the committed attempts that exceed the limit and returns the group and index of
    /// their samples.
    pub(crate) fn discard_stale(&mut self, limit: StalenessLimit) -> Vec<(u32, u32)> {
        let mut stale = Vec::new();
        for state in &mut self.sample_states {
            if !limit.is_stale(state.oldest_version()) {
                continue;
            }
            if let SampleState::Committed { record, .. } = state {
                stale.push((record.group, record.index));
            }
            *state = SampleState::Missing;
        }
        stale
    }

    /// Returns the group and index of each sample without an accepted attempt.
    pub(crate) fn missing(&self) -> Vec<(u32, u32)> {
        let sizes = self.row.sizes.iter().enumerate();
        sizes
            .flat_map(|(group, size)| (0..*size).map(move |index| (group as u32, index)))
            .zip(&self.sample_states)
            .filter(|(_, state)| matches!(state, SampleState::Missing))
            .map(|(sample, _)| sample)
            .collect()
    }

    pub(crate) fn progress(&self) -> Progress {
        let missing = |state: &&SampleState| matches!(state, SampleState::Missing);
        let total = self.sample_states.len();
        Progress {
            accepted: total - self.sample_states.iter().filter(missing).count(),
            total,
        }
    }

    /// Returns the keys of all rows of the step.
    pub(crate) fn row_keys(&self, keys: &Keys, step: id::Step) -> Vec<String> {
        let batches = self
            .batch_objects
            .keys()
            .map(|batch| keys.batch(step, *batch));
        batches.chain([keys.step(step)]).collect()
    }

    /// Returns the delivery, or `None` unless all samples are committed.
    pub(crate) fn delivery(
        &self,
        trainer: &id::Trainer,
        delivered: DeliveredStep,
    ) -> Option<Delivery> {
        let sample = |state: &SampleState| {
            let SampleState::Committed { batch, record } = state else {
                return None;
            };
            let oldest = oldest_version(&record.spans)?;
            Some(Sample {
                sample: id::Sample::new(
                    trainer.clone(),
                    delivered.step,
                    record.group,
                    record.index,
                ),
                attempt: record.attempt,
                tokens: record.tokens,
                spans: record.spans.clone(),
                staleness: staleness(delivered.version, oldest),
                object: self.batch_objects.get(batch)?.clone(),
                position: record.position as usize,
            })
        };
        Some(Delivery {
            delivery: delivered.delivery,
            step: delivered.step,
            samples: self
                .sample_states
                .iter()
                .map(sample)
                .collect::<Option<_>>()?,
        })
    }
}
