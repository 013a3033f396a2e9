//! Runs the batches of one service while this node leads it.

use crate::archive::Error;
use crate::clock;
use crate::known::Stored;
use crate::lister::{Ended, Lister};
use crate::orders::Loads;
use crate::run::Guards;
use crate::storage::{self, SHARED};
use crate::tools::Tools;
use dogwoodlb_batch::{Action, BatchHeader, ItemText, NewBatch, Planner, Record, Submission};
use dogwoodlb_config::Route;
use dogwoodlb_external::store::{self, Txn};
use dogwoodlb_types::Instant;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::sleep;

mod items;
mod survey;
mod texts;

use survey::Survey;

/// The time between two looks at what is due.
const TICK: Duration = Duration::from_millis(40);
/// After a round the next one waits for this many times what it took, so that a leader of many
/// replicas has time for its streams.
const ROUND_PAUSE: u32 = 4;
/// A round that takes less needs no pause.
const SHORT_ROUND: Duration = Duration::from_millis(1);
/// How long a new leader waits for the adoption of all open batches before it starts items.
const GATHER: Duration = Duration::from_millis(800);
/// How long an item may take of which the route says nothing.
const DEFAULT_LIFE: Duration = Duration::from_secs(30);

/// A batch that this node runs.
struct Running {
    submission: Rc<Submission>,
    lister: Rc<Lister>,
    /// When items may be given up.
    until: Instant,
    task: RefCell<Option<AbortHandle>>,
}

impl Running {
    /// Stops the lister. Runs and scores that are not over yet still hold the batch, so that its
    /// drop would be too late.
    fn stop(&self) {
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
    }
}

/// Runs the batches of one service.
pub(crate) struct Coordinator {
    service: String,
    tools: Rc<Tools>,
    planner: Rc<RefCell<Planner>>,
    batches: RefCell<BTreeMap<String, Rc<Running>>>,
    adopting: RefCell<BTreeSet<String>>,
    guards: Guards,
    loads: Rc<Loads>,
    kick: Notify,
    /// What the former leader told of unfinished items.
    inherited: Vec<ItemText>,
    surrendered: Cell<bool>,
    /// Since when others have had the store, but not this node.
    alone: Cell<Option<Instant>>,
    /// The events of each text that is written down.
    saved: RefCell<BTreeMap<(String, u32), u64>>,
    next_checkpoint: Cell<Instant>,
    checkpointing: Cell<bool>,
    /// Until when no run starts because batches that were open at the start are being adopted.
    gathering: Cell<Option<Instant>>,
    survey: Cell<Survey>,
}

