//! Runs the batches of one service while this node is its leader.

use crate::clock;
use crate::cluster::Versioned;
use crate::context::NodeContext;
use crate::orders::WeightLoads;
use crate::outcome_writer::OutcomeWriter;
use crate::run::RunTasks;
use dogwoodlb_batch::{Action, BatchHeader, ItemText, Planner, Submission};
use dogwoodlb_config::Route;
use dogwoodlb_types::Instant;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::sleep;

mod adoption;
mod handover;
mod items;
mod replica_scan;

use replica_scan::ReplicaScan;

/// The longest interval between two planning rounds.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(40);
/// The pause after a failed adoption of a batch.
const ADOPTION_RETRY: Duration = Duration::from_millis(40);
/// The pause after a planning round, as a multiple of its duration. It leaves a leader of many
/// replicas enough time to process their event streams.
const ROUND_PAUSE_FACTOR: u32 = 4;
/// Rounds shorter than this are not followed by a pause.
const SHORT_ROUND: Duration = Duration::from_millis(1);
/// How long a new leader defers starting items until all open batches are adopted.
const ADOPTION_TIMEOUT: Duration = Duration::from_millis(800);
/// The lifetime of items whose route sets none.
const DEFAULT_ITEM_LIFETIME: Duration = Duration::from_secs(30);

/// A batch that this node is running.
struct RunningBatch {
    submission: Rc<Submission>,
    writer: Rc<OutcomeWriter>,
    /// When unfinished items are abandoned.
    deadline: Instant,
    task: RefCell<Option<AbortHandle>>,
}

impl RunningBatch {
    /// Stops the task of the outcome writer. Dropping the batch does not stop it, since a dropped
    /// [`AbortHandle`] does not abort its task.
    fn stop(&self) {
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
    }
}

/// Runs the batches of one service.
pub(crate) struct Coordinator {
    service: String,
    context: Rc<NodeContext>,
    planner: Rc<RefCell<Planner>>,
    batches: RefCell<BTreeMap<String, Rc<RunningBatch>>>,
    /// The batches that are being adopted.
    adopting: RefCell<BTreeSet<String>>,
    run_tasks: RunTasks,
    loads: Rc<WeightLoads>,
    wake: Notify,
    /// The texts of unfinished items received from the previous leader.
    inherited: Vec<ItemText>,
    relinquished: Cell<bool>,
    /// Since when this node has not reached the store although
    /// [`is_store_down`](crate::peers::Peers::is_store_down) was false: a live peer reaches the
    /// store, or there is no live peer.
    isolated_since: Cell<Option<Instant>>,
    /// The number of events in the last stored checkpoint of each text.
    checkpointed: RefCell<BTreeMap<(String, u32), u64>>,
    next_checkpoint: Cell<Instant>,
    checkpointing: Cell<bool>,
    /// Until when no run starts because the batches that were open at take-over are still being
    /// adopted.
    adoption_deadline: Cell<Option<Instant>>,
    replica_scan: Cell<ReplicaScan>,
}

impl Coordinator {
    pub(crate) fn new(service: &str, context: Rc<NodeContext>, inherited: Vec<ItemText>) -> Self {
        Self {
            service: service.to_owned(),
            context,
            planner: Rc::default(),
            batches: RefCell::default(),
            adopting: RefCell::default(),
            run_tasks: RunTasks::default(),
            loads: Rc::default(),
            wake: Notify::new(),
            inherited,
            relinquished: Cell::new(false),
            isolated_since: Cell::new(None),
            checkpointed: RefCell::default(),
            next_checkpoint: Cell::default(),
            checkpointing: Cell::new(false),
            adoption_deadline: Cell::new(Some(clock::now() + ADOPTION_TIMEOUT)),
            replica_scan: Cell::default(),
        }
    }

    /// Runs batches until the task is aborted.
    pub(crate) async fn run(self: Rc<Self>) {
        let mut changes = self.context.cluster.changes();
        loop {
            tokio::select! {
                () = self.wake.notified() => {}
                _ = changes.changed() => {}
                () = sleep(MAX_ROUND_INTERVAL) => {}
            }
            if self.is_isolated() && !self.relinquished.get() {
                // The returned texts are dropped: the next leader continues from the last
                // checkpoints.
                self.relinquish();
            }
            if !self.relinquished.get() {
                let began = std::time::Instant::now();
                self.run_round();
                let took = began.elapsed();
                if took >= SHORT_ROUND {
                    sleep(took * ROUND_PAUSE_FACTOR).await;
                }
            }
        }
    }

