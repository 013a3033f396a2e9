use crate::row::{Batch, Delivered, Keys, Record, Step};
use crate::{Delivery, Progress, Sample};
use dogwoodlb_types::{id, oldest_version};
use std::collections::BTreeMap;

/// The state of one sample of an open step.
#[derive(Clone, Debug)]
pub(crate) enum Slot {
    Missing,
    /// Accepted, but not in the table yet.
    Buffered,
    Committed {
        batch: u32,
        record: Record,
    },
}

impl Slot {
    fn oldest(&self) -> Option<id::Version> {
        match self {
            Self::Committed { record, .. } => oldest_version(&record.spans),
            Self::Missing | Self::Buffered => None,
        }
    }
}

/// How old samples may be, from the version published last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limit {
    pub(crate) version: id::Version,
    pub(crate) bound: u64,
}

impl Limit {
    pub(crate) fn is_stale(self, oldest: Option<id::Version>) -> bool {
        oldest.is_some_and(|oldest| age(self.version, oldest) > self.bound)
    }
}

pub(crate) fn age(version: id::Version, oldest: id::Version) -> u64 {
    version.0.saturating_sub(oldest.0)
}

/// A step that the trainer submitted and didn't acknowledge yet.
#[derive(Clone, Debug)]
pub(crate) struct Open {
    pub(crate) row: Step,
    pub(crate) row_version: u64,
    pub(crate) next_batch: u32,
    slots: Vec<Slot>,
    objects: BTreeMap<u32, String>,
}

impl Open {
    pub(crate) fn new(row: Step, row_version: u64) -> Self {
        let samples = row.samples();
        Self {
            row,
            row_version,
            next_batch: 0,
            slots: vec![Slot::Missing; samples],
            objects: BTreeMap::new(),
        }
    }

    /// Returns the place of a sample in the step, if the step has it.
    pub(crate) fn place(&self, group: u32, index: u32) -> Option<usize> {
        let size = *self.row.sizes.get(group as usize)?;
        let before: usize = self.row.sizes[..group as usize]
            .iter()
            .map(|size| *size as usize)
            .sum();
        (index < size).then_some(before + index as usize)
    }

    pub(crate) fn slot(&self, place: usize) -> Option<&Slot> {
        self.slots.get(place)
    }

    pub(crate) fn set(&mut self, place: usize, slot: Slot) {
        if let Some(old) = self.slots.get_mut(place) {
            *old = slot;
        }
    }

    /// Adds a batch row; returns `None` if it names a sample that the step doesn't have.
    ///
    /// The first attempt of a sample that isn't stale wins, whatever the order of the reads.
    pub(crate) fn add_batch(&mut self, number: u32, batch: Batch, limit: Limit) -> Option<()> {
        self.next_batch = self.next_batch.max(number + 1);
        self.objects.insert(number, batch.object);
        for record in batch.records {
            let place = self.place(record.group, record.index)?;
            let wanted = match self.row.assigned.get(place) {
                Some(assigned) => *assigned == number,
                None => {
                    !matches!(self.slots[place], Slot::Committed { .. })
                        && !limit.is_stale(oldest_version(&record.spans))
                }
            };
            if wanted {
                let batch = number;
                self.slots[place] = Slot::Committed { batch, record };
            }
        }
        Some(())
    }

    /// Returns the batch of each sample, or `None` if not all are committed.
    pub(crate) fn assignment(&self) -> Option<Vec<u32>> {
        let batch = |slot: &Slot| match slot {
            Slot::Committed { batch, .. } => Some(*batch),
            Slot::Missing | Slot::Buffered => None,
        };
        self.slots.iter().map(batch).collect()
    }

    pub(crate) fn oldest(&self) -> Option<id::Version> {
        self.slots.iter().filter_map(Slot::oldest).min()
    }

    /// Forgets the committed attempts that are too old and returns their samples.
    pub(crate) fn drop_stale(&mut self, limit: Limit) -> Vec<(u32, u32)> {
        let mut stale = Vec::new();
        for slot in &mut self.slots {
            if !limit.is_stale(slot.oldest()) {
                continue;
            }
            if let Slot::Committed { record, .. } = slot {
                stale.push((record.group, record.index));
            }
            *slot = Slot::Missing;
        }
        stale
    }

    pub(crate) fn missing(&self) -> Vec<(u32, u32)> {
        let sizes = self.row.sizes.iter().enumerate();
        sizes
            .flat_map(|(group, size)| (0..*size).map(move |index| (group as u32, index)))
            .zip(&self.slots)
            .filter(|(_, slot)| matches!(slot, Slot::Missing))
            .map(|(sample, _)| sample)
            .collect()
    }

    pub(crate) fn progress(&self) -> Progress {
        let missing = |slot: &&Slot| matches!(slot, Slot::Missing);
        let total = self.slots.len();
        Progress {
            accepted: total - self.slots.iter().filter(missing).count(),
            total,
        }
    }

    /// Returns the keys of all rows of the step.
    pub(crate) fn keys(&self, keys: &Keys, step: id::Step) -> Vec<String> {
        let batches = self.objects.keys().map(|batch| keys.batch(step, *batch));
        batches.chain([keys.step(step)]).collect()
    }

    /// Returns the delivery, or `None` if not all samples are committed.
    pub(crate) fn delivery(&self, trainer: &id::Trainer, head: Delivered) -> Option<Delivery> {
        let sample = |slot: &Slot| {
            let Slot::Committed { batch, record } = slot else {
                return None;
            };
            let oldest = oldest_version(&record.spans)?;
            Some(Sample {
                sample: id::Sample::new(trainer.clone(), head.step, record.group, record.index),
                attempt: record.attempt,
                tokens: record.tokens,
                spans: record.spans.clone(),
                staleness: age(head.version, oldest),
                object: self.objects.get(batch)?.clone(),
                position: record.position as usize,
            })
        };
        Some(Delivery {
            delivery: head.delivery,
            step: head.step,
            samples: self.slots.iter().map(sample).collect::<Option<_>>()?,
        })
    }
}
