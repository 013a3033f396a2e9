//! Runs the batches of one service while this node leads it.

use crate::archive::Error;
use crate::clock;
use crate::known::Stored;
use crate::lister::Lister;
use crate::orders::Loads;
use crate::run::{self, End, Guard, Guards, Target};
use crate::score::Scored;
use crate::storage::{self, SHARED};
use crate::tools::Tools;
use dogwoodlb_batch::{
    Action, Head, Open, Outcome, Planner, State, Stop, Submission, Text, View, WorkId,
};
use dogwoodlb_config::{Engine, Route};
use dogwoodlb_external::store::{self, Txn};
use dogwoodlb_types::Instant;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// The time between two looks at what is due.
const TICK: Duration = Duration::from_millis(40);
/// How long an item may take of which the route says nothing.
const DEFAULT_LIFE: Duration = Duration::from_secs(30);
/// How long a node that leaves writes down what it has.
const HAND_OVER: Duration = Duration::from_millis(900);
/// The time between two writings of texts, and the events that make one worth its bytes.
const CHECKPOINT: Duration = Duration::from_millis(500);
const CHECKPOINT_EVENTS: u64 = 4;
/// A leader without the store stops its runs after others have had it for this long. When the
/// store returns to all, some see it a second earlier than others.
const CUT_OFF: Duration = Duration::from_millis(1_400);
const CUT_OFF_AWAY: Duration = Duration::from_millis(1_100);

/// A batch that this node runs.
struct Running {
    submission: Rc<Submission>,
    lister: Rc<Lister>,
    /// When items may be given up.
    until: Instant,
    task: RefCell<Option<AbortHandle>>,
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
    }
}

/// Runs the batches of one service.
pub(crate) struct Conductor {
    service: String,
    tools: Rc<Tools>,
    planner: Rc<RefCell<Planner>>,
    batches: RefCell<BTreeMap<String, Rc<Running>>>,
    adopting: RefCell<BTreeSet<String>>,
    guards: Guards,
    loads: Rc<Loads>,
    kick: Notify,
    /// What the former leader told of unfinished items.
    inherited: Vec<Text>,
    surrendered: Cell<bool>,
    /// Since when others have had the store, but not this node.
    alone: Cell<Option<Instant>>,
    /// The events of each text that is written down.
    saved: RefCell<BTreeMap<(String, u32), u64>>,
    next_checkpoint: Cell<Instant>,
    checkpointing: Cell<bool>,
}

impl Conductor {
    pub(crate) fn new(service: &str, tools: Rc<Tools>, inherited: Vec<Text>) -> Self {
        Self {
            service: service.to_owned(),
            tools,
            planner: Rc::default(),
            batches: RefCell::default(),
            adopting: RefCell::default(),
            guards: Guards::default(),
            loads: Rc::default(),
            kick: Notify::new(),
            inherited,
            surrendered: Cell::new(false),
            alone: Cell::new(None),
            saved: RefCell::default(),
            next_checkpoint: Cell::default(),
            checkpointing: Cell::new(false),
        }
    }

    /// Runs batches until the task is aborted.
    pub(crate) async fn run(self: Rc<Self>) {
        let mut changes = self.tools.known.changes();
        loop {
            tokio::select! {
                () = self.kick.notified() => {}
                _ = changes.changed() => {}
                () = tokio::time::sleep(TICK) => {}
            }
            if self.is_cut_off() && !self.surrendered.get() {
                self.surrender();
            }
            if !self.surrendered.get() {
                self.step();
            }
        }
    }