    fn run_round(self: &Rc<Self>) {
        let config = self.context.cluster.config();
        let service = config
            .as_ref()
            .and_then(|config| config.service(&self.service));
        let Some(service) = service else { return };
        let Some(engine) = &service.engine else {
            return;
        };
        self.sync_batches();
        self.scan_replicas(service, engine);
        self.abandon_overdue();
        if self.is_adopting() {
            return;
        }
        // A round that stops runs starts none, so plan again for the slots it freed.
        if self.plan() {
            self.plan();
        }
        self.checkpoint();
    }

    /// Executes one round of the planner. Returns whether it stopped a run.
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

    /// Returns whether batches that were open at take-over are still being adopted. Their items
    /// compete for the same slots; without the wait, the items of a nearly complete batch would
    /// be planned last, because that batch takes more reads to adopt.
    fn is_adopting(&self) -> bool {
        let Some(deadline) = self.adoption_deadline.get() else {
            return false;
        };
        let headers = self.context.cluster.batch_headers.borrow();
        let batches = self.batches.borrow();
        let is_pending = |(id, header): (&String, &Versioned<BatchHeader>)| {
            let header = &header.value;
            header.service == self.service && header.is_open() && !batches.contains_key(id)
        };
        if clock::now() >= deadline || !headers.iter().any(is_pending) {
            self.adoption_deadline.set(None);
            return false;
        }
        true
    }

    fn route(&self, submission: &Submission) -> Option<Route> {
        let config = self.context.cluster.config()?;
        config.route(&submission.host, &submission.path).cloned()
    }

    /// Closes the batches that have ended or that another node owns, and adopts the open batches of
    /// the service that are not running here.
    fn sync_batches(self: &Rc<Self>) {
        let headers: Vec<(String, Versioned<BatchHeader>)> = {
            let headers = self.context.cluster.batch_headers.borrow();
            let of_service = headers
                .iter()
                .filter(|(_, header)| header.value.service == self.service);
            of_service
                .map(|(id, header)| (id.clone(), header.clone()))
                .collect()
        };
        for (id, versioned) in headers {
            let Versioned {
                row_version,
                value: header,
            } = versioned;
            let is_running = self.batches.borrow().contains_key(&id);
            if is_running && (!header.is_open() || header.owner != self.context.settings.node) {
                self.close(&id, &header);
            }
            if !is_running && header.is_open() && self.adopting.borrow_mut().insert(id.clone()) {
                let this = self.clone();
                tokio::task::spawn_local(async move {
                    if let Err(error) = this.adopt(&id, row_version, header).await {
                        tracing::info!(batch = id, %error, "batch_not_adopted");
                        sleep(ADOPTION_RETRY).await;
                    }
                    this.adopting.borrow_mut().remove(&id);
                    this.wake.notify_one();
                });
            }
        }
    }

    fn event_tokens(&self) -> u64 {
        let config = self.context.cluster.config();
        let service = config
            .as_ref()
            .and_then(|config| config.service(&self.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or(1, |engine| engine.event_tokens)
    }

    /// Drops a batch whose outcome writer ended with [`WriterEnd::Lost`], and cancels its runs. If
    /// the batch is still open, a later round adopts it again, whichever node owns it then.
    fn drop_batch(&self, writer: &Rc<OutcomeWriter>) {
        let mut batches = self.batches.borrow_mut();
        let current = batches.get(&writer.batch);
        if !current.is_some_and(|current| Rc::ptr_eq(&current.writer, writer)) {
            return;
        }
        batches.remove(&writer.batch);
        for work in self.planner.borrow_mut().remove_batch(&writer.batch) {
            self.run_tasks.borrow_mut().remove(&work);
        }
    }

    /// Stops running a batch that has ended or is owned by another node.
    fn close(&self, id: &str, header: &BatchHeader) {
        let is_own = header.owner == self.context.settings.node;
        if is_own {
            self.planner.borrow_mut().end_batch(id, clock::now());
        } else {
            let running_work = self.planner.borrow_mut().remove_batch(id);
            for work in running_work {
                self.run_tasks.borrow_mut().remove(&work);
            }
        }
        let running = self.batches.borrow_mut().remove(id);
        if let Some(running) = running {
            running.stop();
        }
        tracing::info!(
            batch = id,
            listed = header.result_count,
            ended = header.ended,
            is_own,
            "batch_closed"
        );
    }
}
