//! Orders weight loads on the replicas of a service.

use crate::clock;
use crate::context::NodeContext;
use dogwoodlb_batch::Planner;
use dogwoodlb_config::{Engine, Service};
use dogwoodlb_directory::Entry;
use dogwoodlb_external::store::Txn;
use dogwoodlb_types::Instant;
use dogwoodlb_weights::{ModelDemand, Replica, Scheduler};
use std::cell::{Ref, RefCell};
use std::rc::Rc;
use tokio::task::JoinSet;

mod load;

use load::Load;

/// The weight versions on the replicas of a service, and the loads in progress.
#[derive(Default)]
pub(crate) struct WeightLoads {
    scheduler: RefCell<Scheduler>,
    tasks: RefCell<JoinSet<()>>,
}

impl WeightLoads {
    /// Returns the scheduler, which holds the known weight versions.
    pub(crate) fn scheduler(&self) -> Ref<'_, Scheduler> {
        self.scheduler.borrow()
    }

    /// Records the weight version that a response stated.
    pub(crate) fn observe_version(&self, replica: &str, model: &str, version: u64) {
        self.scheduler
            .borrow_mut()
            .on_version(replica, model, version);
    }

    /// Records the end of a load: the loaded version, or the earliest time of the next attempt.
    fn finish(&self, replica: &str, model: &str, end: Result<u64, Instant>) {
        self.scheduler.borrow_mut().on_load_end(replica, model, end);
    }

    /// Cancels the loads in progress.
    pub(crate) fn cancel(&self) {
        self.tasks.borrow_mut().abort_all();
    }

    /// Starts the loads that are due. Their claims depend on the checks of `new_txn`.
    pub(crate) fn start_due(
        self: &Rc<Self>,
        context: &Rc<NodeContext>,
        planner: &RefCell<Planner>,
        service: &Service,
        engine: &Engine,
        single_version: bool,
        new_txn: &Txn,
    ) {
        let directory = context.cluster.directory();
        let planner = planner.borrow();
        let models = &engine.models;
        let replica = |(name, entry): (_, &Entry)| Replica {
            name,
            slots: service.usable_slots(entry.slots),
            running: planner.run_count(name),
            announced: models.iter().map(|model| entry.version(model)).collect(),
        };
        let replicas: Vec<Replica<'_>> = directory
            .ready_replicas(&service.name)
            .map(replica)
            .collect();
        let demand = |model: &String| {
            let open = planner.demand(model);
            ModelDemand {
                newest: context.cluster.newest_version(model),
                min_version: planner.min_version(model).unwrap_or(0),
                has_waiting: planner.has_waiting(model),
                open_items: open.items,
                open_events: open.events,
            }
        };
        let demands: Vec<ModelDemand> = models.iter().map(demand).collect();
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.set_models(models);
        let mut tasks = self.tasks.borrow_mut();
        while tasks.try_join_next().is_some() {}
        for due in scheduler.next_loads(&replicas, &demands, clock::now()) {
            let model = &models[due.model];
            let Some(entry) = directory.get(&due.replica) else {
                scheduler.on_load_end(&due.replica, model, Err(clock::now()));
                continue;
            };
            let load = Load {
                loads: self.clone(),
                context: context.clone(),
                address: entry.address,
                born_ms: entry.born_ms,
                replica: due.replica,
                model: model.clone(),
                version: due.version,
                finish_runs: single_version,
                new_txn: new_txn.clone(),
            };
            tasks.spawn_local(context.supervisor.supervise("weight_load", load.run()));
        }
    }
}
