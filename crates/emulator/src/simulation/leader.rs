//! The leader's part of the simulation: batches, planning and ordering weight loads.

use super::{PendingResult, Simulation, MAX_ATTEMPTS};
use crate::engine::{Engine, Request, WeightLoad};
use dogwoodlb_batch::{Action, ItemText, NewBatch, ReplicaState, RunEnd, WorkId};
use dogwoodlb_weights::{ModelDemand, Replica};

impl Simulation<'_> {
    /// Opens the batch of a step and restores the saved texts of its items.
    pub(super) fn open_batch(&mut self, trainer: usize, position: usize) {
        let state = &self.trainers[trainer];
        let step = &state.steps[position];
        let id = step.id.clone();
        self.planner.add_batch(&NewBatch {
            id: &id,
            organisation: None,
            model: &state.config.model,
            min_version: step.number.saturating_sub(1),
            single_version: false,
            target_groups: u32::try_from(step.target).unwrap_or(u32::MAX),
            max_attempts: MAX_ATTEMPTS,
            event_tokens: 1,
            items: &step.items(),
            finished: &step.listed,
        });
        for work in self.planner.unfinished(&id) {
            let index = self.planner.item_location(work).map(|(_, index)| index);
            let of_item = |text: &&ItemText| text.batch == id && Some(text.index) == index;
            if let Some(text) = self.checkpoints.iter().find(of_item) {
                self.planner.restore(work, text);
            }
        }
        let generated = self.planner.generated(&id);
        self.open_batches.insert(id, (trainer, position));
        for work in generated {
            self.queue_result(work);
        }
    }

    /// Marks an item as done and queues its result to be listed after `result_ms`.
    pub(super) fn queue_result(&mut self, work: WorkId) {
        let Some((batch, index)) = self.planner.item_location(work) else {
            return;
        };
        let Some(&(trainer, step)) = self.open_batches.get(batch) else {
            return;
        };
        let at_ms = self.now_ms + self.pool().result_ms;
        self.planner.mark_done(work);
        self.results.push(PendingResult {
            trainer,
            step,
            index,
            at_ms,
        });
    }

    /// Orders the loads that are due and passes the state of the replicas to the planner.
    pub(super) fn refresh_replicas(&mut self, has_store: bool) {
        let now = self.now();
        self.scheduler.set_models(&self.models);
        let newest = |model: &String| {
            let trainers = self.trainers.iter();
            let of_model = trainers.filter(|one| one.config.model == *model);
            of_model.map(|one| one.newest_version(self.now_ms)).max()
        };
        let demand = |model: &String| {
            let open = self.planner.demand(model);
            ModelDemand {
                newest: newest(model),
                min_version: self.planner.min_version(model).unwrap_or(0),
                has_waiting: self.planner.has_waiting(model),
                open_items: open.items,
                open_events: open.events,
            }
        };
        let demands: Vec<ModelDemand> = self.models.iter().map(demand).collect();
        let slots = self.pool().slots;
        let available = self.engines.iter().filter(|engine| !engine.is_down);
        let replicas: Vec<Replica<'_>> = available
            .map(|engine| Replica {
                name: &engine.name,
                slots,
                running: self.planner.run_count(&engine.name),
                announced: engine.versions.iter().copied().map(Some).collect(),
            })
            .collect();
        let loads = match has_store {
            true => self.scheduler.next_loads(&replicas, &demands, now),
            false => Vec::new(),
        };
        let pool = &self.scenario.pool;
        for load in loads {
            let engine = self.engines.iter_mut();
            let Some(engine) = engine.into_iter().find(|one| one.name == load.replica) else {
                continue;
            };
            self.figures.loads += 1;
            engine.load = Some(WeightLoad {
                version: load.version,
                model: load.model,
                starts_at_ms: self.now_ms + pool.order_ms,
                remaining_ms: pool.load_ms as f64,
                reported_at_ms: None,
            });
        }
        for engine in self.engines.iter().filter(|engine| !engine.is_down) {
            let versions = self
                .models
                .iter()
                .cloned()
                .zip(engine.versions.iter().copied());
            let state = ReplicaState {
                slots: pool.slots,
                kv_capacity_tokens: pool.memory_tokens,
                versions: versions.collect(),
                reloading: self.scheduler.loading_models(&engine.name).to_vec(),
            };
            self.planner.set_replica(&engine.name, state);
        }
        let engines = &self.engines;
        self.planner.retain_replicas(|name| {
            let mut available = engines.iter().filter(|engine| !engine.is_down);
            available.any(|engine| engine.name == name)
        });
    }

    pub(super) fn plan(&mut self) {
        // A planning round that stops runs starts none, so a second one fills the freed slots.
        for _ in 0..2 {
            let mut has_stopped = false;
            for action in self.planner.plan(self.now()) {
                match action {
                    Action::Start { work, replica } => self.start(work, &replica),
                    Action::Stop { work, .. } => {
                        has_stopped = true;
                        self.figures.runs_cut += 1;
                        let runs = |engine: &Engine| {
                            engine.requests.iter().any(|request| request.work == work)
                        };
                        match self.engines.iter().position(runs) {
                            Some(engine) => self.end_run(engine, work, RunEnd::Stopped),
                            None => {
                                self.planner.on_run_end(work, RunEnd::Stopped, self.now());
                            }
                        }
                    }
                }
            }
            if !has_stopped {
                return;
            }
        }
    }

    fn start(&mut self, work: WorkId, replica: &str) {
        let done = self.planner.progress(work).map_or(0, |one| one.last_event);
        let location = self.planner.item_location(work);
        let location =
            location.and_then(|(batch, index)| Some((*self.open_batches.get(batch)?, index)));
        let engine = self.engines.iter_mut().find(|one| one.name == replica);
        let (Some(((trainer, step), index)), Some(engine)) = (location, engine) else {
            self.planner.on_run_end(work, RunEnd::Refused, self.now());
            return;
        };
        let state = &self.trainers[trainer];
        let left = state.steps[step].events(index).saturating_sub(done);
        let pool = &self.scenario.pool;
        let tokens = state.config.prompt_tokens + done * pool.event_tokens;
        self.figures.runs += 1;
        let mut models = self.models.iter();
        let model = models.position(|model| *model == state.config.model);
        let request = Request::new(work, model.unwrap_or_default(), tokens, left, pool);
        engine.requests.push(request);
    }
}
