//! The owner of a trainer: the thread that drives its ledger and its planner.

use crate::keeper::Keeper;
use crate::lock;
use crate::sampling::{Ended, Flags};
use crate::shared::{Desk, Shared};
use crate::store::{Driver, Progress};
use dogwoodlb_lease::{Guard, Name};
use dogwoodlb_ledger::{Accepted, Completion, Content, Delivery, Finished, Ledger, Start};
use dogwoodlb_manifest::section::Trainer;
use dogwoodlb_manifest::Manifest;
use dogwoodlb_rollout::{Action, Planner};
use dogwoodlb_types::{id, Code, Instant, Refusal};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::HashMap;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);

/// Calls of a trainer that wait for its owner; further ones are refused.
const CALLS: usize = 64;

/// Samples that one trainer generates at a time on one node.
pub(crate) const IN_FLIGHT: usize = 64;

/// How long an interrupted load of the ledger waits before the next attempt.
const RELOAD: Duration = Duration::from_millis(250);

/// What a trainer asks for.
#[derive(Debug)]
pub(crate) enum Ask {
    Session,
    Submit {
        session: id::Session,
        step: id::Step,
        content: Content,
    },
    Fetch {
        session: id::Session,
        step: id::Step,
        deadline: Instant,
    },
    Acknowledge {
        session: id::Session,
        step: id::Step,
        delivery: id::Delivery,
    },
    Publish {
        session: id::Session,
        version: id::Version,
        object: String,
    },
}

/// What a trainer gets.
#[derive(Debug)]
pub(crate) enum Reply {
    Session {
        session: id::Session,
        version: id::Version,
        next: id::Step,
    },
    Done,
    Waiting(dogwoodlb_ledger::Progress),
    Delivered(Delivery),
}

/// A call of a trainer and where its reply goes.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) ask: Ask,
    pub(crate) reply: SyncSender<Result<Reply, Refusal>>,
}

/// What arrives at an owner.
enum Message {
    Call(Call),
    Ended(Ended),
}

/// Starts owners for the trainers of a manifest that have none yet.
pub(crate) fn start(shared: &Arc<Shared>, manifest: &Manifest) {
    let mut trainers = lock(&shared.trainers);
    trainers.retain(|name, _| manifest.trainers.iter().any(|one| one.trainer == *name));
    for trainer in &manifest.trainers {
        if trainers.contains_key(&trainer.trainer) {
            continue;
        }
        let name = trainer.trainer.clone();
        let text = format!("trainer.{name}")
            .chars()
            .take(64)
            .collect::<String>();
        let Ok(text) = text.parse() else { continue };
        let wanted = {
            let (shared, name) = (Arc::downgrade(shared), name.clone());
            move || {
                shared
                    .upgrade()
                    .is_some_and(|shared| is_listed(&shared, &name))
            }
        };
        let keeper = Arc::new(Keeper::new(
            shared,
            Name::Trainer(name.clone()),
            text,
            wanted,
        ));
        let (calls, inbox) = sync_channel(CALLS);
        trainers.insert(
            name.clone(),
            Desk {
                calls,
                keeper: keeper.clone(),
            },
        );
        shared.keep(&keeper);
        let shared = shared.clone();
        let spawned = thread::Builder::new()
            .name("owner".to_owned())
            .spawn(move || {
                Owner::new(shared, name, keeper).run(&inbox);
            });
        if let Err(error) = spawned {
            tracing::error!(%error, "thread_failed");
        }
    }
}

fn is_listed(shared: &Shared, name: &id::Trainer) -> bool {
    let adoption = lock(&shared.adoption);
    let manifest = adoption.manifest();
    manifest.is_some_and(|manifest| manifest.trainers.iter().any(|one| one.trainer == *name))
}

struct Owner {
    shared: Arc<Shared>,
    name: id::Trainer,
    keeper: Arc<Keeper>,
    rng: SmallRng,
    ended: (SyncSender<Ended>, Receiver<Ended>),
    state: Option<State>,
    retry_at: Instant,
}

/// What the owner has while it holds the lease.
struct State {
    guard: Guard,
    settings: Trainer,
    ledger: Ledger,
    planner: Planner,
    driver: Driver,
    contents: HashMap<id::Step, Arc<Content>>,
    flags: Flags,
    /// The call whose transaction is under way.
    current: Option<SyncSender<Result<Reply, Refusal>>>,
    fetches: Vec<Fetch>,
}

