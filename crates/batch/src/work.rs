use crate::Progress;
use dogwoodlb_types::Instant;

/// Identifies the work on one item. A run and its retries on other replicas share the id.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkId(pub u64);

/// The work on one item.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    /// The batch, or `None` if the batch has ended and a later one may resubmit the item.
    pub(crate) batch: Option<String>,
    pub(crate) index: u32,
    pub(crate) item: String,
    pub(crate) model: String,
    pub(crate) group_index: usize,
    pub(crate) prompt_tokens: u64,
    pub(crate) expected_events: u64,
    pub(crate) min_version: u64,
    pub(crate) single_version: bool,
    pub(crate) phase: Phase,
    pub(crate) progress: Progress,
    pub(crate) failures: u32,
    /// When work whose batch has ended is dropped.
    pub(crate) expires_at: Option<Instant>,
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
    pub(crate) events: u64,
    pub(crate) prompt_tokens: u64,
    /// Whether an [`Action::Stop`](crate::Action::Stop) was returned for the run.
    pub(crate) stop_requested: bool,
}

impl Work {
    /// Returns the expected number of events still to be generated.
    pub(crate) fn remaining_events(&self) -> u64 {
        let generated = self.progress.last_event;
        // Once a text exceeds its estimate, assume that a third of its current length remains.
        self.expected_events
            .saturating_sub(generated)
            .max(generated / 3 + 1)
    }

    pub(crate) fn run(&self) -> Option<&Run> {
        match &self.phase {
            Phase::Running(run) => Some(run),
            _ => None,
        }
    }
}
