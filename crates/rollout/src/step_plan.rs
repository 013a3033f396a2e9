use dogwoodlb_types::{id, Instant};
use std::collections::BTreeSet;
use std::time::Duration;

/// A straggler is a sample that runs longer than this multiple of the median.
const STRAGGLER_FACTOR: u32 = 2;

/// Spare attempts start when this share of the step's samples, one in ten, is unfinished.
const TAIL_DIVISOR: usize = 10;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) number: u32,
    started_at: Instant,
    /// The version published when the first token came, which isn't older than that token.
    version: Option<id::Version>,
}

#[derive(Clone, Debug, Default)]
struct SampleState {
    attempts: Vec<Attempt>,
    next_attempt: u32,
    failures: u32,
    speculated: bool,
    /// From when the sample may start, if it waits.
    not_before: Option<Instant>,
    finished: bool,
}

/// An attempt to start or to cancel: the place of the sample and the attempt's number.
pub(crate) type AttemptRef = (usize, u32);

/// The plan of one step.
#[derive(Clone, Debug)]
pub(crate) struct StepPlan {
    sizes: Vec<u32>,
    samples: Vec<SampleState>,
    /// The samples to start, by the time from which they may start.
    waiting: BTreeSet<(Instant, usize)>,
    /// How long the finished samples took, in order.
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

    /// Lets a sample start from a time on.
    pub(crate) fn schedule(&mut self, flat_index: usize, not_before: Instant) {
        self.samples[flat_index].not_before = Some(not_before);
        self.waiting.insert((not_before, flat_index));
    }

    /// Marks a sample as finished and returns its attempts in flight.
    pub(crate) fn mark_finished(&mut self, flat_index: usize) -> Vec<AttemptRef> {
        let sample = &mut self.samples[flat_index];
        if !std::mem::replace(&mut sample.finished, true) {
            self.unfinished -= 1;
        }
        if let Some(not_before) = sample.not_before.take() {
            self.waiting.remove(&(not_before, flat_index));
        }
        self.cancel(flat_index)
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

    /// Starts the next waiting sample that may start.
    pub(crate) fn start(&mut self, now: Instant) -> Option<AttemptRef> {
        let (not_before, flat_index) = *self.waiting.first()?;
        if not_before > now {
            return None;
        }
        self.waiting.pop_first();
        self.samples[flat_index].not_before = None;
        Some((flat_index, self.add_attempt(flat_index, now)))
    }

    /// Starts a spare attempt for a straggler, if there is one.
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

    /// Ends an attempt; returns `None` if it isn't running.
    fn end(&mut self, flat_index: usize, number: u32) -> Option<Attempt> {
        let attempts = &mut self.samples[flat_index].attempts;
        let position = attempts
            .iter()
            .position(|attempt| attempt.number == number)?;
        self.running -= 1;
        Some(attempts.remove(position))
    }

    /// Finishes a sample and returns the attempts that lost.
    pub(crate) fn finish(
        &mut self,
        now: Instant,
        flat_index: usize,
        number: u32,
    ) -> Vec<AttemptRef> {
        if let Some(attempt) = self.end(flat_index, number) {
            let duration = now.saturating_since(attempt.started_at);
            let position = self.durations.partition_point(|other| *other <= duration);
            self.durations.insert(position, duration);
            // Samples that became too old finish again; the list stays bounded.
            self.durations.truncate(self.samples.len());
        }
        self.mark_finished(flat_index)
    }

    /// Ends all attempts of a sample.
    fn cancel(&mut self, flat_index: usize) -> Vec<AttemptRef> {
        let attempts = std::mem::take(&mut self.samples[flat_index].attempts);
        self.running -= attempts.len();
        attempts
            .iter()
            .map(|attempt| (flat_index, attempt.number))
            .collect()
    }

    pub(crate) fn cancel_all(&mut self) -> Vec<AttemptRef> {
        (0..self.len())
            .flat_map(|flat_index| self.cancel(flat_index))
            .collect()
    }

    /// Ends a failed attempt and returns how often the sample failed, if it must be retried.
    pub(crate) fn fail(&mut self, flat_index: usize, number: u32) -> Option<u32> {
        self.end(flat_index, number)?;
        let sample = &mut self.samples[flat_index];
        sample.failures += 1;
        sample.attempts.is_empty().then_some(sample.failures)
    }

    /// Plans a finished sample again.
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

    /// Ends the attempts that can only finish too old and plans their samples again.
    pub(crate) fn expire(&mut self, now: Instant, oldest: id::Version) -> Vec<AttemptRef> {
        let mut expired = Vec::new();
        for flat_index in 0..self.len() {
            let old = |attempt: &&Attempt| attempt.version.is_some_and(|version| version < oldest);
            let sample = &self.samples[flat_index];
            let numbers: Vec<u32> = sample
                .attempts
                .iter()
                .filter(old)
                .map(|a| a.number)
                .collect();
            for number in numbers {
                self.end(flat_index, number);
                expired.push((flat_index, number));
                if self.samples[flat_index].attempts.is_empty() {
                    self.schedule(flat_index, now);
                }
            }
        }
        expired
    }
}