struct Fetch {
    session: id::Session,
    step: id::Step,
    deadline: Instant,
    reply: SyncSender<Result<Reply, Refusal>>,
}

impl Owner {
    fn new(shared: Arc<Shared>, name: id::Trainer, keeper: Arc<Keeper>) -> Self {
        let seed = rand::Rng::next_u64(&mut *lock(&shared.rng));
        Self {
            shared,
            name,
            keeper,
            rng: SmallRng::seed_from_u64(seed),
            ended: sync_channel(2 * IN_FLIGHT),
            state: None,
            retry_at: Instant::default(),
        }
    }

    fn run(mut self, inbox: &Receiver<Call>) {
        while !self.shared.is_stopped() {
            let message = match self.ended.1.try_recv() {
                Ok(ended) => Some(Message::Ended(ended)),
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
                Some(Message::Ended(ended)) => self.on_ended(ended),
                None => {}
            }
            self.advance();
        }
        self.drop_state();
    }

    /// Takes the ledger up or gives it up, as the lease demands.
    fn check_lease(&mut self) {
        let now = self.shared.now();
        let held = self.keeper.held(now);
        let same = |state: &State| held.is_some_and(|held| held.fence == state.guard.fence);
        match &mut self.state {
            Some(state) if same(state) && !state.ledger.is_lost() => {
                state.guard = held.unwrap_or(state.guard);
            }
            Some(_) => self.drop_state(),
            None => {}
        }
        if let (None, Some(guard), true) = (&self.state, held, now >= self.retry_at) {
            self.load(guard);
        }
    }

