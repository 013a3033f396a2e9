//! The batches that a coordinator runs, each with the tasks that act for it.

use crate::outcome_writer::OutcomeWriter;
use crate::permit::Permit;
use dogwoodlb_batch::Submission;
use dogwoodlb_types::Instant;
use std::future::Future;
use std::rc::Rc;
use tokio::task::JoinSet;

/// What the tasks of a batch use.
pub(super) struct Batch {
    pub(super) submission: Rc<Submission>,
    /// The organisation that submitted the batch, if any.
    pub(super) organisation: Option<String>,
    pub(super) writer: Rc<OutcomeWriter>,
    pub(super) permit: Permit,
    /// Whether all events of a text must come from one weight version.
    pub(super) single_version: bool,
    /// When unfinished items are abandoned.
    pub(super) deadline: Instant,
}

/// A batch that this node runs. Dropping it cancels its tasks, so that none acts for a batch that
/// has ended or that another node runs. It can't be shared with a task, which would keep it alive.
pub(super) struct RunningBatch {
    pub(super) batch: Rc<Batch>,
    tasks: JoinSet<()>,
}

impl RunningBatch {
    /// Creates a batch without tasks.
    pub(super) fn new(batch: Rc<Batch>) -> Self {
        Self {
            batch,
            tasks: JoinSet::new(),
        }
    }

    /// Starts a task that is cancelled with the batch.
    pub(super) fn spawn(&mut self, task: impl Future<Output = ()> + 'static) {
        while self.tasks.try_join_next().is_some() {}
        self.tasks.spawn_local(task);
    }
}
