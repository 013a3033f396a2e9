//! Records the events and the ends of runs.

use super::candidates::has_suitable_version;
use super::{Planner, RunEnd};
use crate::work::{EndReport, Phase, WorkId};
use crate::Progress;
use dogwoodlb_types::Instant;

/// The number of reports of an end by one replica after which the last event is generated again.
const MAX_END_REPORTS: u32 = 2;

impl Planner {
    /// Records an event of a run. Returns `false` if the item has no run, or if the event is out of
    /// sequence or violates the version constraints of the batch; the run must then be cancelled.
    ///
    /// An event that is in sequence and not from a version below the minimum is appended to the
    /// text before the other conditions are checked, and stays there if they fail. If the text
    /// violates the version constraints, [`Planner::on_run_end`] discards it.
    pub fn on_event(
        &mut self,
        id: WorkId,
        event: u64,
        data: &str,
        version: u64,
        now: Instant,
    ) -> bool {
        let has_gap = self.has_gap(now);
        let Some(work) = self.work_items.get_mut(&id) else {
            return false;
        };
        if version < work.min_version || !work.progress.push(event, data, version) {
            return false;
        }
        work.end_report = None;
        work.without_event_since = None;
        let is_valid = work
            .progress
            .satisfies(work.min_version, work.single_version);
        let Phase::Running(run) = &mut work.phase else {
            return false;
        };
        // After a gap between rounds, the time to the next event includes a suspension of the node.
        let is_measured = run.silent_since == run.last_event_at && !has_gap;
        if let Some(replica) = self.replicas.get_mut(run.replica.as_str()) {
            replica.is_silent = false;
            // The time to the first event includes queueing on the replica and prompt processing.
            if run.events > 0 {
                if is_measured {
                    replica.on_event(now.saturating_since(run.last_event_at), now);
                }
            } else {
                replica.on_prefilled(run);
                // An event of other weights says nothing about what the present ones hold.
                if replica.version(&work.model) == Some(version) {
                    let capacity = replica.state.kv_capacity_tokens;
                    self.prefilled.record(&run.replica, &work.prompt, capacity);
                }
            }
        }
        run.events += 1;
        run.last_event_at = now;
        run.silent_since = now;
        is_valid
    }

    /// Records the end of a run. Returns whether the item has no attempts left.
    ///
    /// A run that ends as [`RunEnd::Completed`] without an event counts as interrupted until
    /// another replica confirms the end; [`Planner::is_generated`] tells whether the text is
    /// complete.
    pub fn on_run_end(&mut self, id: WorkId, end: RunEnd, now: Instant) -> bool {
        let end = match end {
            RunEnd::Completed if !self.confirm_end(id) => RunEnd::Interrupted,
            end => end,
        };
        let Some(work) = self.work_items.get_mut(&id) else {
            return false;
        };
        let Phase::Running(run) = work.phase.clone() else {
            return false;
        };
        if let Some(replica) = self.replicas.get_mut(run.replica.as_str()) {
            replica.release(&run);
            match end {
                RunEnd::Interrupted | RunEnd::Failed => replica.on_failure(now),
                RunEnd::Refused => replica.on_refusal(now),
                RunEnd::Stopped | RunEnd::Completed => {}
            }
            if work.progress.is_too_long() {
                replica.on_endless_text(now);
            }
        }
        work.phase = match end {
            RunEnd::Completed => Phase::Generated,
            _ => Phase::Waiting,
        };
        // A text that violates the constraints is discarded and generated again.
        if !work
            .progress
            .satisfies(work.min_version, work.single_version)
        {
            work.progress = Progress::default();
            work.end_report = None;
            work.phase = Phase::Waiting;
        }
        work.failures += u32::from(end == RunEnd::Failed);
        let batch = work.batch.as_ref().and_then(|id| self.batches.get(id));
        batch.is_some_and(|batch| work.failures >= batch.max_attempts)
    }

    /// Returns whether the end of a run proves that the text is complete.
    ///
    /// A run without an event proves nothing by itself, because the response of a faulty replica
    /// can be empty. It is also the response of a sound replica if the previous run was interrupted
    /// after its last event. So the text is complete if a second replica responds in the same way,
    /// or the same one if no other can continue the text.
    ///
    /// A replica that could confirm the end may fail every run. Its confirmation is not waited for
    /// until it is removed or the item is abandoned: after [`MAX_END_REPORTS`] the last event is
    /// removed from the text, and a run that generates it again proves the end by itself.
    fn confirm_end(&mut self, id: WorkId) -> bool {
        let Some(work) = self.work_items.get_mut(&id) else {
            return false;
        };
        let Phase::Running(run) = &work.phase else {
            return false;
        };
        if run.events > 0 {
            return true;
        }
        if work.progress.last_event == 0 {
            return false;
        }
        let replica = run.replica.clone();
        let last_event = work.progress.last_event;
        let mut others = self.replicas.iter().filter(|(name, _)| ***name != *replica);
        let has_other = others.any(|(_, other)| has_suitable_version(work, other));
        let earlier = work.end_report.take();
        // A report from before the removal of the last event says nothing about the present text.
        let same_text = earlier
            .as_ref()
            .filter(|earlier| earlier.last_event == last_event);
        if same_text.is_some_and(|earlier| earlier.replica != replica || !has_other) {
            return true;
        }
        let own = earlier.filter(|earlier| earlier.replica == replica);
        let count = own.map_or(0, |earlier| earlier.count) + 1;
        if count == MAX_END_REPORTS {
            work.progress.pop();
        }
        work.end_report = Some(EndReport {
            replica,
            last_event,
            count,
        });
        false
    }
}
