//! Runs the batches of one service while this node is its leader.

use crate::clock;
use crate::context::NodeContext;
use crate::orders::WeightLoads;
use crate::outcome_writer::OutcomeWriter;
use crate::run::{AbortOnDrop, RunTasks};
use crate::storage::{self, SHARED};
use dogwoodlb_batch::{Action, BatchHeader, ItemText, Ownership, Planner};
use dogwoodlb_external::store::Txn;
use dogwoodlb_mirror::Versioned;
use dogwoodlb_types::Instant;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

mod adoption;
mod guarantees;
mod handover;
mod items;
mod replica_scan;
mod running;

use replica_scan::ReplicaScan;
use running::RunningBatch;

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

/// Runs the batches of one service.
pub(crate) struct Coordinator {
    service: String,
    /// The version of the leader row under which this node runs the service.
    pub(crate) term: u64,
    context: Rc<NodeContext>,
    planner: Rc<RefCell<Planner>>,
    batches: RefCell<BTreeMap<String, RunningBatch>>,
    /// The tasks that adopt batches, by batch.
    adoptions: RefCell<BTreeMap<String, AbortOnDrop>>,
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
    /// The revision of the directory up to which the planner knows which replicas have left.
    planner_revision: Cell<u64>,
}

impl Coordinator {
    pub(crate) fn new(
        service: &str,
        term: u64,
        context: Rc<NodeContext>,
        inherited: Vec<ItemText>,
    ) -> Self {
        Self {
            service: service.to_owned(),
            term,
            context,
            planner: Rc::default(),
            batches: RefCell::default(),
            adoptions: RefCell::default(),
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
            planner_revision: Cell::default(),
        }
    }

    /// Returns the start of a transaction that only takes effect while this leadership lasts. A
    /// node may learn late that another one leads, and the store may apply a write late.
    pub(crate) fn new_txn(&self) -> Txn {
        let key = storage::leader_key(&self.service);
        Txn::default().check(SHARED, &key, self.term)
    }

    /// Returns the time that all open items are expected to need in one slot of a replica that runs
    /// `slots` items concurrently.
    pub(crate) fn open_work(&self, slots: u32) -> Duration {
        self.planner.borrow().open_work(slots)
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
        self.remove_leaving();
        self.abandon_overdue();
        if self.is_adopting() {
            return;
        }
        // A round that stops runs starts none, so plan again for the slots it freed.
        if self.plan() {
            self.plan();
        }
        self.restart_unreachable();
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

    /// Closes the batches that have ended, that another node owns or that were deleted, and adopts
    /// the open batches of the service that are not running here.
    fn sync_batches(self: &Rc<Self>) {
        let cluster = &self.context.cluster;
        let running: Vec<String> = self.batches.borrow().keys().cloned().collect();
        for id in running {
            let header = cluster.batch_header(&id).map(|header| header.value);
            let is_held = header.as_ref().is_some_and(|header| {
                header.ownership(&self.context.settings.node) == Ownership::Held
            });
            if !is_held {
                self.close(&id, header.as_ref());
            }
        }
        for (id, header) in self.new_batches() {
            self.start_adoption(id, header.row_version, header.value);
        }
    }

    /// Returns the open batches of the service that are neither running nor being adopted.
    fn new_batches(&self) -> Vec<(String, Versioned<BatchHeader>)> {
        let headers = self.context.cluster.batch_headers.borrow();
        let (batches, adoptions) = (self.batches.borrow(), self.adoptions.borrow());
        let is_new = |(id, header): &(&String, &Versioned<BatchHeader>)| {
            let is_open = header.value.service == self.service && header.value.is_open();
            is_open && !batches.contains_key(*id) && !adoptions.contains_key(*id)
        };
        let new = headers.iter().filter(is_new);
        new.map(|(id, header)| (id.clone(), header.clone()))
            .collect()
    }

    fn start_adoption(self: &Rc<Self>, id: String, row_version: u64, header: BatchHeader) {
        let (this, batch) = (self.clone(), id.clone());
        let supervisor = &self.context.supervisor;
        let task = supervisor.spawn("adoption", async move {
            if let Err(error) = this.adopt(&batch, row_version, header).await {
                tracing::info!(batch, %error, "batch_not_adopted");
                sleep(ADOPTION_RETRY).await;
            }
            this.adoptions.borrow_mut().remove(&batch);
            this.wake.notify_one();
        });
        let task = AbortOnDrop(task);
        self.adoptions.borrow_mut().insert(id, task);
    }

    /// Drops a batch whose outcome writer ended with [`WriterEnd::Lost`], and cancels its runs. If
    /// the batch is still open, a later round adopts it again, whichever node owns it then.
    fn drop_batch(&self, writer: &Rc<OutcomeWriter>) {
        let mut batches = self.batches.borrow_mut();
        let current = batches.get(&writer.batch);
        if !current.is_some_and(|current| Rc::ptr_eq(&current.batch.writer, writer)) {
            return;
        }
        batches.remove(&writer.batch);
        for work in self.planner.borrow_mut().remove_batch(&writer.batch) {
            self.run_tasks.borrow_mut().remove(&work);
        }
    }

    /// Stops running a batch that has ended, is owned by another node or was deleted, in which case
    /// it has no header.
    fn close(&self, id: &str, header: Option<&BatchHeader>) {
        let is_own = header.is_some_and(|header| header.owner == self.context.settings.node);
        if is_own {
            self.planner.borrow_mut().end_batch(id, clock::now());
        } else {
            let running_work = self.planner.borrow_mut().remove_batch(id);
            for work in running_work {
                self.run_tasks.borrow_mut().remove(&work);
            }
        }
        self.batches.borrow_mut().remove(id);
        tracing::info!(
            batch = id,
            listed = header.map(|header| header.result_count),
            ended = header.map(|header| header.ended),
            is_own,
            "batch_closed"
        );
    }
}
