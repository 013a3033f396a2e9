use crate::{Counts, Schedule};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long counts that could not be written are kept.
const KEEP: Duration = Duration::from_secs(60);

/// The requests of one node that began to run, by reporting window and organisation.
///
/// It addresses a load of requests whose counts have to reach the holder within seconds after the
/// end of their window, at the price of about one write per second and node, and which must not be
/// lost when the store is away for less than a minute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Meter {
    schedule: Schedule,
    tallies: BTreeMap<u64, Tally>,
    /// The first window whose report is not decided.
    undecided: u64,
}

#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Tally {
    counts: Counts,
    total: u64,
    /// The part of `total` that is in the store.
    written: u64,
    /// The version of the stored row; 0 if there is none.
    row_version: u64,
}

/// The write of a node's counts of one window.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TallyWrite {
    /// The window.
    pub window: u64,
    /// The version that the row must have, so that an earlier write that is applied late does not
    /// replace a later one; 0 if the row must not exist.
    pub expected_version: u64,
    /// The counts.
    pub counts: Counts,
    total: u64,
}

impl Meter {
    /// Creates a meter without counts.
    pub fn new(schedule: Schedule) -> Self {
        Self {
            schedule,
            tallies: BTreeMap::new(),
            undecided: 0,
        }
    }

    /// Counts a request that began to run at a time. Returns `false` if the report of its window is
    /// decided, so that the request is not reported.
    pub fn count(&mut self, organisation: &str, unix_ms: u64) -> bool {
        let window = self.schedule.window_at(unix_ms);
        if window < self.undecided {
            return false;
        }
        let tally = self.tallies.entry(window).or_default();
        tally.total += 1;
        match tally.counts.get_mut(organisation) {
            Some(count) => *count += 1,
            None => {
                tally.counts.insert(organisation.to_owned(), 1);
            }
        }
        true
    }

    /// Returns the writes of all counts that are not in the store yet, oldest first.
    pub fn unwritten(&self) -> Vec<TallyWrite> {
        let tallies = self.tallies.iter();
        let changed = tallies.filter(|(_, tally)| tally.total > tally.written);
        let write = |(window, tally): (&u64, &Tally)| TallyWrite {
            window: *window,
            expected_version: tally.row_version,
            counts: tally.counts.clone(),
            total: tally.total,
        };
        changed.map(write).collect()
    }

    /// Returns whether a window that has ended has counts that are not in the store.
    pub fn has_unwritten_end(&self, unix_ms: u64) -> bool {
        let current = self.schedule.window_at(unix_ms);
        let mut ended = self.tallies.range(..current);
        ended.any(|(_, tally)| tally.total > tally.written)
    }

    /// Takes in that a write was applied as a version of its row.
    pub fn on_written(&mut self, write: &TallyWrite, version: u64) {
        if let Some(tally) = self.tallies.get_mut(&write.window) {
            tally.written = tally.written.max(write.total);
            tally.row_version = version;
        }
    }

    /// Takes in that the row of a window has a version, after a write found another one.
    pub fn on_conflict(&mut self, window: u64, version: u64) {
        if let Some(tally) = self.tallies.get_mut(&window) {
            tally.row_version = version;
        }
    }

    /// Takes in that the reports of all windows before `undecided` are decided, and forgets counts
    /// that are too old. Returns the number of requests that were not written in time.
    pub fn advance(&mut self, undecided: u64, unix_ms: u64) -> u64 {
        self.undecided = self.undecided.max(undecided);
        let keep_ms = u64::try_from(KEEP.as_millis()).unwrap_or(u64::MAX);
        let oldest = self.schedule.window_at(unix_ms.saturating_sub(keep_ms));
        let kept = self.tallies.split_off(&self.undecided.max(oldest));
        let dropped = std::mem::replace(&mut self.tallies, kept);
        let late = dropped.values().map(|tally| tally.total - tally.written);
        late.sum()
    }
}
