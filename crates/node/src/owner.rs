//! The owner of a trainer: the thread that runs its ledger and planner.

use crate::lease_manager::LeaseManager;
use crate::lock;
use crate::owned_trainer::OwnedTrainer;
use crate::sampling::{AttemptEvent, AttemptReport, CancelFlags};
use crate::shared::Shared;
use crate::store::{Progress, TransactionDriver};
use crate::trainer_calls::Call;
use dogwoodlb_lease::Guard;
use dogwoodlb_ledger::{Content, Ledger, Start};
use dogwoodlb_manifest::section::Trainer;
use dogwoodlb_manifest::Manifest;
use dogwoodlb_rollout::{Action, Planner};
use dogwoodlb_types::{id, Code, Instant, Refusal};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::HashMap;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::time::Duration;

/// Maximum wait for a call before due work is run.
const TICK: Duration = Duration::from_millis(10);

/// Samples generated concurrently for one trainer on one node.
pub(crate) const MAX_IN_FLIGHT: usize = 64;

/// Delay before a failed load of the ledger is retried.
const RELOAD_DELAY: Duration = Duration::from_millis(250);

/// A message to an owner thread.
enum Message {
    Call(Call),
    Report(AttemptReport),
}

pub(crate) struct Owner {
    shared: Arc<Shared>,
    name: id::Trainer,
    lease: Arc<LeaseManager>,
    rng: SmallRng,
    reports: (SyncSender<AttemptReport>, Receiver<AttemptReport>),
    owned: Option<OwnedTrainer>,
    retry_at: Instant,
}

impl Owner {
    pub(crate) fn new(shared: Arc<Shared>, name: id::Trainer, lease: Arc<LeaseManager>) -> Self {
        let seed = rand::Rng::next_u64(&mut *lock(&shared.rng));
        Self {
            shared,
            name,
            lease,
            rng: SmallRng::seed_from_u64(seed),
            // An attempt sends at most two reports.
            reports: sync_channel(2 * MAX_IN_FLIGHT),
            owned: None,
            retry_at: Instant::default(),
        }
    }

    pub(crate) fn run(mut self, inbox: &Receiver<Call>) {
        while !self.shared.is_stopped() {
            let message = match self.reports.1.try_recv() {
                Ok(report) => Some(Message::Report(report)),
                Err(_) => match inbox.recv_timeout(TICK) {
                    Ok(call) => Some(Message::Call(call)),
                    Err(RecvTimeoutError::Timeout) => None,
                    // The trainer was removed from the manifest.
                    Err(RecvTimeoutError::Disconnected) => break,
                },
            };
            self.check_lease();
            match message {
                Some(Message::Call(call)) => self.on_call(call),
                Some(Message::Report(report)) => self.on_report(report),
                None => {}
            }
            self.run_due_work();
        }
        self.relinquish();
    }

    /// Loads the ledger when the lease is acquired, and relinquishes it when the lease is lost.
    fn check_lease(&mut self) {
        let now = self.shared.now();
        let held = self.lease.guard(now);
        let same_fence =
            |owned: &OwnedTrainer| held.is_some_and(|held| held.fence == owned.guard.fence);
        match &mut self.owned {
            Some(owned) if same_fence(owned) && !owned.ledger.has_lost_ownership() => {
                owned.guard = held.unwrap_or(owned.guard);
            }
            Some(_) => self.relinquish(),
            None => {}
        }
        if let (None, Some(guard), true) = (&self.owned, held, now >= self.retry_at) {
            self.load(guard);
        }
    }

    fn holds_lease(&self) -> bool {
        let held = self.lease.guard(self.shared.now());
        let own_fence = self.owned.as_ref().map(|owned| owned.guard.fence);
        held.map(|guard| guard.fence) == own_fence
    }

