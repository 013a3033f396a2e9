use crate::Progress;
use dogwoodlb_types::Instant;

/// Names one item's work; a run and its successors on other replicas share it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkId(pub u64);

/// The work on one item.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    /// The batch, or `None` after its end, while the item may come again.
    pub(crate) batch: Option<String>,
    pub(crate) index: u32,
    pub(crate) item: String,
    pub(crate) model: String,
    pub(crate) group: usize,
    pub(crate) prompt_tokens: u64,
    pub(crate) expected_events: u64,
    pub(crate) min_version: u64,
    pub(crate) single_version: bool,
    pub(crate) phase: Phase,
    pub(crate) progress: Progress,
    pub(crate) failures: u32,
    /// When work without a batch is dropped.
    pub(crate) expires_at: Option<Instant>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// No replica works on it.
    Waiting,
    /// A replica generates.
    Running(Run),
    /// The text is whole.
    Generated,
    /// The outcome is known: the text is whole and scored.
    Done,
    /// The outcome is known: the item is given up.
    Abandoned,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Run {
    pub(crate) replica: String,
    pub(crate) started_at: Instant,
    pub(crate) last_event_at: Instant,
    pub(crate) events: u64,
    pub(crate) tokens: u64,
    /// The planner asked the shell to stop the run.
    pub(crate) stop_requested: bool,
}

impl Work {
    /// Returns the events that are expected to come.
    pub(crate) fn remaining(&self) -> u64 {
        let done = self.progress.last_event;
        // A text that outgrew its estimate goes on for about a third of what it has.
        self.expected_events.saturating_sub(done).max(done / 3 + 1)
    }

    /// Returns the run, if there is one.
    pub(crate) fn run(&self) -> Option<&Run> {
        match &self.phase {
            Phase::Running(run) => Some(run),
            _ => None,
        }
    }
}
