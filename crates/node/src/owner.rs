//! The owner of a trainer: the thread that drives its ledger and its planner.

use crate::calls::Call;
use crate::keeper::Keeper;
use crate::lock;
use crate::ownership::Ownership;
use crate::sampling::{Flags, News, Report};
use crate::shared::Shared;
use crate::store::{Driver, Progress};
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

const TICK: Duration = Duration::from_millis(10);

/// Samples that one trainer generates at a time on one node.
pub(crate) const IN_FLIGHT: usize = 64;

/// How long an interrupted load of the ledger waits before the next attempt.
const RELOAD: Duration = Duration::from_millis(250);

/// What arrives at an owner.
enum Message {
    Call(Call),
    Report(Report),
}

pub(crate) struct Owner {
    shared: Arc<Shared>,
    name: id::Trainer,
    keeper: Arc<Keeper>,
    rng: SmallRng,
    reports: (SyncSender<Report>, Receiver<Report>),
    ownership: Option<Ownership>,
    retry_at: Instant,
}

impl Owner {
    pub(crate) fn new(shared: Arc<Shared>, name: id::Trainer, keeper: Arc<Keeper>) -> Self {
        let seed = rand::Rng::next_u64(&mut *lock(&shared.rng));
        Self {
            shared,
            name,
            keeper,
            rng: SmallRng::seed_from_u64(seed),
            reports: sync_channel(2 * IN_FLIGHT),
            ownership: None,
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
                    // The manifest no longer lists the trainer.
                    Err(RecvTimeoutError::Disconnected) => break,
                },
            };
            self.check_lease();
            match message {
                Some(Message::Call(call)) => self.on_call(call),
                Some(Message::Report(report)) => self.on_report(report),
                None => {}
            }
            self.advance();
        }
        self.give_up();
    }

    /// Takes the ledger up or gives it up, as the lease demands.
    fn check_lease(&mut self) {
        let now = self.shared.now();
        let held = self.keeper.held(now);
        let same =
            |ownership: &Ownership| held.is_some_and(|held| held.fence == ownership.guard.fence);
        match &mut self.ownership {
            Some(ownership) if same(ownership) && !ownership.ledger.has_lost_ownership() => {
                ownership.guard = held.unwrap_or(ownership.guard);
            }
            Some(_) => self.give_up(),
            None => {}
        }
        if let (None, Some(guard), true) = (&self.ownership, held, now >= self.retry_at) {
            self.load(guard);
        }
    }

    fn is_held(&self) -> bool {
        let held = self.keeper.held(self.shared.now());
        let own = self
            .ownership
            .as_ref()
            .map(|ownership| ownership.guard.fence);
        held.map(|guard| guard.fence) == own
    }

    fn give_up(&mut self) {
        self.keeper.set_busy(false);
        let Some(ownership) = self.ownership.take() else {
            return;
        };
        ownership.flags.cancel_all();
        let refusal = || {
            let message = "this node no longer owns the trainer";
            Refusal::may_have_run(Code::WrongNode, message).retry_after(Duration::from_secs(1))
        };
        for reply in ownership
            .fetches
            .into_iter()
            .map(|fetch| fetch.reply)
            .chain(ownership.current)
        {
            let _ = reply.try_send(Err(refusal()));
        }
    }

    fn load(&mut self, guard: Guard) {
        self.retry_at = self.shared.now() + RELOAD;
        let Ok(manifest) = self.shared.manifest() else {
            return;
        };
        let Some(settings) = manifest
            .trainers
            .iter()
            .find(|one| one.trainer == self.name)
        else {
            return;
        };
        let model = manifest
            .models
            .iter()
            .find(|one| one.model == settings.model);
        let first = model.map_or(id::Version(0), |model| model.version);
        let trainers = manifest.trainers.len();
        let loaded =
            crate::store::load(&self.shared, &self.keeper, guard, settings, first, trainers);
        match loaded {
            Ok((ledger, contents)) => self.take_up(guard, settings.clone(), ledger, contents),
            Err(refusal) => {
                tracing::warn!(trainer = %self.name, %refusal, "ledger_not_loaded");
            }
        }
    }

    fn take_up(
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
            if let Err(refusal) = planner.resume(step.step, &step.sizes, &step.missing) {
                self.shared.violated("planner", refusal);
            }
        }
        self.shared
            .recorder
            .record(self.shared.timestamp(), "ledger_loaded", |event| {
                let event = event
                    .trainer(self.name.clone())
                    .lease(self.keeper.text().clone());
                event
                    .with("fence", guard.fence)
                    .with("steps", ledger.steps().len())
            });
        self.ownership = Some(Ownership {
            guard,
            settings,
            ledger,
            planner,
            driver: Driver::default(),
            contents,
            flags: Flags::default(),
            current: None,
            fetches: Vec::new(),
        });
    }

    fn on_call(&mut self, call: Call) {
        let Some(ownership) = &mut self.ownership else {
            let _ = call
                .reply
                .try_send(Err(self.shared.wrong_node(&self.keeper)));
            return;
        };
        let start = ownership.start(&self.shared, call.command, &call.reply);
        match start {
            None => {}
            Some(Ok(Start::Done(completion))) => {
                let reply = ownership.apply(&self.shared, completion);
                let _ = call.reply.try_send(Ok(reply));
            }
            Some(Ok(Start::Commit(commit))) => {
                ownership.current = Some(call.reply);
                ownership.driver.start(commit);
            }
            Some(Ok(Start::Busy)) => {
                let message = "a write of this trainer has no known outcome yet";
                let refusal = Refusal::not_run(Code::StoreUnavailable, message);
                let refusal = refusal.retry_after(Duration::from_millis(500));
                let _ = call.reply.try_send(Err(refusal));
            }
            Some(Err(refusal)) => {
                let _ = call.reply.try_send(Err(refusal));
            }
        }
        self.drive();
    }

    fn on_report(&mut self, report: Report) {
        let now = self.shared.now();
        let current = |ownership: &&mut Ownership| ownership.guard.fence == report.fence;
        let Some(ownership) = self.ownership.as_mut().filter(current) else {
            return;
        };
        let (sample, attempt) = (report.sample, report.attempt);
        let result = match report.news {
            News::Started => return ownership.planner.on_started(&sample, attempt),
            News::Ended(result) => result,
        };
        ownership.flags.remove(&sample, attempt);
        if result.is_ok_and(|finished| ownership.accept(&self.shared, finished)) {
            ownership.planner.on_finished(now, &sample, attempt);
        } else {
            ownership
                .planner
                .on_failed(now, &sample, attempt, &mut self.rng);
        }
    }

    /// Does what is due: transactions, flushes, new attempts and answers.
    fn advance(&mut self) {
        self.drive();
        let now = self.shared.now();
        let Ok(manifest) = self.shared.manifest() else {
            return;
        };
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        ownership.follow(&manifest, &self.name);
        ownership.answer_fetches(&self.shared, now);
        if !ownership.ledger.is_busy() {
            if let Some(commit) = ownership.ledger.flush(now, self.shared.operation()) {
                ownership.driver.start(commit);
            } else if let Some(Start::Commit(commit)) = ownership
                .ledger
                .delete_acknowledged(self.shared.operation())
            {
                ownership.driver.start(commit);
            }
        }
        self.generate(&manifest, now);
        self.drive();
        self.keeper
            .set_busy(self.ownership.as_ref().is_some_and(Ownership::is_busy));
    }

    fn generate(&mut self, manifest: &Arc<Manifest>, now: Instant) {
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        let limit = if ownership.driver.is_stalled() {
            0
        } else {
            IN_FLIGHT
        };
        for action in ownership.planner.poll(now, limit) {
            match action {
                Action::Cancel { sample, attempt } => ownership.flags.cancel(&sample, attempt),
                Action::Generate {
                    sample,
                    attempt,
                    priority,
                } => {
                    let job = crate::sampling::Job {
                        manifest: manifest.clone(),
                        trainer: ownership.settings.clone(),
                        content: ownership.contents.get(&sample.step).cloned(),
                        cancelled: ownership.flags.add(&sample, attempt),
                        fence: ownership.guard.fence,
                        sample: sample.clone(),
                        attempt,
                        priority,
                    };
                    if !crate::sampling::start(&self.shared, job, self.reports.0.clone()) {
                        ownership.flags.remove(&sample, attempt);
                        ownership
                            .planner
                            .on_failed(now, &sample, attempt, &mut self.rng);
                    }
                }
            }
        }
    }

    /// Carries the transaction under way on, if there is one.
    fn drive(&mut self) {
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        let progress = ownership.driver.step(&self.shared, &mut ownership.ledger);
        if matches!(progress, Progress::Done(_)) && !self.is_held() {
            // A read-back that came after the end of the lease may show an older state.
            return self.give_up();
        }
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        match progress {
            Progress::Idle => {}
            Progress::Done(completion) => {
                let current = ownership.current.take();
                let reply = ownership.apply(&self.shared, completion);
                if let Some(current) = current {
                    let _ = current.try_send(Ok(reply));
                }
            }
            Progress::Stalled => {
                // The caller may repeat the call: the ledger recognises what took effect.
                if let Some(current) = ownership.current.take() {
                    let message = "the store doesn't answer; the outcome isn't known";
                    let refusal = Refusal::may_have_run(Code::StoreUnavailable, message);
                    let _ = current.try_send(Err(refusal.retry_after(Duration::from_secs(1))));
                }
            }
            Progress::Lost(refusal) => {
                if let Some(current) = ownership.current.take() {
                    let _ = current.try_send(Err(refusal));
                }
                self.give_up();
            }
        }
    }
}