    /// Drops the trainer's state, cancels its attempts and refuses its waiting calls.
    fn relinquish(&mut self) {
        self.lease.set_busy(false);
        let Some(owned) = self.owned.take() else {
            return;
        };
        owned.cancel_flags.cancel_all();
        let refusal = || {
            let message = "trainer ownership was lost while the call was in progress";
            Refusal::may_have_run(Code::WrongNode, message).retry_after(Duration::from_secs(1))
        };
        for reply in owned
            .fetches
            .into_iter()
            .map(|fetch| fetch.reply)
            .chain(owned.pending_reply)
        {
            let _ = reply.try_send(Err(refusal()));
        }
    }

    fn load(&mut self, guard: Guard) {
        self.retry_at = self.shared.now() + RELOAD_DELAY;
        let Ok(manifest) = self.shared.manifest() else {
            return;
        };
        let Some(settings) = manifest
            .trainers
            .iter()
            .find(|entry| entry.trainer == self.name)
        else {
            return;
        };
        let model = manifest
            .models
            .iter()
            .find(|entry| entry.model == settings.model);
        let initial_version = model.map_or(id::Version(0), |model| model.version);
        let trainer_count = manifest.trainers.len();
        let loaded = crate::store::load_ledger(
            &self.shared,
            &self.lease,
            guard,
            settings,
            initial_version,
            trainer_count,
        );
        match loaded {
            Ok((ledger, contents)) => {
                self.install_ledger(guard, settings.clone(), ledger, contents)
            }
            Err(refusal) => {
                tracing::warn!(trainer = %self.name, %refusal, "ledger_not_loaded");
            }
        }
    }

    fn install_ledger(
        &mut self,
        guard: Guard,
        settings: Trainer,
        ledger: Ledger,
        contents: HashMap<id::Step, Arc<Content>>,
    ) {
        let mut planner = Planner::new(
            dogwoodlb_rollout::Settings {
                trainer: self.name.clone(),
                staleness_bound: u64::from(settings.staleness_bound),
                idle_weight: settings.idle_weight,
            },
            ledger.version().0,
        );
        for step in ledger.steps().iter().filter(|step| !step.delivered) {
            if let Err(refusal) = planner.resume(step.step, &step.group_sizes, &step.missing) {
                self.shared.invariant_violated("planner", refusal);
            }
        }
        self.shared
            .recorder
            .record(self.shared.timestamp(), "ledger_loaded", |event| {
                let event = event
                    .trainer(self.name.clone())
                    .lease(self.lease.label().clone());
                event
                    .with("fence", guard.fence)
                    .with("steps", ledger.steps().len())
            });
        self.owned = Some(OwnedTrainer {
            guard,
            settings,
            ledger,
            planner,
            driver: TransactionDriver::default(),
            contents,
            cancel_flags: CancelFlags::default(),
            pending_reply: None,
            fetches: Vec::new(),
        });
    }

    fn on_call(&mut self, call: Call) {
        let Some(owned) = &mut self.owned else {
            let _ = call
                .reply
                .try_send(Err(self.shared.wrong_node(&self.lease)));
            return;
        };
        let start = owned.start_call(&self.shared, call.command, &call.reply);
        match start {
            None => {}
            Some(Ok(Start::Done(completion))) => {
                let reply = owned.apply(&self.shared, completion);
                let _ = call.reply.try_send(Ok(reply));
            }
            Some(Ok(Start::Commit(commit))) => {
                owned.pending_reply = Some(call.reply);
                owned.driver.start(commit);
            }
            Some(Ok(Start::Busy)) => {
                let message = "the outcome of the trainer's previous write is not known yet";
                let refusal = Refusal::not_run(Code::StoreUnavailable, message);
                let refusal = refusal.retry_after(Duration::from_millis(500));
                let _ = call.reply.try_send(Err(refusal));
            }
            Some(Err(refusal)) => {
                let _ = call.reply.try_send(Err(refusal));
            }
        }
        self.advance_transaction();
    }

