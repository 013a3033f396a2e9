//! Runs, scoring and outcomes of items.

use super::running::Batch;
use super::Coordinator;
use crate::clock;
use crate::run::{self, AbortOnDrop, RunResult, Target};
use crate::score::ScoreOutcome;
use crate::task;
use dogwoodlb_batch::{Outcome, OutcomeState, RunEnd, Submission, WorkId};
use std::rc::Rc;

/// The reason of [`Action::Stop`](dogwoodlb_batch::Action::Stop) for a run without an event.
const STALLED: &str = "stalled";

impl Coordinator {
    /// Abandons the waiting and running items of batches whose deadline has passed. Items that are
    /// being scored are abandoned by [`score`](Self::score).
    pub(super) fn abandon_overdue(self: &Rc<Self>) {
        let now = clock::now();
        let overdue: Vec<String> = {
            let batches = self.batches.borrow();
            let overdue = batches
                .iter()
                .filter(|(_, running)| running.batch.deadline <= now);
            overdue.map(|(id, _)| id.clone()).collect()
        };
        for id in overdue {
            self.abandon_unfinished(&id, "late");
        }
    }

    /// Abandons the waiting and running items of a batch.
    pub(super) fn abandon_unfinished(&self, batch: &str, reason: &str) {
        let works = self.planner.borrow().unfinished(batch);
        for work in works {
            self.stop(work, reason);
            self.abandon(work, reason);
        }
    }

    /// Returns the batch of an item, if this node runs the batch, and the index of the item in it.
    /// The item itself may be in any phase; it need not have a run.
    fn batch(&self, work: WorkId) -> Option<(Rc<Batch>, u32)> {
        let planner = self.planner.borrow();
        let (name, index) = planner.item_location(work)?;
        let batches = self.batches.borrow();
        Some((batches.get(name)?.batch.clone(), index))
    }

    pub(super) fn start(self: &Rc<Self>, work: WorkId, replica: String) {
        let location = {
            let directory = self.context.cluster.directory();
            let entry = directory.get(&replica);
            entry.map(|entry| (entry.address, entry.born_ms))
        };
        let (Some((batch, index)), Some((address, born_ms))) = (self.batch(work), location) else {
            self.planner
                .borrow_mut()
                .on_run_end(work, RunEnd::Refused, clock::now());
            return;
        };
        if let Some((tokens, to_prefill)) = self.planner.borrow().prompt_tokens(work) {
            let reused = tokens.saturating_sub(to_prefill);
            self.context.metrics.count_prompt_tokens(to_prefill, reused);
            tracing::debug!(work = work.0, replica, to_prefill, reused, "run_placed");
        }
        let this = self.clone();
        // The planner stops a run without events, also one whose task panicked.
        let task = task::spawn_isolated("run", async move {
            let target = Target {
                replica,
                born_ms,
                address,
                host: batch.submission.host.clone(),
                organisation: batch.organisation.clone(),
            };
            let item = &batch.submission.items[index as usize];
            let context = &this.context;
            let result = run::run_item(context, &this.planner, work, item, &target, &batch.permit);
            let result = result.await;
            this.on_run_end(work, result, &target.replica, &batch.submission);
        });
        let guard = AbortOnDrop(task.abort_handle());
        self.run_tasks.borrow_mut().insert(work, guard);
    }

    pub(super) fn stop(&self, work: WorkId, reason: &str) {
        self.context.metrics.runs.with_label_values(&[reason]).inc();
        tracing::debug!(work = work.0, reason, "run_stopped");
        if reason == STALLED {
            self.report_stall(work);
        }
        self.run_tasks.borrow_mut().remove(&work);
        self.planner
            .borrow_mut()
            .on_run_end(work, RunEnd::Stopped, clock::now());
    }

    /// Logs a run that was without an event for too long, and closes the idle connections to its
    /// replica, because one that is silent is seldom the only one.
    fn report_stall(&self, work: WorkId) {
        let Some(stall) = self.planner.borrow().stall(work, clock::now()) else {
            return;
        };
        let batch = self.batch(work);
        let item = batch.as_ref().map(|(batch, index)| {
            let item = &batch.submission.items[*index as usize];
            item.id.as_str()
        });
        tracing::info!(
            item,
            replica = stall.replica,
            events = stall.events,
            silent_ms = stall.silent_for.as_millis(),
            limit_ms = stall.limit.as_millis(),
            "run_stalled"
        );
        let directory = self.context.cluster.directory();
        if let Some(entry) = directory.get(&stall.replica) {
            self.context.client.close_idle(entry.address);
        }
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

    /// Starts items again whose text no replica can continue.
    pub(super) fn restart_unreachable(&self) {
        let restarts = self.planner.borrow_mut().restart_unreachable(clock::now());
        for restart in restarts {
            let Some((batch, index)) = self.batch(restart.work) else {
                continue;
            };
            let reason = restart.reason();
            self.context.metrics.runs.with_label_values(&[reason]).inc();
            tracing::info!(
                batch = batch.submission.id,
                item = batch.submission.items[index as usize].id,
                version = restart.version,
                events = restart.events,
                reason,
                "item_restarted"
            );
        }
    }

    fn abandon(&self, work: WorkId, reason: &str) {
        let Some((batch, index)) = self.batch(work) else {
            return;
        };
        let item = batch.submission.items[index as usize].id.clone();
        tracing::info!(batch = batch.submission.id, item, reason, "item_abandoned");
        self.planner.borrow_mut().mark_abandoned(work);
        batch.writer.enqueue(Outcome {
            index,
            item,
            state: OutcomeState::Abandoned,
            ..Outcome::default()
        });
    }

    /// Scores a complete text and enqueues its outcome. The task is cancelled with the batch: a
    /// later batch that resubmits the item scores its text itself.
    pub(super) fn score(self: &Rc<Self>, work: WorkId) {
        let Some((batch, index)) = self.batch(work) else {
            return;
        };
        let mut batches = self.batches.borrow_mut();
        if let Some(running) = batches.get_mut(&batch.submission.id) {
            let score = self.clone().score_item(batch, work, index);
            running.spawn(self.context.supervisor.supervise("score", score));
        }
    }

    async fn score_item(self: Rc<Self>, batch: Rc<Batch>, work: WorkId, index: u32) {
        let Some(progress) = self.planner.borrow().progress(work).cloned() else {
            return;
        };
        let item = &batch.submission.items[index as usize];
        let score = match &item.scorer {
            Some(scorer) => {
                let client = &self.context.score_client;
                match client.score(scorer, &batch.permit, batch.deadline).await {
                    ScoreOutcome::Signed(score) => Some(score),
                    ScoreOutcome::Failed => return self.abandon(work, "score_failed"),
                    ScoreOutcome::TimedOut => return self.abandon(work, "score_late"),
                    ScoreOutcome::Revoked => return,
                }
            }
            None => None,
        };
        self.planner.borrow_mut().mark_done(work);
        batch.writer.enqueue(Outcome {
            index,
            item: item.id.clone(),
            state: OutcomeState::Complete,
            text: progress.text,
            versions: progress.versions,
            score,
        });
    }
}
