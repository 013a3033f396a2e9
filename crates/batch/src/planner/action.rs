//! The instructions of the planner to the node, and the ends of runs that the node reports back.

use crate::work::WorkId;

/// An instruction of the planner to the node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the item to a replica, resuming after the last known event.
    Start {
        /// The work on the item.
        work: WorkId,
        /// The replica.
        replica: String,
    },
    /// Cancel the run and report [`RunEnd::Stopped`] to
    /// [`Planner::on_run_end`](super::Planner::on_run_end).
    Stop {
        /// The work on the item.
        work: WorkId,
        /// The reason, for logs and metrics.
        reason: &'static str,
    },
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// Generation finished.
    Completed,
    /// The stream was interrupted; the item can be resumed.
    Interrupted,
    /// The replica refused to run the item.
    Refused,
    /// The replica reported a failure of the run.
    Failed,
    /// The run was cancelled by [`Action::Stop`], or was not sent because the replica began to leave
    /// or this node doesn't run the batch any more.
    Stopped,
}

impl RunEnd {
    /// Returns the label of the outcome in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "whole",
            Self::Interrupted => "broken",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Stopped => "moved",
        }
    }
}
