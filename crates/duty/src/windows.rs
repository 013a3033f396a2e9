use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The stored progress of the usage reports. Each field is the number of a window.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Progress {
    /// The first window without a decided report.
    pub undecided: u64,
    /// The first window whose report is not known to be acknowledged.
    pub unacknowledged: u64,
    /// The first window whose rows were not removed.
    pub unremoved: u64,
}

/// The times of the usage reports.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Schedule {
    /// The length of a window.
    pub length: Duration,
    /// The time after the end of a window at which its report is decided.
    pub decide_after: Duration,
    /// How long the rows of an acknowledged window are kept.
    pub keep: Duration,
}

/// What the holder of the duty does next.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Task {
    /// Sends the decided report of a window.
    Send(u64),
    /// Decides and sends the report of a window.
    Decide(u64),
    /// Removes the rows of a window.
    Remove(u64),
    /// Waits until something is due.
    Wait,
}

/// The order of the usage reports.
///
/// It addresses one report for every window of a day, also after an outage of the store, of the
/// provider or of the holder: windows are decided and sent in order, oldest first. A decided report
/// is sent until it is acknowledged, and is never decided again.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Windows {
    schedule: Schedule,
    progress: Progress,
}

impl Schedule {
    /// Returns the number of the window that contains a time.
    pub fn window_at(&self, unix_ms: u64) -> u64 {
        unix_ms / self.length_ms()
    }

    /// Returns the progress of a duty whose row is first written at a time: the window of this time
    /// is the first one.
    pub fn first_progress(&self, unix_ms: u64) -> Progress {
        let first = self.window_at(unix_ms);
        Progress {
            undecided: first,
            unacknowledged: first,
            unremoved: first,
        }
    }

    /// Returns the end of a window in Unix milliseconds.
    pub fn end_ms(&self, window: u64) -> u64 {
        (window + 1).saturating_mul(self.length_ms())
    }

    fn length_ms(&self) -> u64 {
        millis(self.length).max(1)
    }
}

impl Windows {
    /// Creates the state of a node that knows only the stored progress.
    pub fn new(schedule: Schedule, stored: Progress) -> Self {
        Self {
            schedule,
            progress: stored,
        }
    }

    /// Returns the progress.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Takes in the stored progress. What this node knows to be acknowledged or removed stays so,
    /// although it is only stored with the next claim.
    pub fn on_progress(&mut self, stored: Progress) {
        let known = self.progress;
        // A window without a decided report can't have been acknowledged, not even if the row was
        // removed and written anew.
        let latest = |known: u64, stored_value: u64| known.max(stored_value).min(stored.undecided);
        self.progress = Progress {
            undecided: stored.undecided,
            unacknowledged: latest(known.unacknowledged, stored.unacknowledged),
            unremoved: latest(known.unremoved, stored.unremoved),
        };
    }

    /// Returns what the holder does at a time.
    pub fn next(&self, unix_ms: u64) -> Task {
        let Progress {
            undecided,
            unacknowledged,
            unremoved,
        } = self.progress;
        if unacknowledged < undecided {
            return Task::Send(unacknowledged);
        }
        let decide_at = self.schedule.end_ms(undecided) + millis(self.schedule.decide_after);
        if unix_ms >= decide_at {
            return Task::Decide(undecided);
        }
        let remove_at = self.schedule.end_ms(unremoved) + millis(self.schedule.keep);
        if unremoved < unacknowledged && unix_ms >= remove_at {
            return Task::Remove(unremoved);
        }
        Task::Wait
    }

    /// Returns the progress to write with the decision about a window.
    pub fn progress_after_decision(&self, window: u64) -> Progress {
        Progress {
            undecided: self.progress.undecided.max(window + 1),
            ..self.progress
        }
    }

    /// Takes in that the provider has acknowledged the report of a window.
    pub fn on_acknowledged(&mut self, window: u64) {
        self.progress.unacknowledged = self.progress.unacknowledged.max(window + 1);
    }

    /// Takes in that the rows of a window were removed.
    pub fn on_removed(&mut self, window: u64) {
        self.progress.unremoved = self.progress.unremoved.max(window + 1);
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
