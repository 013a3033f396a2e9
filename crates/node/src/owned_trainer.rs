//! The state of a trainer on the node that holds its lease.

use crate::sampling::CancelFlags;
use crate::shared::Shared;
use crate::store::TransactionDriver;
use crate::trainer_calls::{Command, Reply};
use dogwoodlb_lease::Guard;
use dogwoodlb_ledger::{AcceptOutcome, Completion, Content, FinishedAttempt, Ledger, Start};
use dogwoodlb_manifest::section::Trainer;
use dogwoodlb_manifest::Manifest;
use dogwoodlb_rollout::Planner;
use dogwoodlb_types::{id, Code, Instant, Refusal};
use std::collections::HashMap;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;

/// The ledger and planner of one trainer, and the calls that wait for a result.
pub(crate) struct OwnedTrainer {
    pub(crate) guard: Guard,
    pub(crate) settings: Trainer,
    pub(crate) ledger: Ledger,
    pub(crate) planner: Planner,
    pub(crate) driver: TransactionDriver,
    /// The prompts of the open steps; after a takeover, only those of undelivered ones.
    pub(crate) contents: HashMap<id::Step, Arc<Content>>,
    pub(crate) cancel_flags: CancelFlags,
    /// The reply channel of the call whose transaction is in progress.
    pub(crate) pending_reply: Option<SyncSender<Result<Reply, Refusal>>>,
    pub(crate) fetches: Vec<Fetch>,
}

pub(crate) struct Fetch {
    pub(crate) session: id::Session,
    pub(crate) step: id::Step,
    pub(crate) deadline: Instant,
    pub(crate) reply: SyncSender<Result<Reply, Refusal>>,
}

impl OwnedTrainer {
    /// Starts a call. Returns `None` for a fetch, which is queued and answered later.
    pub(crate) fn start_call(
        &mut self,
        shared: &Shared,
        command: Command,
        reply: &SyncSender<Result<Reply, Refusal>>,
    ) -> Option<Result<Start, Refusal>> {
        let operation = shared.new_operation();
        Some(match command {
            Command::Session => self.ledger.open_session(operation),
            Command::Submit {
                session,
                step,
                content,
            } => {
                if let Err(refusal) = self.check_size(&content) {
                    return Some(Err(refusal));
                }
                let start = self.ledger.submit(session, step, &content, operation);
                // A refused or repeated submission must not replace the prompts that the ledger
                // already has.
                if matches!(start, Ok(Start::Commit(_))) {
                    self.contents.insert(step, Arc::new(content));
                }
                start
            }
            Command::Fetch {
                session,
                step,
                deadline,
            } => {
                self.planner.set_requested_step(Some(step));
                let reply = reply.clone();
                self.fetches.push(Fetch {
                    session,
                    step,
                    deadline,
                    reply,
                });
                return None;
            }
            Command::Acknowledge {
                session,
                step,
                delivery,
            } => self.ledger.acknowledge(session, step, delivery, operation),
            Command::Publish {
                session,
                version,
                object,
            } => self.ledger.publish(session, version, &object, operation),
        })
    }

    /// Checks the group size and sample count of a step against the manifest.
    fn check_size(&self, content: &Content) -> Result<(), Refusal> {
        let size = self.settings.group_size;
        if let Some(group) = content.groups.iter().find(|group| group.size != size) {
            let found = group.size;
            let message =
                format!("group has {found} samples, but `group_size` in the manifest is {size}");
            return Err(Refusal::not_run(Code::BadRequest, message));
        }
        let samples: u64 = content
            .groups
            .iter()
            .map(|group| u64::from(group.size))
            .sum();
        let limit = self.settings.step_samples;
        if samples > u64::from(limit) {
            let message = format!(
                "step has {samples} samples, more than `step_samples` in the manifest ({limit})"
            );
            return Err(Refusal::not_run(Code::BadRequest, message));
        }
        Ok(())
    }

    /// Applies changed trainer settings of the manifest to the ledger and the planner.
    pub(crate) fn apply_manifest(&mut self, manifest: &Manifest, name: &id::Trainer) {
        let found = manifest
            .trainers
            .iter()
            .find(|entry| entry.trainer == *name);
        if let Some(settings) = found.filter(|found| **found != self.settings) {
            let bound = u64::from(settings.staleness_bound);
            self.ledger.set_staleness_bound(bound);
            self.planner.update_settings(bound, settings.idle_weight);
            self.settings = settings.clone();
        }
    }

