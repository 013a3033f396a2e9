use dogwoodlb_types::{id, Instant};
use std::collections::BTreeSet;
use std::time::Duration;

/// An attempt is a straggler if it runs longer than this multiple of the median duration.
const STRAGGLER_FACTOR: u32 = 2;

/// Speculative attempts start once the unfinished samples are at most the step's samples divided by
/// this, that is, a tenth of them.
const TAIL_DIVISOR: usize = 10;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) number: u32,
    started_at: Instant,
    /// The latest published version when the first token arrived. The engine may have generated the
    /// token with an older version, but not with a newer one.
    version: Option<id::Version>,
}

/// The state of one sample of the step.
#[derive(Clone, Debug, Default)]
struct SampleState {
    attempts: Vec<Attempt>,
    next_attempt: u32,
    failures: u32,
    /// Whether a speculative attempt has been started.
    speculated: bool,
    /// The earliest time of the next attempt, if the sample is waiting.
    not_before: Option<Instant>,
    finished: bool,
}

/// An attempt to start or cancel: the flat index of the sample and the attempt number.
pub(crate) type AttemptRef = (usize, u32);

/// The schedule of one step. Samples are addressed by a flat index over all groups.
#[derive(Clone, Debug)]
pub(crate) struct StepPlan {
    sizes: Vec<u32>,
    samples: Vec<SampleState>,
    /// The samples waiting to start, ordered by their earliest start time.
    waiting: BTreeSet<(Instant, usize)>,
    /// The durations of finished attempts, sorted.
    durations: Vec<Duration>,
    unfinished: usize,
    running: usize,
}

impl StepPlan {
    pub(crate) fn new(sizes: &[u32]) -> Self {
        let total = sizes.iter().map(|size| *size as usize).sum();
        let start = Instant::default();
        let sample = SampleState {
            not_before: Some(start),
            ..SampleState::default()
        };
        Self {
            sizes: sizes.to_vec(),
            samples: vec![sample; total],
            waiting: (0..total).map(|flat_index| (start, flat_index)).collect(),
            durations: Vec::new(),
            unfinished: total,
            running: 0,
        }
    }

    /// Schedules a sample to start no earlier than `not_before`.
    pub(crate) fn schedule(&mut self, flat_index: usize, not_before: Instant) {
        self.samples[flat_index].not_before = Some(not_before);
        self.waiting.insert((not_before, flat_index));
    }

    /// Marks a sample as finished and returns its remaining attempts, which are to be cancelled.
    pub(crate) fn mark_finished(&mut self, flat_index: usize) -> Vec<AttemptRef> {
        let sample = &mut self.samples[flat_index];
        if !std::mem::replace(&mut sample.finished, true) {
            self.unfinished -= 1;
        }
        if let Some(not_before) = sample.not_before.take() {
            self.waiting.remove(&(not_before, flat_index));
        }
        self.remove_attempts(flat_index)
    }

    pub(crate) fn flat_index(&self, group: u32, index: u32) -> Option<usize> {
        let size = *self.sizes.get(group as usize)?;
        let before = self.sizes[..group as usize].iter();
        let before: usize = before.map(|size| *size as usize).sum();
        (index < size).then_some(before + index as usize)
    }

    pub(crate) fn group_and_index(&self, flat_index: usize) -> (u32, u32) {
        let mut remaining = flat_index;
        for (group, size) in (0..).zip(&self.sizes) {
            let size = *size as usize;
            if remaining < size {
                return (group, remaining as u32);
            }
            remaining -= size;
        }
        // Not reached: flat indices are less than the number of samples.
        (0, 0)
    }

    pub(crate) fn len(&self) -> usize {
        self.samples.len()
    }

    pub(crate) fn running(&self) -> usize {
        self.running
    }

    pub(crate) fn unfinished(&self) -> usize {
        self.unfinished
    }

    /// Starts the next sample that is due, if any.
    pub(crate) fn start_next(&mut self, now: Instant) -> Option<AttemptRef> {
        let (not_before, flat_index) = *self.waiting.first()?;
        if not_before > now {
            return None;
        }
        self.waiting.pop_first();
        self.samples[flat_index].not_before = None;
        Some((flat_index, self.add_attempt(flat_index, now)))
    }

