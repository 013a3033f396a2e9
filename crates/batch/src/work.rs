use crate::prefill::Prompt;
use crate::Progress;
use dogwoodlb_types::Instant;

/// Identifies an item that is scheduled. All runs of the item, on any replica, have the same id.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkId(pub u64);

/// An item that is scheduled: its constraints, its phase and the text generated so far.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    /// The batch, or `None` if the batch has ended and a later one may resubmit the item.
    pub(crate) batch: Option<String>,
    /// The organisation that submitted the batch.
    pub(crate) organisation: Option<String>,
    pub(crate) index: u32,
    pub(crate) item: String,
    pub(crate) model: String,
    /// The index of the group in the batch.
    pub(crate) group_index: usize,
    pub(crate) prompt: Prompt,
    pub(crate) expected_events: u64,
    pub(crate) min_version: u64,
    pub(crate) single_version: bool,
    pub(crate) phase: Phase,
    pub(crate) progress: Progress,
    /// The last report that the text is complete, unless the text has grown since.
    pub(crate) end_report: Option<EndReport>,
    /// When a planning round first found the item waiting for the continuation of its text, unless
    /// the text has grown since.
    pub(crate) without_event_since: Option<Instant>,
    /// The number of runs that ended with [`RunEnd::Failed`](crate::RunEnd::Failed).
    pub(crate) failures: u32,
    /// Since when the item waits, from the first planning round that sees it.
    pub(crate) waiting_since: Option<Instant>,
    /// The time at which the item is dropped, set once its batch has ended.
    pub(crate) expires_at: Option<Instant>,
}

/// A report that a text is complete: a run ended without an event after it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct EndReport {
    /// The replica of the run.
    pub(crate) replica: String,
    /// The last event of the text that the report is about.
    pub(crate) last_event: u64,
    /// The number of such runs on the replica, without one on another replica in between.
    pub(crate) count: u32,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// The item is not assigned to a replica.
    Waiting,
    /// A replica is generating the text.
    Running(Run),
    /// The text is complete but has no outcome yet.
    Generated,
    /// The text is complete and scored.
    Done,
    /// The item has been abandoned.
    Abandoned,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Run {
    pub(crate) replica: String,
    pub(crate) started_at: Instant,
    pub(crate) last_event_at: Instant,
    /// The time of the last event, or later if the planner was not called for a while.
    pub(crate) silent_since: Instant,
    /// The number of events received in this run.
    pub(crate) events: u64,
    pub(crate) prompt_tokens: u64,
    /// The number of prompt tokens that the replica had to prefill, 0 from the first event on.
    pub(crate) unprefilled_tokens: u64,
    /// Whether an [`Action::Stop`](crate::Action::Stop) was returned for the run.
    pub(crate) stop_requested: bool,
}

impl Work {
    /// Returns the expected number of events still to be generated.
    pub(crate) fn remaining_events(&self) -> u64 {
        let generated = self.progress.last_event;
        // A text can exceed its estimate, so assume that at least a third of its current length
        // remains.
        self.expected_events
            .saturating_sub(generated)
            .max(generated / 3 + 1)
    }

    /// Returns the key of the item among those that ended batches left unfinished.
    pub(crate) fn carryover_key(&self) -> (Option<String>, String) {
        (self.organisation.clone(), self.item.clone())
    }

    pub(crate) fn run(&self) -> Option<&Run> {
        match &self.phase {
            Phase::Running(run) => Some(run),
            _ => None,
        }
    }
}
