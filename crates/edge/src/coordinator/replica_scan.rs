//! Periodic scan of all replicas: starts the weight loads that are due and updates the planner's
//! view of the replicas.

use super::{Coordinator, MAX_ROUND_INTERVAL};
use crate::clock;
use dogwoodlb_batch::ReplicaState;
use dogwoodlb_config::{Engine, Service};
use dogwoodlb_types::Instant;
use std::rc::Rc;

/// The pause after a scan, as a multiple of its duration. It leaves a leader of many replicas
/// enough time to process their event streams.
const PAUSE_FACTOR: u32 = 20;

/// The state of the last scan.
#[derive(Clone, Copy, Default)]
pub(super) struct ReplicaScan {
    /// What that scan was based on: the revisions of the directory and of the load scheduler, and
    /// the highest version of the rows that announced weight versions.
    inputs: (u64, u64, u64),
    /// When the next scan is due if the inputs do not change.
    due: Instant,
    /// The earliest time of the next scan, even if the inputs change.
    earliest: Instant,
}

impl Coordinator {
    /// Scans all replicas: starts the weight loads that are due and updates the planner.
    pub(super) fn scan_replicas(self: &Rc<Self>, service: &Service, engine: &Engine) {
        let now = clock::now();
        let last = self.replica_scan.get();
        let inputs = (
            self.context.cluster.directory().revision(),
            self.loads.scheduler().revision(),
            self.context.cluster.newest_row_version(),
        );
        if now < last.earliest || (now < last.due && inputs == last.inputs) {
            return;
        }
        let began = std::time::Instant::now();
        let batches = self.batches.borrow();
        let single_version = batches.values().any(|running| running.batch.single_version);
        drop(batches);
        self.loads.start_due(
            &self.context,
            &self.planner,
            service,
            engine,
            single_version,
            &self.new_txn(),
        );
        self.sync_replicas(service, engine);
        self.replica_scan.set(ReplicaScan {
            inputs: (inputs.0, self.loads.scheduler().revision(), inputs.2),
            due: now + MAX_ROUND_INTERVAL,
            earliest: now + began.elapsed() * PAUSE_FACTOR,
        });
    }

    fn sync_replicas(&self, service: &Service, engine: &Engine) {
        let directory = self.context.cluster.directory();
        let scheduler = self.loads.scheduler();
        let mut planner = self.planner.borrow_mut();
        for (replica, entry) in directory.ready_replicas(&self.service) {
            let versions = engine.models.iter().filter_map(|model| {
                let version = scheduler.version(replica, model, entry.version(model))?;
                Some((model.clone(), version))
            });
            let view = ReplicaState {
                slots: service.usable_slots(entry.slots),
                kv_capacity_tokens: engine.kv_capacity_tokens,
                versions: versions.collect(),
                reloading: scheduler.loading_models(replica).to_vec(),
            };
            planner.set_replica(replica, view);
        }
    }

    /// Removes the replicas that don't accept work any more from the planner. It does not wait for
    /// the next scan, so that no item is placed on them until then.
    pub(super) fn remove_leaving(&self) {
        let directory = self.context.cluster.directory();
        let revision = directory.revision();
        if self.planner_revision.replace(revision) == revision {
            return;
        }
        self.planner.borrow_mut().retain_replicas(|id| {
            let entry = directory.get(id);
            entry.is_some_and(|entry| {
                entry.service == self.service && directory.accepts_work(id, entry.born_ms)
            })
        });
    }
}
