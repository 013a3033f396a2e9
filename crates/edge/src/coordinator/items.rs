//! Runs, scoring and outcomes of items.

use super::{Coordinator, RunningBatch};
use crate::clock;
use crate::run::{self, AbortOnDrop, RunResult, Target};
use crate::score::ScoreOutcome;
use dogwoodlb_batch::{Outcome, OutcomeState, RunEnd, Submission, WorkId};
use std::rc::Rc;

impl Coordinator {
    /// Abandons the waiting and running items of batches whose deadline has passed. Items that are
    /// being scored are abandoned by [`score`](Self::score).
    pub(super) fn abandon_overdue(self: &Rc<Self>) {
        let now = clock::now();
        let overdue: Vec<String> = {
            let batches = self.batches.borrow();
            let overdue = batches
                .iter()
                .filter(|(_, running)| running.deadline <= now);
            overdue.map(|(id, _)| id.clone()).collect()
        };
        for id in overdue {
            let works = self.planner.borrow().unfinished(&id);
            for work in works {
                self.stop(work, "late");
                self.abandon(work, "late");
            }
        }
    }

    /// Returns the batch of an item, if this node runs the batch, and the index of the item in it.
    /// The item itself may be in any phase; it need not have a run.
    fn running(&self, work: WorkId) -> Option<(Rc<RunningBatch>, u32)> {
        let planner = self.planner.borrow();
        let (batch, index) = planner.item_location(work)?;
        let running = self.batches.borrow().get(batch).cloned()?;
        Some((running, index))
    }

    pub(super) fn start(self: &Rc<Self>, work: WorkId, replica: String) {
        let address = {
            let directory = self.context.cluster.directory();
            directory.get(&replica).map(|entry| entry.address)
        };
        let (Some((running, index)), Some(address)) = (self.running(work), address) else {
            self.planner
                .borrow_mut()
                .on_run_end(work, RunEnd::Refused, clock::now());
            return;
        };
        let this = self.clone();
        let task = tokio::task::spawn_local(async move {
            let target = Target {
                replica,
                address,
                host: running.submission.host.clone(),
            };
            let item = &running.submission.items[index as usize];
            let context = &this.context;
            let result = run::run_item(
                &context.client,
                &*context.protocol,
                &this.planner,
                work,
                item,
                &target,
            );
            let result = result.await;
            this.on_run_end(work, result, &target.replica, &running.submission);
        });
        let guard = AbortOnDrop(task.abort_handle());
        self.run_tasks.borrow_mut().insert(work, guard);
    }

    pub(super) fn stop(&self, work: WorkId, reason: &str) {
        self.context.metrics.runs.with_label_values(&[reason]).inc();
        tracing::debug!(work = work.0, reason, "run_stopped");
        self.run_tasks.borrow_mut().remove(&work);
        self.planner
            .borrow_mut()
            .on_run_end(work, RunEnd::Stopped, clock::now());
    }

    fn on_run_end(
        self: &Rc<Self>,
        work: WorkId,
        result: RunResult,
        replica: &str,
        submission: &Submission,
    ) {
        self.run_tasks.borrow_mut().remove(&work);
        let now = clock::now();
        let end = match result {
            RunResult::Ended(end) => end,
            RunResult::Unprocessable => RunEnd::Failed,
            RunResult::EventRejected(version) => {
                self.loads
                    .observe_version(replica, &submission.model, version);
                if version < submission.min_version {
                    RunEnd::Refused
                } else {
                    RunEnd::Interrupted
                }
            }
        };
        let label = end.as_str();
        self.context.metrics.runs.with_label_values(&[label]).inc();
        let has_failed = self.planner.borrow_mut().on_run_end(work, end, now);
        if has_failed || result == RunResult::Unprocessable {
            self.abandon(work, "failed");
        } else if self.planner.borrow().is_generated(work) {
            self.score(work);
        } else if end == RunEnd::Completed {
            tracing::info!(work = work.0, replica, "run_end_unconfirmed");
        }
        self.wake.notify_one();
    }

    fn abandon(&self, work: WorkId, reason: &str) {
        let Some((running, index)) = self.running(work) else {
            return;
        };
        let item = running.submission.items[index as usize].id.clone();
        tracing::info!(
            batch = running.submission.id,
            item,
            reason,
            "item_abandoned"
        );
        self.planner.borrow_mut().mark_abandoned(work);
        running.writer.enqueue(Outcome {
            index,
            item,
            state: OutcomeState::Abandoned,
            ..Outcome::default()
        });
    }

    /// Scores a complete text and enqueues its outcome.
    pub(super) fn score(self: &Rc<Self>, work: WorkId) {
        let Some((running, index)) = self.running(work) else {
            return;
        };
        let Some(progress) = self.planner.borrow().progress(work).cloned() else {
            return;
        };
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let item = &running.submission.items[index as usize];
            let score = match &item.scorer {
                Some(scorer) => match this
                    .context
                    .score_client
                    .score(scorer, running.deadline)
                    .await
                {
                    ScoreOutcome::Signed(score) => Some(score),
                    ScoreOutcome::Failed => return this.abandon(work, "score_failed"),
                    ScoreOutcome::TimedOut => return this.abandon(work, "score_late"),
                },
                None => None,
            };
            // The batch may have ended during scoring, and a later batch that resubmits the item
            // keeps its work id.
            let current = this.running(work);
            if current.is_none_or(|(batch, _)| !Rc::ptr_eq(&batch, &running)) {
                return;
            }
            this.planner.borrow_mut().mark_done(work);
            running.writer.enqueue(Outcome {
                index,
                item: item.id.clone(),
                state: OutcomeState::Complete,
                text: progress.text,
                versions: progress.versions,
                score,
            });
        });
    }
}
