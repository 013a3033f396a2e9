//! The look at all replicas: the loads that are due, and what the planner knows of the replicas.

use super::{Coordinator, TICK};
use crate::clock;
use dogwoodlb_batch::ReplicaState;
use dogwoodlb_config::Engine;
use dogwoodlb_types::Instant;
use std::rc::Rc;

/// After a look the next one waits for this many times what it took, so that a leader of many
/// replicas has time for its streams.
const PAUSE: u32 = 20;

/// The last look at all replicas.
#[derive(Clone, Copy, Default)]
pub(super) struct Survey {
    /// What was known then: the revisions of the directory and of the loads, and the row of
    /// the last version that was named.
    seen: (u64, u64, u64),
    /// When the next one is due if nothing changes.
    due: Instant,
    /// When the next one may be, whatever changes.
    earliest: Instant,
}

impl Coordinator {
    /// Looks at all replicas: orders the loads that are due and tells the planner.
    pub(super) fn survey(self: &Rc<Self>, engine: &Engine) {
        let now = clock::now();
        let last = self.survey.get();
        let seen = (
            self.tools.known.directory().revision(),
            self.loads.scheduler().revision(),
            self.tools.known.named_row(),
        );
        if now < last.earliest || (now < last.due && seen == last.seen) {
            return;
        }
        let began = std::time::Instant::now();
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
        self.sync_replicas(engine);
        self.survey.set(Survey {
            seen: (seen.0, self.loads.scheduler().revision(), seen.2),
            due: now + TICK,
            earliest: now + began.elapsed() * PAUSE,
        });
    }

    fn sync_replicas(&self, engine: &Engine) {
        let directory = self.tools.known.directory();
        let scheduler = self.loads.scheduler();
        let mut planner = self.planner.borrow_mut();
        for (replica, entry) in directory.ready_replicas(&self.service) {
            let versions = engine.models.iter().filter_map(|model| {
                let version = scheduler.version(replica, model, entry.version(model))?;
                Some((model.clone(), version))
            });
            let view = ReplicaState {
                slots: entry.slots,
                memory_tokens: engine.memory_tokens,
                versions: versions.collect(),
                reloading: scheduler.loading_models(replica).to_vec(),
            };
            planner.set_replica(replica, view);
        }
        planner.retain_replicas(|id| {
            let entry = directory.get(id);
            entry.is_some_and(|entry| entry.service == self.service && entry.is_ready())
        });
    }
}
