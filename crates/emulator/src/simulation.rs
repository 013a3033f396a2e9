//! The simulation of one run of a scenario.

use crate::engine::Engine;
use crate::report::{Metrics, Run};
use crate::scenario::{Fault, Pool, Scenario};
use crate::trainer::TrainerState;
use dogwoodlb_batch::{ItemText, Planner, RunEnd, WorkId};
use dogwoodlb_types::Instant;
use dogwoodlb_weights::Scheduler;
use std::collections::BTreeMap;

mod leader;

/// The increment of virtual time.
const TICK_MS: u64 = 2;
/// The interval at which the leader orders loads, updates the replicas and plans.
const REFRESH_INTERVAL_MS: u64 = 40;
/// The interval at which the leader saves unfinished texts.
const CHECKPOINT_INTERVAL_MS: u64 = 500;
/// The failed runs after which an item is abandoned. Simulated replicas never fail a run, so that
/// the value has no effect.
const MAX_ATTEMPTS: u32 = 3;

/// The result of a complete text that is not listed yet.
struct PendingResult {
    trainer: usize,
    step: usize,
    index: u32,
    at_ms: u64,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    now_ms: u64,
    engines: Vec<Engine>,
    trainers: Vec<TrainerState<'a>>,
    models: Vec<String>,
    planner: Planner,
    scheduler: Scheduler,
    /// The trainer and the position of the step of each open batch.
    open_batches: BTreeMap<String, (usize, usize)>,
    results: Vec<PendingResult>,
    checkpoints: Vec<ItemText>,
    has_leader: bool,
    figures: Metrics,
}