    fn step(self: &Rc<Self>) {
        let config = self.tools.known.config();
        let service = config
            .as_ref()
            .and_then(|config| config.service(&self.service));
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return;
        };
        self.sync_batches();
        self.sync_replicas(engine);
        self.give_up();
        let single_version = self.batches.borrow().values().any(|running| {
            let route = self.route(&running.submission);
            route.is_some_and(|route| route.single_version)
        });
        self.loads.advance(
            &self.tools,
            &self.planner,
            &self.service,
            engine,
            single_version,
        );
        let actions = self.planner.borrow_mut().plan(clock::now());
        for action in actions {
            match action {
                Action::Start { work, replica } => self.start(work, replica),
                Action::Stop { work, reason } => self.stop(work, reason),
            }
        }
        self.checkpoint();
    }

    fn route(&self, submission: &Submission) -> Option<Route> {
        let config = self.tools.known.config()?;
        config.route(&submission.host, &submission.path).cloned()
    }

    fn sync_batches(self: &Rc<Self>) {
        let heads: Vec<(String, Stored<Head>)> = {
            let heads = self.tools.known.heads.borrow();
            let own = heads
                .iter()
                .filter(|(_, head)| head.value.service == self.service);
            own.map(|(id, head)| (id.clone(), head.clone())).collect()
        };
        for (id, Stored { row, value: head }) in heads {
            let is_held = self.batches.borrow().contains_key(&id);
            if is_held && (!head.is_open() || head.owner != self.tools.settings.node) {
                self.close(&id, &head);
            }
            if !is_held && head.is_open() && self.adopting.borrow_mut().insert(id.clone()) {
                let own = self.clone();
                tokio::task::spawn_local(async move {
                    if let Err(error) = own.adopt(&id, row, head).await {
                        tracing::info!(batch = id, %error, "batch_not_adopted");
                        tokio::time::sleep(TICK).await;
                    }
                    own.adopting.borrow_mut().remove(&id);
                    own.kick.notify_one();
                });
            }
        }
    }

    /// Takes over a batch, whoever ran it before.
    async fn adopt(self: &Rc<Self>, id: &str, row: u64, head: Head) -> Result<(), Error> {
        let node = &self.tools.settings.node;
        let archive = &self.tools.archive;
        let mut row = row;
        let mut head = head;
        let was_other = head.owner != *node;
        if was_other {
            head.owner.clone_from(node);
            let key = storage::head_key(id);
            let txn = Txn::default().check(SHARED, &key, row);
            let txn = txn.put(SHARED, &key, head.to_vec()?);
            match self.tools.storage.commit(&txn).await? {
                store::Outcome::Done { version, .. } => {
                    row = version;
                    self.tools.known.put_head(id, row, head.clone());
                }
                store::Outcome::Conflict { .. } => {
                    archive.head(id).await?;
                    return Ok(());
                }
            }
        }
        let submission = archive.submission(id, &head).await?;
        let outcomes = archive.outcomes(id, 0, head.listed).await?;
        let listed = outcomes.iter().map(|outcome| outcome.index).collect();
        let mut texts = archive.texts(id).await?;
        let inherited = self.inherited.iter().filter(|text| text.batch == id);
        texts.extend(inherited.cloned());
        if !self.surrendered.get() {
            self.open(id, row, head, submission, listed, &texts);
        }
        Ok(())
    }

    fn open(
        self: &Rc<Self>,
        id: &str,
        row: u64,
        head: Head,
        submission: Rc<Submission>,
        listed: BTreeSet<u32>,
        texts: &[Text],
    ) {
        let route = self.route(&submission);
        let life = route.as_ref().and_then(|route| route.item_life);
        let now_ms = self
            .tools
            .storage
            .earliest_ms()
            .unwrap_or(head.submitted_ms);
        let age = Duration::from_millis(now_ms.saturating_sub(head.submitted_ms));
        let until = clock::now() + life.unwrap_or(DEFAULT_LIFE).saturating_sub(age);
        let engine = self.event_tokens();
        self.planner.borrow_mut().open(&Open {
            id,
            model: &submission.model,
            min_version: submission.min_version,
            single_version: route.as_ref().is_some_and(|route| route.single_version),
            target_groups: submission.target_groups,
            max_attempts: route.map_or(1, |route| route.max_attempts),
            event_tokens: engine,
            items: &submission.items,
            listed: &listed,
        });
        let unfinished = self.planner.borrow().unfinished(id);
        for work in unfinished {
            let index = self.planner.borrow().place(work).map(|(_, index)| index);
            for text in texts.iter().filter(|text| Some(text.index) == index) {
                self.planner.borrow_mut().restore(work, text);
            }
        }
        tracing::info!(
            batch = id,
            step = submission.step,
            items = submission.items.len(),
            listed = listed.len(),
            restored = texts.len(),
            age_ms = age.as_millis(),
            row,
            "batch_adopted"
        );
        let lister = Rc::new(Lister::new(
            id,
            &self.tools.settings.node,
            row,
            head,
            listed,
        ));
        let task = tokio::task::spawn_local({
            let (lister, own) = (lister.clone(), self.clone());
            async move {
                let ended = lister.run(&own.tools.desk).await;
                tracing::info!(batch = lister.batch, ended = ?ended, "lister_ended");
                own.kick.notify_one();
            }
        });
        let running = Running {
            submission,
            lister,
            until,
            task: RefCell::new(Some(task.abort_handle())),
        };
        self.batches
            .borrow_mut()
            .insert(id.to_owned(), Rc::new(running));
        let generated = self.planner.borrow().generated(id);
        for work in generated {
            self.score(work);
        }
    }

    fn event_tokens(&self) -> u64 {
        let config = self.tools.known.config();
        let service = config
            .as_ref()
            .and_then(|config| config.service(&self.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or(1, |engine| engine.event_tokens)
    }

    /// Stops running a batch that has ended or that another node took over.
    fn close(&self, id: &str, head: &Head) {
        let is_own = head.owner == self.tools.settings.node;
        if is_own {
            self.planner.borrow_mut().close(id, clock::now());
        } else {
            let running = self.planner.borrow_mut().forget(id);
            for work in running {
                self.guards.borrow_mut().remove(&work);
            }
        }
        self.batches.borrow_mut().remove(id);
        tracing::info!(
            batch = id,
            listed = head.listed,
            ended = head.ended,
            is_own,
            "batch_closed"
        );
    }

    fn sync_replicas(&self, engine: &Engine) {
        let directory = self.tools.known.directory();
        let mut planner = self.planner.borrow_mut();
        for (replica, entry) in directory.usable(&self.service) {
            let versions = engine.models.iter().filter_map(|model| {
                let version = self.loads.version(replica, model, entry.version(model))?;
                Some((model.clone(), version))
            });
            let view = View {
                slots: entry.slots,
                memory_tokens: engine.memory_tokens,
                versions: versions.collect(),
                closed: self.loads.closed(replica),
            };
            planner.set_replica(replica, view);
        }
        let is_usable = |id: &str| {
            directory
                .usable(&self.service)
                .any(|(known, _)| known == id)
        };
        planner.retain_replicas(is_usable);
    }

    /// Gives up the items whose time is over.
    fn give_up(self: &Rc<Self>) {
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
        let (batch, index) = planner.place(work)?;
        let running = self.batches.borrow().get(batch).cloned()?;
        Some((running, index))
    }

    fn start(self: &Rc<Self>, work: WorkId, replica: String) {
        let address = {
            let directory = self.tools.known.directory();
            directory.get(&replica).map(|entry| entry.address)
        };
        let (Some((running, index)), Some(address)) = (self.running(work), address) else {
            self.planner
                .borrow_mut()
                .on_stop(work, Stop::Refused, clock::now());
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
                &*tools.dialect,
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

    fn stop(&self, work: WorkId, reason: &str) {
        self.tools.metrics.runs.with_label_values(&[reason]).inc();
        tracing::debug!(work = work.0, reason, "run_stopped");
        self.guards.borrow_mut().remove(&work);
        self.planner
            .borrow_mut()
            .on_stop(work, Stop::Moved, clock::now());
    }

    fn on_end(self: &Rc<Self>, work: WorkId, end: End, replica: &str, submission: &Submission) {
        self.guards.borrow_mut().remove(&work);
        let now = clock::now();
        let stop = match end {
            End::Stop(stop) => stop,
            End::Impossible => Stop::Failed,
            End::Version(version) => {
                self.loads.observe(replica, &submission.model, version);
                if version < submission.min_version {
                    Stop::Refused
                } else {
                    Stop::Broken
                }
            }
        };
        let label = format!("{stop:?}").to_lowercase();
        self.tools.metrics.runs.with_label_values(&[&label]).inc();
        let has_failed = self.planner.borrow_mut().on_stop(work, stop, now);
        if has_failed || end == End::Impossible {
            self.abandon(work, "failed");
        } else if stop == Stop::Whole {
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
        self.planner.borrow_mut().give_up(work);
        running.lister.push(Outcome {
            index,
            item,
            state: State::Abandoned,
            ..Outcome::default()
        });
    }

    /// Has a whole text scored and listed.
    fn score(self: &Rc<Self>, work: WorkId) {
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
            own.planner.borrow_mut().finish(work);
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

    /// Stops all runs and returns what is known of unfinished items; nothing is run after this.
    pub(crate) fn surrender(&self) -> Vec<Text> {
        let texts = self.texts(1);
        self.surrendered.set(true);
        self.guards.borrow_mut().clear();
        self.batches.borrow_mut().clear();
        tracing::info!(service = self.service, texts = texts.len(), "surrendered");
        texts
    }

    /// Stops all runs and writes down what is known, so that the next leader goes on with it.
    pub(crate) async fn hand_over(&self) {
        let texts = self.surrender();
        let written = timeout(HAND_OVER, self.tools.archive.put_texts(&texts)).await;
        let is_written = matches!(written, Ok(Ok(())));
        tracing::info!(service = self.service, is_written, "handed_over");
    }

    fn texts(&self, least: u64) -> Vec<Text> {
        let planner = self.planner.borrow();
        let batches = self.batches.borrow();
        let texts = batches.iter().flat_map(|(id, running)| {
            let texts = planner.texts(id, least).into_iter();
            texts.filter(|text| !running.lister.is_listed(text.index))
        });
        texts.collect()
    }

    /// Writes down the texts that grew, for the case that this node dies.
    fn checkpoint(self: &Rc<Self>) {
        let now = clock::now();
        if now < self.next_checkpoint.get() || self.checkpointing.get() {
            return;
        }
        self.next_checkpoint.set(now + CHECKPOINT);
        let mut texts = self.texts(CHECKPOINT_EVENTS);
        {
            let mut saved = self.saved.borrow_mut();
            texts.retain(|text| {
                let key = (text.batch.clone(), text.index);
                let last = saved.get(&key).copied().unwrap_or(0);
                let grown = text.progress.last_event >= last + CHECKPOINT_EVENTS;
                if grown {
                    saved.insert(key, text.progress.last_event);
                }
                grown
            });
            let batches = self.batches.borrow();
            saved.retain(|(batch, _), _| batches.contains_key(batch));
        }
        if texts.is_empty() {
            return;
        }
        self.checkpointing.set(true);
        let own = self.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = own.tools.archive.put_texts(&texts).await {
                tracing::debug!(service = own.service, %error, "checkpoint_not_written");
            }
            own.checkpointing.set(false);
        });
    }

    /// Returns whether another node is likely to lead by now, although this one can't read it.
    fn is_cut_off(&self) -> bool {
        let now = clock::now();
        let is_alone =
            self.tools.storage.away_for(now) > CUT_OFF_AWAY && !self.tools.peers.is_store_down();
        if !is_alone {
            self.alone.set(None);
            return false;
        }
        let since = self.alone.get().unwrap_or(now);
        self.alone.set(Some(since));
        now.saturating_since(since) > CUT_OFF
    }
}
