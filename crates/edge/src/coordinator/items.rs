//! The runs, scores and outcomes of items.

use super::{Coordinator, Running};
use crate::clock;
use crate::run::{self, End, Guard, Target};
use crate::score::Scored;
use dogwoodlb_batch::{Outcome, RunEnd, State, Submission, WorkId};
use std::rc::Rc;

impl Coordinator {
    /// Gives up the items whose time is over.
    pub(super) fn give_up(self: &Rc<Self>) {
        let now = clock::now();
        let late: Vec<String> = {
            let batches = self.batches.borrow();
            let late = batches.iter().filter(|(_, running)| running.until <= now);
            late.map(|(id, _)| id.clone()).collect()
        };
        for id in late {
            let works = self.planner.borrow().unfinished(&id);
            for work in works {
                self.stop(work, "late");
                self.abandon(work, "late");
            }
        }
    }

    fn running(&self, work: WorkId) -> Option<(Rc<Running>, u32)> {
        let planner = self.planner.borrow();
        let (batch, index) = planner.item_location(work)?;
        let running = self.batches.borrow().get(batch).cloned()?;
        Some((running, index))
    }

    pub(super) fn start(self: &Rc<Self>, work: WorkId, replica: String) {
        let address = {
            let directory = self.tools.known.directory();
            directory.get(&replica).map(|entry| entry.address)
        };
        let (Some((running, index)), Some(address)) = (self.running(work), address) else {
            self.planner
                .borrow_mut()
                .on_run_end(work, RunEnd::Refused, clock::now());
            return;
        };
        let own = self.clone();
        let task = tokio::task::spawn_local(async move {
            let target = Target {
                replica,
                address,
                host: running.submission.host.clone(),
            };
            let item = &running.submission.items[index as usize];
            let tools = &own.tools;
            let end = run::run(
                &tools.client,
                &*tools.protocol,
                &own.planner,
                work,
                item,
                &target,
            );
            let end = end.await;
            own.on_end(work, end, &target.replica, &running.submission);
        });
        let guard = Guard(task.abort_handle());
        self.guards.borrow_mut().insert(work, guard);
    }

    pub(super) fn stop(&self, work: WorkId, reason: &str) {
        self.tools.metrics.runs.with_label_values(&[reason]).inc();
        tracing::debug!(work = work.0, reason, "run_stopped");
        self.guards.borrow_mut().remove(&work);
        self.planner
            .borrow_mut()
            .on_run_end(work, RunEnd::Moved, clock::now());
    }

    fn on_end(self: &Rc<Self>, work: WorkId, end: End, replica: &str, submission: &Submission) {
        self.guards.borrow_mut().remove(&work);
        let now = clock::now();
        let stop = match end {
            End::Stop(stop) => stop,
            End::Impossible => RunEnd::Failed,
            End::Version(version) => {
                self.loads.observe(replica, &submission.model, version);
                if version < submission.min_version {
                    RunEnd::Refused
                } else {
                    RunEnd::Broken
                }
            }
        };
        let label = format!("{stop:?}").to_lowercase();
        self.tools.metrics.runs.with_label_values(&[&label]).inc();
        let has_failed = self.planner.borrow_mut().on_run_end(work, stop, now);
        if has_failed || end == End::Impossible {
            self.abandon(work, "failed");
        } else if stop == RunEnd::Whole {
            self.score(work);
        }
        self.kick.notify_one();
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
        running.lister.push(Outcome {
            index,
            item,
            state: State::Abandoned,
            ..Outcome::default()
        });
    }

    /// Has a whole text scored and listed.
    pub(super) fn score(self: &Rc<Self>, work: WorkId) {
        let Some((running, index)) = self.running(work) else {
            return;
        };
        let Some(progress) = self.planner.borrow().progress(work).cloned() else {
            return;
        };
        let own = self.clone();
        tokio::task::spawn_local(async move {
            let item = &running.submission.items[index as usize];
            let score = match &item.scorer {
                Some(scorer) => match own.tools.scores.score(scorer, running.until).await {
                    Scored::Signed(score) => Some(score),
                    Scored::Failed => return own.abandon(work, "score_failed"),
                    Scored::Late => return own.abandon(work, "score_late"),
                },
                None => None,
            };
            // The batch may have ended meanwhile, and the work be part of the next one.
            let place = own.running(work);
            if place.is_none_or(|(now, _)| !Rc::ptr_eq(&now, &running)) {
                return;
            }
            own.planner.borrow_mut().mark_done(work);
            running.lister.push(Outcome {
                index,
                item: item.id.clone(),
                state: State::Complete,
                text: progress.text,
                versions: progress.versions,
                score,
            });
        });
    }
}