/// Simulates one run of a scenario with a seed.
pub fn simulate(scenario: &Scenario, seed: u64) -> Run {
    let mut simulation = Simulation::new(scenario, seed);
    while simulation.now_ms < scenario.duration_ms {
        simulation.tick();
        simulation.now_ms += TICK_MS;
    }
    let steps: Vec<_> = simulation
        .trainers
        .iter()
        .flat_map(TrainerState::report)
        .collect();
    let figures = simulation.figures.with_steps(&steps, scenario);
    Run {
        seed,
        figures,
        steps,
    }
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let mut models: Vec<String> = Vec::new();
        for trainer in &scenario.trainers {
            if !models.contains(&trainer.model) {
                models.push(trainer.model.clone());
            }
        }
        let engine = |number| Engine {
            name: format!("r{number:04}"),
            versions: vec![1; models.len()],
            requests: Vec::new(),
            load: None,
            is_down: false,
            slowdown: 1.0,
        };
        let trainers = scenario.trainers.iter().enumerate();
        Self {
            scenario,
            now_ms: 0,
            engines: (0..scenario.pool.replicas).map(engine).collect(),
            trainers: trainers
                .map(|(index, trainer)| TrainerState::new(index, trainer, seed))
                .collect(),
            models,
            planner: Planner::default(),
            scheduler: Scheduler::default(),
            open_batches: BTreeMap::new(),
            results: Vec::new(),
            checkpoints: Vec::new(),
            has_leader: true,
            figures: Metrics::default(),
        }
    }

    fn pool(&self) -> &'a Pool {
        &self.scenario.pool
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    fn tick(&mut self) {
        let (has_leader, has_store) = self.apply_faults();
        if has_leader != self.has_leader {
            self.has_leader = has_leader;
            if has_leader {
                self.reopen_batches();
            } else {
                self.stop_leader();
            }
        }
        self.advance_engines();
        self.advance_loads();
        if has_store {
            self.advance_trainers();
        }
        if !self.has_leader {
            return;
        }
        if has_store {
            self.list_results();
        }
        if self.now_ms.is_multiple_of(REFRESH_INTERVAL_MS) {
            self.refresh_replicas(has_store);
            self.plan();
        }
        if self.now_ms.is_multiple_of(CHECKPOINT_INTERVAL_MS) && has_store {
            let batches = self.open_batches.keys();
            self.checkpoints = batches
                .flat_map(|batch| self.planner.texts(batch, 1))
                .collect();
        }
    }

    /// Applies the current faults. Returns whether a leader and the store are available.
    fn apply_faults(&mut self) -> (bool, bool) {
        let (mut has_leader, mut has_store) = (true, true);
        let mut down_count = 0;
        let mut slow = (0, 1.0);
        for fault in &self.scenario.faults {
            let (begin, end) = fault.window();
            if self.now_ms < begin || self.now_ms >= end {
                continue;
            }
            match *fault {
                Fault::LeaderLost { .. } => has_leader = false,
                Fault::StoreLost { .. } => has_store = false,
                Fault::ReplicasLost { count, .. } => down_count += count as usize,
                Fault::ReplicasSlow { count, factor, .. } => slow = (count as usize, factor),
            }
        }
        let mut interrupted = Vec::new();
        let total = self.engines.len();
        let pool = self.pool();
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let is_down = index < down_count;
            if is_down && !engine.is_down {
                interrupted.append(&mut engine.requests);
                engine.load = None;
            }
            engine.is_down = is_down;
            let is_slow = index >= total.saturating_sub(slow.0);
            engine.slowdown = pool.slowdown(index) * if is_slow { slow.1 } else { 1.0 };
        }
        let now = self.now();
        for request in interrupted {
            self.planner
                .on_run_end(request.work, RunEnd::Interrupted, now);
        }
        (has_leader, has_store)
    }

    /// Ends all runs and drops the state that only the leader had.
    fn stop_leader(&mut self) {
        for engine in &mut self.engines {
            self.figures.runs_cut += engine.requests.len() as u64;
            engine.requests.clear();
        }
        self.planner = Planner::default();
        self.scheduler = Scheduler::default();
    }

    /// Lets the new leader open all batches again.
    fn reopen_batches(&mut self) {
        let open: Vec<(String, (usize, usize))> =
            std::mem::take(&mut self.open_batches).into_iter().collect();
        for (_, (trainer, step)) in open {
            self.open_batch(trainer, step);
        }
    }

    fn advance_engines(&mut self) {
        let now = self.now();
        for index in 0..self.engines.len() {
            let pool = &self.scenario.pool;
            let engine = &mut self.engines[index];
            if engine.is_down || engine.requests.is_empty() {
                continue;
            }
            let events = engine.advance(pool, self.now_ms, TICK_MS as f64);
            for work in events {
                let model = self.planner.model(work).map(str::to_owned);
                let model = self
                    .models
                    .iter()
                    .position(|name| Some(name) == model.as_ref());
                let version = model.map_or(0, |model| self.engines[index].versions[model]);
                let next = self
                    .planner
                    .progress(work)
                    .map_or(1, |one| one.last_event + 1);
                if !self.planner.on_event(work, next, "", version, now) {
                    self.end_run(index, work, RunEnd::Interrupted);
                }
            }
            let complete: Vec<WorkId> = {
                let requests = self.engines[index].requests.iter();
                let complete = requests.filter(|request| request.is_complete());
                complete.map(|request| request.work).collect()
            };
            for work in complete {
                self.end_run(index, work, RunEnd::Completed);
                if self.planner.is_generated(work) {
                    self.queue_result(work);
                }
            }
        }
    }

    fn end_run(&mut self, engine: usize, work: WorkId, stop: RunEnd) {
        let requests = &mut self.engines[engine].requests;
        requests.retain(|request| request.work != work);
        self.planner.on_run_end(work, stop, self.now());
    }

    fn advance_loads(&mut self) {
        let pool = &self.scenario.pool;
        let now_ms = self.now_ms;
        let loading = self.engines.iter();
        let loading = loading.filter(|one| one.loading_model(now_ms).is_some());
        let loading = loading.count() as f64;
        let speed = (f64::from(pool.loads_at_speed) / loading.max(1.0)).min(1.0);
        for engine in &mut self.engines {
            let is_loading = engine.loading_model(now_ms).is_some();
            let Some(load) = &mut engine.load else {
                continue;
            };
            if is_loading {
                load.remaining_ms -= TICK_MS as f64 * speed;
                if load.remaining_ms <= 0.0 {
                    load.reported_at_ms = Some(now_ms + pool.notice_ms);
                    engine.versions[load.model] = load.version;
                }
            }
            if load.reported_at_ms.is_some_and(|at| at <= now_ms) {
                let end = Ok(load.version);
                let model = &self.models[load.model];
                self.scheduler.on_load_end(&engine.name, model, end);
                engine.load = None;
            }
        }
    }

    fn advance_trainers(&mut self) {
        let now_ms = self.now_ms;
        for index in 0..self.trainers.len() {
            let steps = self.trainers[index].steps.iter().enumerate();
            let ended =
                steps.filter(|(_, step)| step.ended_ms.is_none() && step.has_enough_groups());
            let ended: Vec<usize> = ended.map(|(position, _)| position).collect();
            for position in ended {
                self.trainers[index].end_step(position, now_ms);
                let id = self.trainers[index].steps[position].id.clone();
                self.planner.end_batch(&id, self.now());
                self.open_batches.remove(&id);
            }
            let is_over = now_ms > self.scenario.last_submission_ms();
            if !is_over && self.trainers[index].submit_if_due(now_ms).is_some() {
                let position = self.trainers[index].steps.len() - 1;
                if self.has_leader {
                    self.open_batch(index, position);
                } else {
                    let id = self.trainers[index].steps[position].id.clone();
                    self.open_batches.insert(id, (index, position));
                }
            }
        }
    }

    fn list_results(&mut self) {
        let now_ms = self.now_ms;
        let due = |result: &mut PendingResult| result.at_ms <= now_ms;
        for result in self.results.extract_if(.., due) {
            let step = &mut self.trainers[result.trainer].steps[result.step];
            step.list_result(result.index, now_ms);
        }
    }
}