impl Coordinator {
    pub(crate) fn new(service: &str, tools: Rc<Tools>, inherited: Vec<ItemText>) -> Self {
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
            gathering: Cell::new(Some(clock::now() + GATHER)),
            survey: Cell::default(),
        }
    }

    /// Runs batches until the task is aborted.
    pub(crate) async fn run(self: Rc<Self>) {
        let mut changes = self.tools.known.changes();
        loop {
            tokio::select! {
                () = self.kick.notified() => {}
                _ = changes.changed() => {}
                () = sleep(TICK) => {}
            }
            if self.is_cut_off() && !self.surrendered.get() {
                self.surrender();
            }
            if !self.surrendered.get() {
                let began = std::time::Instant::now();
                self.step();
                let took = began.elapsed();
                if took >= SHORT_ROUND {
                    sleep(took * ROUND_PAUSE).await;
                }
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
        self.survey(engine);
        self.give_up();
        if self.is_gathering() {
            return;
        }
        // A round that stops runs starts none.
        if self.plan() {
            self.plan();
        }
        self.checkpoint();
    }

    /// Carries out a round of the planner; returns whether it stopped a run.
    fn plan(self: &Rc<Self>) -> bool {
        let actions = self.planner.borrow_mut().plan(clock::now());
        let mut has_stopped = false;
        for action in actions {
            match action {
                Action::Start { work, replica } => self.start(work, replica),
                Action::Stop { work, reason } => {
                    self.stop(work, reason);
                    has_stopped = true;
                }
            }
        }
        has_stopped
    }

    /// Returns whether batches that were open at the start are still being adopted. Their items
    /// compete for the slots, and those of a batch that is almost whole must not come last
    /// because it takes more reads.
    fn is_gathering(&self) -> bool {
        let Some(until) = self.gathering.get() else {
            return false;
        };
        let heads = self.tools.known.heads.borrow();
        let batches = self.batches.borrow();
        let is_left = |(id, head): (&String, &Stored<BatchHeader>)| {
            let head = &head.value;
            head.service == self.service && head.is_open() && !batches.contains_key(id)
        };
        if clock::now() >= until || !heads.iter().any(is_left) {
            self.gathering.set(None);
            return false;
        }
        true
    }

    fn route(&self, submission: &Submission) -> Option<Route> {
        let config = self.tools.known.config()?;
        config.route(&submission.host, &submission.path).cloned()
    }

    fn sync_batches(self: &Rc<Self>) {
        let heads: Vec<(String, Stored<BatchHeader>)> = {
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
                        sleep(TICK).await;
                    }
                    own.adopting.borrow_mut().remove(&id);
                    own.kick.notify_one();
                });
            }
        }
    }

    /// Takes over a batch, whoever ran it before.
    async fn adopt(self: &Rc<Self>, id: &str, row: u64, head: BatchHeader) -> Result<(), Error> {
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
        let outcomes = archive.outcomes(id, 0, head.result_count).await?;
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
        head: BatchHeader,
        submission: Rc<Submission>,
        listed: BTreeSet<u32>,
        texts: &[ItemText],
    ) {
        let route = self.route(&submission);
        let life = route.as_ref().and_then(|route| route.item_ttl);
        let now_ms = self
            .tools
            .storage
            .earliest_ms()
            .unwrap_or(head.submitted_ms);
        let age = Duration::from_millis(now_ms.saturating_sub(head.submitted_ms));
        let until = clock::now() + life.unwrap_or(DEFAULT_LIFE).saturating_sub(age);
        let engine = self.event_tokens();
        self.planner.borrow_mut().add_batch(&NewBatch {
            id,
            model: &submission.model,
            min_version: submission.min_version,
            single_version: route.as_ref().is_some_and(|route| route.single_version),
            target_groups: submission.target_groups,
            max_attempts: route.map_or(1, |route| route.max_attempts),
            event_tokens: engine,
            items: &submission.items,
            finished: &listed,
        });
        let unfinished = self.planner.borrow().unfinished(id);
        for work in unfinished {
            let index = self
                .planner
                .borrow()
                .item_location(work)
                .map(|(_, index)| index);
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
                let ended = lister.run(&own.tools.context).await;
                tracing::info!(batch = lister.batch, ended = ?ended, "lister_ended");
                if ended == Ended::Lost {
                    own.drop_batch(&lister);
                }
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

    /// Forgets a batch that its lister has lost; it is adopted again if this node still owns it.
    fn drop_batch(&self, lister: &Rc<Lister>) {
        let mut batches = self.batches.borrow_mut();
        let held = batches.get(&lister.batch);
        if !held.is_some_and(|held| Rc::ptr_eq(&held.lister, lister)) {
            return;
        }
        batches.remove(&lister.batch);
        for work in self.planner.borrow_mut().remove_batch(&lister.batch) {
            self.guards.borrow_mut().remove(&work);
        }
    }

    /// Stops running a batch that has ended or that another node took over.
    fn close(&self, id: &str, head: &BatchHeader) {
        let is_own = head.owner == self.tools.settings.node;
        if is_own {
            self.planner.borrow_mut().end_batch(id, clock::now());
        } else {
            let running = self.planner.borrow_mut().remove_batch(id);
            for work in running {
                self.guards.borrow_mut().remove(&work);
            }
        }
        let running = self.batches.borrow_mut().remove(id);
        if let Some(running) = running {
            running.stop();
        }
        tracing::info!(
            batch = id,
            listed = head.result_count,
            ended = head.ended,
            is_own,
            "batch_closed"
        );
    }
}