    fn on_report(&mut self, report: AttemptReport) {
        let now = self.shared.now();
        let is_current = |owned: &&mut OwnedTrainer| owned.guard.fence == report.fence;
        let Some(owned) = self.owned.as_mut().filter(is_current) else {
            return;
        };
        let (sample, attempt) = (report.sample, report.attempt);
        let result = match report.event {
            AttemptEvent::Started => return owned.planner.on_first_token(&sample, attempt),
            AttemptEvent::Ended(result) => result,
        };
        owned.cancel_flags.remove(&sample, attempt);
        if result.is_ok_and(|finished| owned.accept(&self.shared, finished)) {
            owned.planner.on_finished(now, &sample, attempt);
        } else {
            owned
                .planner
                .on_failed(now, &sample, attempt, &mut self.rng);
        }
    }

    /// Runs due work: transactions, fetch replies, flushes and new attempts.
    fn run_due_work(&mut self) {
        self.advance_transaction();
        let now = self.shared.now();
        let Ok(manifest) = self.shared.manifest() else {
            return;
        };
        let Some(owned) = &mut self.owned else {
            return;
        };
        owned.apply_manifest(&manifest, &self.name);
        owned.answer_fetches(&self.shared, now);
        if !owned.ledger.is_busy() {
            if let Some(commit) = owned.ledger.flush(now, self.shared.new_operation()) {
                owned.driver.start(commit);
            } else if let Some(Start::Commit(commit)) = owned
                .ledger
                .delete_acknowledged(self.shared.new_operation())
            {
                owned.driver.start(commit);
            }
        }
        self.start_attempts(&manifest, now);
        self.advance_transaction();
        self.lease
            .set_busy(self.owned.as_ref().is_some_and(OwnedTrainer::is_busy));
    }

    fn start_attempts(&mut self, manifest: &Arc<Manifest>, now: Instant) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        let limit = if owned.driver.is_retrying() {
            0
        } else {
            MAX_IN_FLIGHT
        };
        for action in owned.planner.poll(now, limit) {
            match action {
                Action::Cancel { sample, attempt } => owned.cancel_flags.cancel(&sample, attempt),
                Action::Generate {
                    sample,
                    attempt,
                    priority,
                } => {
                    let job = crate::sampling::Job {
                        manifest: manifest.clone(),
                        trainer: owned.settings.clone(),
                        content: owned.contents.get(&sample.step).cloned(),
                        cancelled: owned.cancel_flags.add(&sample, attempt),
                        fence: owned.guard.fence,
                        sample: sample.clone(),
                        attempt,
                        priority,
                    };
                    if !crate::sampling::start(&self.shared, job, self.reports.0.clone()) {
                        owned.cancel_flags.remove(&sample, attempt);
                        owned
                            .planner
                            .on_failed(now, &sample, attempt, &mut self.rng);
                    }
                }
            }
        }
    }

    /// Advances the transaction in progress, if any.
    fn advance_transaction(&mut self) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        let progress = owned.driver.advance(&self.shared, &mut owned.ledger);
        if matches!(progress, Progress::Done(_)) && !self.holds_lease() {
            // A read-back that completed after the lease expired may be stale.
            return self.relinquish();
        }
        let Some(owned) = &mut self.owned else {
            return;
        };
        match progress {
            Progress::Pending => {}
            Progress::Done(completion) => {
                let pending_reply = owned.pending_reply.take();
                let reply = owned.apply(&self.shared, completion);
                if let Some(pending_reply) = pending_reply {
                    let _ = pending_reply.try_send(Ok(reply));
                }
            }
            Progress::Stalled => {
                // The caller may retry: the ledger deduplicates operations that took effect.
                if let Some(pending_reply) = owned.pending_reply.take() {
                    let message = "store did not answer in time; the outcome is unknown";
                    let refusal = Refusal::may_have_run(Code::StoreUnavailable, message);
                    let _ =
                        pending_reply.try_send(Err(refusal.retry_after(Duration::from_secs(1))));
                }
            }
            Progress::Lost(refusal) => {
                if let Some(pending_reply) = owned.pending_reply.take() {
                    let _ = pending_reply.try_send(Err(refusal));
                }
                self.relinquish();
            }
        }
    }
}
