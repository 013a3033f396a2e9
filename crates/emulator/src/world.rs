//! One run of a scenario.

use crate::engine::Engine;
use crate::report::{Figures, Run};
use crate::scenario::{Fault, Pool, Scenario};
use crate::trainer::Running;
use dogwoodlb_batch::{ItemText, Planner, RunEnd, WorkId};
use dogwoodlb_types::Instant;
use dogwoodlb_weights::Scheduler;
use std::collections::BTreeMap;

mod node;

/// The step of virtual time.
const TICK_MS: u64 = 2;
/// The node's time between two looks at what is due.
const LOOK_MS: u64 = 40;
/// How often the node writes unfinished texts down.
const CHECKPOINT_MS: u64 = 500;
/// The failed runs after which an item is given up; the emulated replicas never fail a run.
const MAX_ATTEMPTS: u32 = 3;

/// A text that is whole, and when its result is listed.
struct Outcome {
    trainer: usize,
    step: usize,
    index: u32,
    at_ms: u64,
}

struct World<'a> {
    scenario: &'a Scenario,
    now_ms: u64,
    engines: Vec<Engine>,
    trainers: Vec<Running<'a>>,
    models: Vec<String>,
    planner: Planner,
    scheduler: Scheduler,
    /// The step of each open batch, by trainer and position.
    open: BTreeMap<String, (usize, usize)>,
    results: Vec<Outcome>,
    saved: Vec<ItemText>,
    has_leader: bool,
    figures: Figures,
}

/// Plays a scenario with a seed.
pub fn play(scenario: &Scenario, seed: u64) -> Run {
    let mut world = World::new(scenario, seed);
    while world.now_ms < scenario.duration_ms {
        world.tick();
        world.now_ms += TICK_MS;
    }
    let steps: Vec<_> = world.trainers.iter().flat_map(Running::report).collect();
    let figures = world.figures.with_steps(&steps, scenario);
    Run {
        seed,
        figures,
        steps,
    }
}