    /// Passes a generated sample to the ledger.
    ///
    /// Returns `false` if the sample has to be generated again.
    pub(crate) fn accept(&mut self, shared: &Shared, finished: FinishedAttempt) -> bool {
        let sample = finished.sample.clone();
        match self.ledger.accept(finished) {
            Ok(AcceptOutcome::Buffered | AcceptOutcome::Duplicate) => {
                shared.metrics.count("sample.accepted");
                true
            }
            Ok(AcceptOutcome::Stale) => {
                shared.metrics.count("sample.stale");
                false
            }
            Ok(AcceptOutcome::InvalidSpans) => {
                shared.metrics.count("sample.discarded");
                shared
                    .recorder
                    .record(shared.timestamp(), "sample_discarded", |event| {
                        event
                            .sample(sample)
                            .with("reason", "spans don't cover the tokens")
                    });
                false
            }
            Err(refusal) => {
                tracing::debug!(%refusal, "sample_refused");
                false
            }
        }
    }

    /// Applies a completed ledger operation to the planner and returns the reply.
    pub(crate) fn apply(&mut self, shared: &Shared, completion: Completion) -> Reply {
        let now = shared.now();
        match completion {
            Completion::Session(session) => {
                let (version, _) = self.ledger.version();
                // Continue with the step that was delivered but not acknowledged, if any.
                let delivered = self
                    .ledger
                    .steps()
                    .iter()
                    .find(|step| step.delivered)
                    .map(|step| step.step);
                let after_acknowledged = self
                    .ledger
                    .acknowledged()
                    .map_or(id::Step(1), id::Step::next);
                Reply::Session {
                    session,
                    version,
                    next: delivered.unwrap_or(after_acknowledged),
                }
            }
            Completion::Submitted(step) => {
                if let Some(view) = self.ledger.steps().iter().find(|view| view.step == step) {
                    if let Err(refusal) =
                        self.planner.resume(step, &view.group_sizes, &view.missing)
                    {
                        shared.invariant_violated("planner", refusal);
                    }
                }
                Reply::Done
            }
            Completion::Delivered(delivery) => {
                shared.metrics.count("step.delivered");
                Reply::Delivered(delivery)
            }
            Completion::Waiting { progress, stale } => {
                self.regenerate_stale(shared, now, &stale);
                Reply::Waiting(progress)
            }
            Completion::Acknowledged(step) => {
                self.planner.on_acknowledged(step);
                self.contents.retain(|stored, _| *stored > step);
                Reply::Done
            }
            Completion::Published { version, stale } => {
                self.planner.on_version(now, version);
                self.regenerate_stale(shared, now, &stale);
                Reply::Done
            }
            Completion::Flushed(_) | Completion::RowsDeleted(_) => Reply::Done,
        }
    }

    fn regenerate_stale(&mut self, shared: &Shared, now: Instant, stale: &[id::Sample]) {
        for sample in stale {
            shared.metrics.count("sample.stale");
            self.planner.on_stale(now, sample);
        }
    }

    pub(crate) fn answer_fetches(&mut self, shared: &Shared, now: Instant) {
        for mut fetch in std::mem::take(&mut self.fetches) {
            if shared.is_releasing() {
                // Answer now: the trainer repeats the fetch at the next owner.
                fetch.deadline = now;
            }
            if self.ledger.is_busy() {
                self.requeue_or_answer(fetch, now);
                continue;
            }
            let operation = shared.new_operation();
            match self.ledger.deliver(fetch.session, fetch.step, operation) {
                Err(refusal) => drop(fetch.reply.try_send(Err(refusal))),
                Ok(Start::Done(completion)) => match self.apply(shared, completion) {
                    Reply::Waiting(_) => self.requeue_or_answer(fetch, now),
                    reply => drop(fetch.reply.try_send(Ok(reply))),
                },
                Ok(Start::Commit(commit)) => {
                    self.pending_reply = Some(fetch.reply);
                    self.driver.start(commit);
                }
                Ok(Start::Busy) => self.requeue_or_answer(fetch, now),
            }
        }
        if self.fetches.is_empty() {
            self.planner.set_requested_step(None);
        }
    }

    /// Returns whether a call or a transaction of the trainer is in progress.
    pub(crate) fn is_busy(&self) -> bool {
        self.pending_reply.is_some() || !self.fetches.is_empty() || self.ledger.is_busy()
    }

    fn requeue_or_answer(&mut self, fetch: Fetch, now: Instant) {
        if now < fetch.deadline {
            self.fetches.push(fetch);
            return;
        }
        let reply = match self.ledger.progress(fetch.step) {
            Some(progress) => Ok(Reply::Waiting(progress)),
            None => {
                let message = format!("step {} has not been submitted", fetch.step);
                Err(Refusal::not_run(Code::NotFound, message))
            }
        };
        let _ = fetch.reply.try_send(reply);
    }
}