    /// Starts a speculative attempt for a straggler, if there is one.
    pub(crate) fn start_speculative(&mut self, now: Instant) -> Option<AttemptRef> {
        if self.unfinished == 0 || self.unfinished > (self.len() / TAIL_DIVISOR).max(1) {
            return None;
        }
        let median = *self.durations.get(self.durations.len() / 2)?;
        let is_straggler = |sample: &SampleState| {
            let [attempt] = sample.attempts[..] else {
                return false;
            };
            !sample.speculated
                && now.saturating_since(attempt.started_at) > median * STRAGGLER_FACTOR
        };
        let flat_index = self.samples.iter().position(is_straggler)?;
        self.samples[flat_index].speculated = true;
        Some((flat_index, self.add_attempt(flat_index, now)))
    }

    fn add_attempt(&mut self, flat_index: usize, now: Instant) -> u32 {
        let sample = &mut self.samples[flat_index];
        let number = sample.next_attempt;
        sample.next_attempt += 1;
        sample.attempts.push(Attempt {
            number,
            started_at: now,
            version: None,
        });
        self.running += 1;
        number
    }

    /// Records the version published at the first token of an attempt.
    pub(crate) fn set_version(&mut self, flat_index: usize, number: u32, version: id::Version) {
        let attempts = self.samples[flat_index].attempts.iter_mut();
        for attempt in attempts.filter(|attempt| attempt.number == number) {
            attempt.version.get_or_insert(version);
        }
    }

    /// Removes an attempt; returns `None` if it is not in flight.
    fn remove_attempt(&mut self, flat_index: usize, number: u32) -> Option<Attempt> {
        let attempts = &mut self.samples[flat_index].attempts;
        let position = attempts
            .iter()
            .position(|attempt| attempt.number == number)?;
        self.running -= 1;
        Some(attempts.remove(position))
    }

    /// Finishes a sample and returns its other attempts, which are to be cancelled.
    pub(crate) fn finish_sample(
        &mut self,
        now: Instant,
        flat_index: usize,
        number: u32,
    ) -> Vec<AttemptRef> {
        if let Some(attempt) = self.remove_attempt(flat_index, number) {
            let duration = now.saturating_since(attempt.started_at);
            let position = self.durations.partition_point(|other| *other <= duration);
            self.durations.insert(position, duration);
            // Samples regenerated because they were too stale finish more than once, so the list
            // has to be bounded; the longest durations are dropped.
            self.durations.truncate(self.samples.len());
        }
        self.mark_finished(flat_index)
    }

    /// Removes all attempts of a sample.
    fn remove_attempts(&mut self, flat_index: usize) -> Vec<AttemptRef> {
        let attempts = std::mem::take(&mut self.samples[flat_index].attempts);
        self.running -= attempts.len();
        attempts
            .iter()
            .map(|attempt| (flat_index, attempt.number))
            .collect()
    }

    pub(crate) fn remove_all_attempts(&mut self) -> Vec<AttemptRef> {
        (0..self.len())
            .flat_map(|flat_index| self.remove_attempts(flat_index))
            .collect()
    }

    /// Removes a failed attempt. Returns the failure count of the sample if it has to be retried,
    /// that is, if no other attempt is in flight.
    pub(crate) fn fail_attempt(&mut self, flat_index: usize, number: u32) -> Option<u32> {
        self.remove_attempt(flat_index, number)?;
        let sample = &mut self.samples[flat_index];
        sample.failures += 1;
        sample.attempts.is_empty().then_some(sample.failures)
    }

    /// Schedules a finished sample for regeneration.
    pub(crate) fn reschedule(&mut self, flat_index: usize, now: Instant) {
        let sample = &mut self.samples[flat_index];
        if !std::mem::take(&mut sample.finished) {
            return;
        }
        sample.speculated = false;
        sample.failures = 0;
        self.unfinished += 1;
        self.schedule(flat_index, now);
    }

    /// Removes attempts whose version is older than `oldest` and reschedules their samples.
    pub(crate) fn remove_stale_attempts(
        &mut self,
        now: Instant,
        oldest: id::Version,
    ) -> Vec<AttemptRef> {
        let mut stale = Vec::new();
        for flat_index in 0..self.len() {
            let is_stale =
                |attempt: &&Attempt| attempt.version.is_some_and(|version| version < oldest);
            let sample = &self.samples[flat_index];
            let numbers: Vec<u32> = sample
                .attempts
                .iter()
                .filter(is_stale)
                .map(|a| a.number)
                .collect();
            for number in numbers {
                self.remove_attempt(flat_index, number);
                stale.push((flat_index, number));
                if self.samples[flat_index].attempts.is_empty() {
                    self.schedule(flat_index, now);
                }
            }
        }
        stale
    }
}
