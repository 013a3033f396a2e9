use dogwoodlb_types::{id, Instant};
use std::collections::BTreeSet;
use std::time::Duration;

/// A straggler is a sample that runs longer than this multiple of the median.
const STRAGGLER: u32 = 2;

/// Spare attempts start when this share of the step's samples, one in ten, is unfinished.
const TAIL: usize = 10;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) number: u32,
    began: Instant,
    /// The version published when the first token came, which isn't older than that token.
    version: Option<id::Version>,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    attempts: Vec<Attempt>,
    next_attempt: u32,
    failures: u32,
    spare_used: bool,
    /// From when the sample may start, if it waits.
    not_before: Option<Instant>,
    finished: bool,
}

/// An attempt to start or to cancel: the place of the sample and the attempt's number.
pub(crate) type Run = (usize, u32);

/// The plan of one step.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    sizes: Vec<u32>,
    entries: Vec<Entry>,
    /// The samples to start, by the time from which they may start.
    waiting: BTreeSet<(Instant, usize)>,
    /// How long the finished samples took, in order.
    durations: Vec<Duration>,
    unfinished: usize,
    running: usize,
}

impl Plan {
    pub(crate) fn new(sizes: &[u32]) -> Self {
        let total = sizes.iter().map(|size| *size as usize).sum();
        let start = Instant::default();
        let entry = Entry {
            not_before: Some(start),
            ..Entry::default()
        };
        Self {
            sizes: sizes.to_vec(),
            entries: vec![entry; total],
            waiting: (0..total).map(|place| (start, place)).collect(),
            durations: Vec::new(),
            unfinished: total,
            running: 0,
        }
    }

    /// Lets a sample start from a time on.
    pub(crate) fn wait(&mut self, place: usize, not_before: Instant) {
        self.entries[place].not_before = Some(not_before);
        self.waiting.insert((not_before, place));
    }

    /// Marks a sample as finished and returns its attempts in flight.
    pub(crate) fn close(&mut self, place: usize) -> Vec<Run> {
        let entry = &mut self.entries[place];
        if !std::mem::replace(&mut entry.finished, true) {
            self.unfinished -= 1;
        }
        if let Some(not_before) = entry.not_before.take() {
            self.waiting.remove(&(not_before, place));
        }
        self.cancel(place)
    }

    pub(crate) fn place(&self, group: u32, index: u32) -> Option<usize> {
        let size = *self.sizes.get(group as usize)?;
        let before = self.sizes[..group as usize].iter();
        let before: usize = before.map(|size| *size as usize).sum();
        (index < size).then_some(before + index as usize)
    }

    pub(crate) fn sample(&self, place: usize) -> (u32, u32) {
        let mut rest = place;
        for (group, size) in (0..).zip(&self.sizes) {
            let size = *size as usize;
            if rest < size {
                return (group, rest as u32);
            }
            rest -= size;
        }
        (0, 0)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn running(&self) -> usize {
        self.running
    }

    pub(crate) fn unfinished(&self) -> usize {
        self.unfinished
    }

    /// Starts the next waiting sample that may start.
    pub(crate) fn start(&mut self, now: Instant) -> Option<Run> {
        let (not_before, place) = *self.waiting.first()?;
        if not_before > now {
            return None;
        }
        self.waiting.pop_first();
        self.entries[place].not_before = None;
        Some((place, self.run(place, now)))
    }

    /// Starts a spare attempt for a straggler, if there is one.
    pub(crate) fn start_spare(&mut self, now: Instant) -> Option<Run> {
        if self.unfinished == 0 || self.unfinished > (self.len() / TAIL).max(1) {
            return None;
        }
        let median = *self.durations.get(self.durations.len() / 2)?;
        let is_straggler = |entry: &Entry| {
            let [attempt] = entry.attempts[..] else {
                return false;
            };
            !entry.spare_used && now.saturating_since(attempt.began) > median * STRAGGLER
        };
        let place = self.entries.iter().position(is_straggler)?;
        self.entries[place].spare_used = true;
        Some((place, self.run(place, now)))
    }

    fn run(&mut self, place: usize, now: Instant) -> u32 {
        let entry = &mut self.entries[place];
        let number = entry.next_attempt;
        entry.next_attempt += 1;
        entry.attempts.push(Attempt {
            number,
            began: now,
            version: None,
        });
        self.running += 1;
        number
    }

    /// Records the version published at the first token of an attempt.
    pub(crate) fn set_version(&mut self, place: usize, number: u32, version: id::Version) {
        let attempts = self.entries[place].attempts.iter_mut();
        for attempt in attempts.filter(|own| own.number == number) {
            attempt.version.get_or_insert(version);
        }
    }

    /// Ends an attempt; returns `None` if it isn't running.
    fn end(&mut self, place: usize, number: u32) -> Option<Attempt> {
        let attempts = &mut self.entries[place].attempts;
        let position = attempts.iter().position(|own| own.number == number)?;
        self.running -= 1;
        Some(attempts.remove(position))
    }

    /// Finishes a sample and returns the attempts that lost.
    pub(crate) fn finish(&mut self, now: Instant, place: usize, number: u32) -> Vec<Run> {
        if let Some(attempt) = self.end(place, number) {
            let duration = now.saturating_since(attempt.began);
            let position = self.durations.partition_point(|other| *other <= duration);
            self.durations.insert(position, duration);
            // Samples that became too old finish again; the list stays bounded.
            self.durations.truncate(self.entries.len());
        }
        self.close(place)
    }

    /// Ends all attempts of a sample.
    fn cancel(&mut self, place: usize) -> Vec<Run> {
        let attempts = std::mem::take(&mut self.entries[place].attempts);
        self.running -= attempts.len();
        attempts.iter().map(|own| (place, own.number)).collect()
    }

    pub(crate) fn cancel_all(&mut self) -> Vec<Run> {
        (0..self.len())
            .flat_map(|place| self.cancel(place))
            .collect()
    }

    /// Ends a failed attempt and returns how often the sample failed, if it must be retried.
    pub(crate) fn fail(&mut self, place: usize, number: u32) -> Option<u32> {
        self.end(place, number)?;
        let entry = &mut self.entries[place];
        entry.failures += 1;
        entry.attempts.is_empty().then_some(entry.failures)
    }

    /// Plans a finished sample again.
    pub(crate) fn reopen(&mut self, place: usize, now: Instant) {
        let entry = &mut self.entries[place];
        if !std::mem::take(&mut entry.finished) {
            return;
        }
        entry.spare_used = false;
        entry.failures = 0;
        self.unfinished += 1;
        self.wait(place, now);
    }

    /// Ends the attempts that can only finish too old and plans their samples again.
    pub(crate) fn expire(&mut self, now: Instant, oldest: id::Version) -> Vec<Run> {
        let mut expired = Vec::new();
        for place in 0..self.len() {
            let old = |attempt: &&Attempt| attempt.version.is_some_and(|own| own < oldest);
            let entry = &self.entries[place];
            let numbers: Vec<u32> = entry
                .attempts
                .iter()
                .filter(old)
                .map(|a| a.number)
                .collect();
            for number in numbers {
                self.end(place, number);
                expired.push((place, number));
                if self.entries[place].attempts.is_empty() {
                    self.wait(place, now);
                }
            }
        }
        expired
    }
}