impl<'a> World<'a> {
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
            change: None,
            is_gone: false,
            slowness: 1.0,
        };
        let trainers = scenario.trainers.iter().enumerate();
        Self {
            scenario,
            now_ms: 0,
            engines: (0..scenario.pool.replicas).map(engine).collect(),
            trainers: trainers
                .map(|(index, trainer)| Running::new(index, trainer, seed))
                .collect(),
            models,
            planner: Planner::default(),
            scheduler: Scheduler::default(),
            open: BTreeMap::new(),
            results: Vec::new(),
            saved: Vec::new(),
            has_leader: true,
            figures: Figures::default(),
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
                self.take_over();
            } else {
                self.lose_leader();
            }
        }
        self.run_engines();
        self.run_changes();
        if has_store {
            self.run_trainers();
        }
        if !self.has_leader {
            return;
        }
        if has_store {
            self.list();
        }
        if self.now_ms.is_multiple_of(LOOK_MS) {
            self.look(has_store);
            self.plan();
        }
        if self.now_ms.is_multiple_of(CHECKPOINT_MS) && has_store {
            let batches = self.open.keys();
            self.saved = batches
                .flat_map(|batch| self.planner.texts(batch, 1))
                .collect();
        }
    }

    /// Applies what goes wrong now; returns whether there are a leader and a store.
    fn apply_faults(&mut self) -> (bool, bool) {
        let (mut has_leader, mut has_store) = (true, true);
        let mut gone = 0;
        let mut slow = (0, 1.0);
        for fault in &self.scenario.faults {
            let (begin, end) = fault.window();
            if self.now_ms < begin || self.now_ms >= end {
                continue;
            }
            match *fault {
                Fault::LeaderLost { .. } => has_leader = false,
                Fault::StoreLost { .. } => has_store = false,
                Fault::ReplicasLost { count, .. } => gone += count as usize,
                Fault::ReplicasSlow { count, factor, .. } => slow = (count as usize, factor),
            }
        }
        let mut broken = Vec::new();
        let total = self.engines.len();
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let is_gone = index < gone;
            if is_gone && !engine.is_gone {
                broken.append(&mut engine.requests);
                engine.change = None;
            }
            engine.is_gone = is_gone;
            let is_slow = index >= total.saturating_sub(slow.0);
            engine.slowness = if is_slow { slow.1 } else { 1.0 };
        }
        let now = self.now();
        for request in broken {
            self.planner
                .on_run_end(request.work, RunEnd::Interrupted, now);
        }
        (has_leader, has_store)
    }

    fn lose_leader(&mut self) {
        for engine in &mut self.engines {
            self.figures.runs_cut += engine.requests.len() as u64;
            engine.requests.clear();
        }
        self.planner = Planner::default();
        self.scheduler = Scheduler::default();
    }

    fn take_over(&mut self) {
        let open: Vec<(String, (usize, usize))> =
            std::mem::take(&mut self.open).into_iter().collect();
        for (_, (trainer, step)) in open {
            self.open(trainer, step);
        }
    }

    fn run_engines(&mut self) {
        let now = self.now();
        for index in 0..self.engines.len() {
            let pool = &self.scenario.pool;
            let engine = &mut self.engines[index];
            if engine.is_gone || engine.requests.is_empty() {
                continue;
            }
            let events = engine.step(pool, self.now_ms, TICK_MS as f64);
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
                    self.end(index, work, RunEnd::Interrupted);
                }
            }
            let whole: Vec<WorkId> = {
                let requests = self.engines[index].requests.iter();
                let whole = requests.filter(|request| request.is_whole());
                whole.map(|request| request.work).collect()
            };
            for work in whole {
                self.end(index, work, RunEnd::Completed);
                self.score(work);
            }
        }
    }

    fn end(&mut self, engine: usize, work: WorkId, stop: RunEnd) {
        let requests = &mut self.engines[engine].requests;
        requests.retain(|request| request.work != work);
        self.planner.on_run_end(work, stop, self.now());
    }

    fn run_changes(&mut self) {
        let pool = &self.scenario.pool;
        let now_ms = self.now_ms;
        let loading = self.engines.iter().filter(|one| one.is_loading(now_ms));
        let loading = loading.count() as f64;
        let speed = (f64::from(pool.loads_at_speed) / loading.max(1.0)).min(1.0);
        for engine in &mut self.engines {
            let is_loading = engine.is_loading(now_ms);
            let Some(change) = &mut engine.change else {
                continue;
            };
            if is_loading {
                change.left_ms -= TICK_MS as f64 * speed;
                if change.left_ms <= 0.0 {
                    change.known_ms = Some(now_ms + pool.notice_ms);
                    engine.versions[change.model] = change.version;
                }
            }
            if change.known_ms.is_some_and(|at| at <= now_ms) {
                let end = Ok(change.version);
                let model = &self.models[change.model];
                self.scheduler.on_load_end(&engine.name, model, end);
                engine.change = None;
            }
        }
    }

    fn run_trainers(&mut self) {
        let now_ms = self.now_ms;
        for index in 0..self.trainers.len() {
            let steps = self.trainers[index].steps.iter().enumerate();
            let over = steps.filter(|(_, step)| step.ended_ms.is_none() && step.is_enough());
            let over: Vec<usize> = over.map(|(position, _)| position).collect();
            for position in over {
                self.trainers[index].end(position, now_ms);
                let id = self.trainers[index].steps[position].id.clone();
                self.planner.end_batch(&id, self.now());
                self.open.remove(&id);
            }
            let is_over = now_ms > self.scenario.last_submission_ms();
            if !is_over && self.trainers[index].submit(now_ms).is_some() {
                let position = self.trainers[index].steps.len() - 1;
                if self.has_leader {
                    self.open(index, position);
                } else {
                    let id = self.trainers[index].steps[position].id.clone();
                    self.open.insert(id, (index, position));
                }
            }
        }
    }

    fn list(&mut self) {
        let now_ms = self.now_ms;
        let due = |result: &mut Outcome| result.at_ms <= now_ms;
        for result in self.results.extract_if(.., due) {
            let step = &mut self.trainers[result.trainer].steps[result.step];
            step.list(result.index, now_ms);
        }
    }
}