    fn drop_state(&mut self) {
        let Some(state) = self.state.take() else {
            return;
        };
        state.flags.cancel_all();
        let refusal = || {
            let message = "this node no longer owns the trainer";
            Refusal::may_have_run(Code::WrongNode, message).retry_after(Duration::from_secs(1))
        };
        for reply in state
            .fetches
            .into_iter()
            .map(|fetch| fetch.reply)
            .chain(state.current)
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
        match crate::store::load(&self.shared, &self.keeper, guard, settings, first) {
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
        self.state = Some(State {
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
        let Some(state) = &mut self.state else {
            let _ = call
                .reply
                .try_send(Err(self.shared.wrong_node(&self.keeper)));
            return;
        };
        let start = state.start(&self.shared, call.ask, &call.reply);
        match start {
            None => {}
            Some(Ok(Start::Done(completion))) => {
                let reply = state.apply(&self.shared, completion);
                let _ = call.reply.try_send(Ok(reply));
            }
            Some(Ok(Start::Commit(commit))) => {
                state.current = Some(call.reply);
                state.driver.start(commit);
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

    fn on_ended(&mut self, ended: Ended) {
        let now = self.shared.now();
        let Some(state) = self
            .state
            .as_mut()
            .filter(|state| state.guard.fence == ended.fence)
        else {
            return;
        };
        state.flags.remove(&ended.sample, ended.attempt);
        let (sample, attempt) = (ended.sample, ended.attempt);
        let accepted = match ended.result {
            Ok(finished) => state.accept(&self.shared, finished),
            Err(_) => false,
        };
        if accepted {
            state.planner.on_finished(now, &sample, attempt);
        } else {
            state
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
        let Some(state) = &mut self.state else {
            return;
        };
        state.follow(&manifest, &self.name);
        state.answer_fetches(&self.shared, now);
        if !state.ledger.is_busy() {
            if let Some(commit) = state.ledger.flush(now, self.shared.operation()) {
                state.driver.start(commit);
            } else if let Some(Start::Commit(commit)) = state.ledger.sweep(self.shared.operation())
            {
                state.driver.start(commit);
            }
        }
        self.generate(&manifest, now);
        self.drive();
    }

    fn generate(&mut self, manifest: &Arc<Manifest>, now: Instant) {
        let Some(state) = &mut self.state else {
            return;
        };
        let limit = if state.driver.is_stalled() {
            0
        } else {
            IN_FLIGHT
        };
        for action in state.planner.poll(now, limit) {
            match action {
                Action::Cancel { sample, attempt } => state.flags.cancel(&sample, attempt),
                Action::Generate {
                    sample,
                    attempt,
                    priority,
                } => {
                    let job = crate::sampling::Job {
                        manifest: manifest.clone(),
                        trainer: state.settings.clone(),
                        content: state.contents.get(&sample.step).cloned(),
                        cancelled: state.flags.add(&sample, attempt),
                        fence: state.guard.fence,
                        sample: sample.clone(),
                        attempt,
                        priority,
                    };
                    if !crate::sampling::start(&self.shared, job, self.ended.0.clone()) {
                        state.flags.remove(&sample, attempt);
                        state
                            .planner
                            .on_failed(now, &sample, attempt, &mut self.rng);
                    }
                }
            }
        }
    }

    /// Carries the transaction under way on, if there is one.
    fn drive(&mut self) {
        let Some(state) = &mut self.state else {
            return;
        };
        let progress = state.driver.step(&self.shared, &mut state.ledger);
        match progress {
            Progress::Idle => {}
            Progress::Done(completion) => {
                let current = state.current.take();
                let reply = state.apply(&self.shared, completion);
                if let Some(current) = current {
                    let _ = current.try_send(Ok(reply));
                }
            }
            Progress::Stalled => {
                // The caller may repeat the call: the ledger recognises what took effect.
                if let Some(current) = state.current.take() {
                    let message = "the store doesn't answer; the outcome isn't known";
                    let refusal = Refusal::may_have_run(Code::StoreUnavailable, message);
                    let _ = current.try_send(Err(refusal.retry_after(Duration::from_secs(1))));
                }
            }
            Progress::Lost(refusal) => {
                if let Some(current) = state.current.take() {
                    let _ = current.try_send(Err(refusal));
                }
                self.drop_state();
            }
        }
    }
}

impl State {
    /// Starts a call; a fetch is filed and answered later.
    fn start(
        &mut self,
        shared: &Shared,
        ask: Ask,
        reply: &SyncSender<Result<Reply, Refusal>>,
    ) -> Option<Result<Start, Refusal>> {
        let operation = shared.operation();
        Some(match ask {
            Ask::Session => self.ledger.open_session(operation),
            Ask::Submit {
                session,
                step,
                content,
            } => {
                if let Err(refusal) = self.check_size(&content) {
                    return Some(Err(refusal));
                }
                let start = self.ledger.submit(session, step, &content, operation);
                if start.is_ok() {
                    self.contents
                        .entry(step)
                        .or_insert_with(|| Arc::new(content));
                }
                start
            }
            Ask::Fetch {
                session,
                step,
                deadline,
            } => {
                self.planner.set_waiting(Some(step));
                let reply = reply.clone();
                self.fetches.push(Fetch {
                    session,
                    step,
                    deadline,
                    reply,
                });
                return None;
            }
            Ask::Acknowledge {
                session,
                step,
                delivery,
            } => self.ledger.acknowledge(session, step, delivery, operation),
            Ask::Publish {
                session,
                version,
                object,
            } => self.ledger.publish(session, version, &object, operation),
        })
    }

    /// The manifest bounds the groups and the samples of a step.
    fn check_size(&self, content: &Content) -> Result<(), Refusal> {
        let size = self.settings.group_size;
        if let Some(group) = content.groups.iter().find(|group| group.size != size) {
            let found = group.size;
            let message = format!("a group has {found} samples; the manifest says {size}");
            return Err(Refusal::not_run(Code::BadRequest, message));
        }
        let samples: u64 = content
            .groups
            .iter()
            .map(|group| u64::from(group.size))
            .sum();
        let most = self.settings.step_samples;
        if samples > u64::from(most) {
            let message = format!("the step has {samples} samples; the manifest allows {most}");
            return Err(Refusal::not_run(Code::BadRequest, message));
        }
        Ok(())
    }

    /// Brings planner and ledger in line with the manifest.
    fn follow(&mut self, manifest: &Manifest, name: &id::Trainer) {
        let found = manifest.trainers.iter().find(|one| one.trainer == *name);
        if let Some(settings) = found.filter(|found| **found != self.settings) {
            let bound = u64::from(settings.staleness_bound);
            self.ledger.set_staleness_bound(bound);
            self.planner.set_weights(bound, settings.idle_weight);
            self.settings = settings.clone();
        }
    }

    fn accept(&mut self, shared: &Shared, finished: Finished) -> bool {
        let sample = finished.sample.clone();
        match self.ledger.accept(finished) {
            Ok(Accepted::Buffered | Accepted::Duplicate) => {
                shared.metrics.count("sample.accepted");
                true
            }
            Ok(Accepted::Stale) => {
                shared.metrics.count("sample.stale");
                false
            }
            Ok(Accepted::Unlabelled) => {
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

    /// Carries the effects of a completed operation over to the planner.
    fn apply(&mut self, shared: &Shared, completion: Completion) -> Reply {
        let now = shared.now();
        match completion {
            Completion::Session(session) => {
                let (version, _) = self.ledger.version();
                let delivered = self
                    .ledger
                    .steps()
                    .iter()
                    .find(|step| step.delivered)
                    .map(|s| s.step);
                let after = self
                    .ledger
                    .acknowledged()
                    .map_or(id::Step(1), id::Step::next);
                Reply::Session {
                    session,
                    version,
                    next: delivered.unwrap_or(after),
                }
            }
            Completion::Submitted(step) => {
                if let Some(view) = self.ledger.steps().iter().find(|view| view.step == step) {
                    if let Err(refusal) = self.planner.resume(step, &view.sizes, &view.missing) {
                        shared.violated("planner", refusal);
                    }
                }
                Reply::Done
            }
            Completion::Delivered(delivery) => {
                shared.metrics.count("step.delivered");
                Reply::Delivered(delivery)
            }
            Completion::Waiting { progress, stale } => {
                self.replace(shared, now, &stale);
                Reply::Waiting(progress)
            }
            Completion::Acknowledged(step) => {
                self.planner.on_acknowledged(step);
                self.contents.retain(|own, _| *own > step);
                Reply::Done
            }
            Completion::Published { version, stale } => {
                self.planner.on_version(now, version);
                self.replace(shared, now, &stale);
                Reply::Done
            }
            Completion::Flushed(_) | Completion::Swept(_) => Reply::Done,
        }
    }

    fn replace(&mut self, shared: &Shared, now: Instant, stale: &[id::Sample]) {
        for sample in stale {
            shared.metrics.count("sample.stale");
            self.planner.on_stale(now, sample);
        }
    }

    fn answer_fetches(&mut self, shared: &Shared, now: Instant) {
        for fetch in std::mem::take(&mut self.fetches) {
            if self.ledger.is_busy() {
                self.wait_or_answer(fetch, now);
                continue;
            }
            let operation = shared.operation();
            match self.ledger.deliver(fetch.session, fetch.step, operation) {
                Err(refusal) => drop(fetch.reply.try_send(Err(refusal))),
                Ok(Start::Done(completion)) => match self.apply(shared, completion) {
                    Reply::Waiting(_) => self.wait_or_answer(fetch, now),
                    reply => drop(fetch.reply.try_send(Ok(reply))),
                },
                Ok(Start::Commit(commit)) => {
                    self.current = Some(fetch.reply);
                    self.driver.start(commit);
                }
                Ok(Start::Busy) => self.wait_or_answer(fetch, now),
            }
        }
        if self.fetches.is_empty() {
            self.planner.set_waiting(None);
        }
    }

    fn wait_or_answer(&mut self, fetch: Fetch, now: Instant) {
        if now < fetch.deadline {
            self.fetches.push(fetch);
            return;
        }
        let reply = match self.ledger.progress(fetch.step) {
            Some(progress) => Ok(Reply::Waiting(progress)),
            None => {
                let message = format!("step {} was not submitted", fetch.step);
                Err(Refusal::not_run(Code::NotFound, message))
            }
        };
        let _ = fetch.reply.try_send(reply);
    }
}

impl Shared {
    /// Refuses a call that another node answers, and names that node if it is known.
    pub(crate) fn wrong_node(&self, keeper: &Keeper) -> Refusal {
        let holder = keeper.holder().filter(|vm| *vm != self.settings.vm);
        let owner = holder.and_then(|vm| {
            let adoption = lock(&self.adoption);
            let entries = &adoption.manifest()?.entry_vms;
            entries
                .iter()
                .find(|entry| entry.vm == vm)
                .map(|entry| entry.address)
        });
        let message = "another node owns this trainer, or none does yet";
        let refusal = Refusal::not_run(Code::WrongNode, message).owner(owner);
        refusal.retry_after(Duration::from_millis(500))
    }
}
