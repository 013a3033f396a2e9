use crate::{
    interleave_loads, plan_loads, Candidate, LoadGoal, LoadReason, LoadedWeights, ModelAssignments,
    PlannedLoad,
};
use dogwoodlb_types::Instant;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// One in this many replicas may load weights at the same time, but at least
/// [`MIN_CONCURRENT_LOADS`].
const CONCURRENT_LOAD_DIVISOR: usize = 5;
const MIN_CONCURRENT_LOADS: usize = 2;
/// The number of slots to provide per open item: a replica is faster with half of its slots free,
/// and some replicas fail.
const SLOTS_PER_ITEM: usize = 2;
/// The demand that a model counts with at least, as a share of the mean demand, so that its next
/// step finds replicas.
const MIN_DEMAND_SHARE: f64 = 0.5;
/// How long the peak demand of a model is retained, so that the pause between two steps does not
/// count as a drop in demand.
const PEAK_DEMAND_WINDOW: Duration = Duration::from_secs(15);

/// The current state of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica<'a> {
    /// Its name.
    pub name: &'a str,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The number of runs on it.
    pub running: u32,
    /// The versions in its directory entry, for each model of the [`Scheduler`].
    pub announced: Vec<Option<u64>>,
}

/// The demand for one model.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ModelDemand {
    /// The newest published version.
    pub newest: Option<u64>,
    /// The oldest version that the open batches accept.
    pub min_version: u64,
    /// Whether items wait for a replica.
    pub has_waiting: bool,
    /// The number of items whose text is not complete.
    pub open_items: usize,
    /// The number of events that these items are expected to need.
    pub open_events: u64,
}

/// A load to order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Load {
    /// The replica.
    pub replica: String,
    /// The index of the model.
    pub model: usize,
    /// The version.
    pub version: u64,
}

/// The highest value of a demand within [`PEAK_DEMAND_WINDOW`].
#[derive(Clone, Copy, Debug, Default)]
struct PeakDemand {
    value: u64,
    until: Instant,
}

impl PeakDemand {
    /// Records the current value and returns the peak.
    fn observe(&mut self, value: u64, now: Instant) -> u64 {
        if value >= self.value || self.until <= now {
            let until = now + PEAK_DEMAND_WINDOW;
            *self = Self { value, until };
        }
        self.value
    }
}

/// The load count and the peak demands of one model.
#[derive(Clone, Debug, Default)]
struct ModelState {
    /// The newest version and the number of its loads so far.
    newest_loads: (u64, usize),
    peak_items: PeakDemand,
    peak_events: PeakDemand,
}

/// Schedules the loads of weights on the replicas of a service, and tracks the loaded versions.
#[derive(Debug, Default)]
pub struct Scheduler {
    models: Vec<(String, ModelState)>,
    /// The versions that replicas reported or that responses showed, by replica.
    observed: BTreeMap<String, BTreeMap<String, u64>>,
    /// The models with a pending load order, by replica.
    pending_orders: BTreeMap<String, Vec<String>>,
    assignments: ModelAssignments,
    /// The time from which a replica may be ordered to load again, after a failure.
    retry_at: BTreeMap<String, Instant>,
    revision: u64,
}

impl Scheduler {
    /// Sets the models of the service.
    pub fn set_models(&mut self, names: &[String]) {
        let is_same = self.models.iter().map(|(name, _)| name).eq(names);
        if !is_same {
            let model = |name: &String| (name.clone(), ModelState::default());
            self.models = names.iter().map(model).collect();
        }
    }

    /// Returns a number that grows whenever a version or an order changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the version of a model on a replica whose directory entry shows `announced`.
    pub fn version(&self, replica: &str, model: &str, announced: Option<u64>) -> Option<u64> {
        let models = self.observed.get(replica);
        let observed = models.and_then(|models| models.get(model));
        observed.copied().max(announced)
    }

    /// Returns the models that a replica is loading; it accepts no new runs of these.
    pub fn loading_models(&self, replica: &str) -> &[String] {
        self.pending_orders.get(replica).map_or(&[], Vec::as_slice)
    }

    /// Records the version of a model that a report or a response showed.
    pub fn on_version(&mut self, replica: &str, model: &str, version: u64) {
        let models = self.observed.entry(replica.to_owned()).or_default();
        models.insert(model.to_owned(), version);
        self.revision += 1;
    }

    /// Records the end of an order: `Ok` with the version that is now loaded, or `Err` with the
    /// time before which the replica is not ordered again.
    pub fn on_load_end(&mut self, replica: &str, model: &str, end: Result<u64, Instant>) {
        match end {
            Ok(version) => self.on_version(replica, model, version),
            Err(retry_at) => {
                self.retry_at.insert(replica.to_owned(), retry_at);
            }
        }
        if let Some(models) = self.pending_orders.get_mut(replica) {
            models.retain(|known| known != model);
            if models.is_empty() {
                self.pending_orders.remove(replica);
            }
        }
        self.revision += 1;
    }

    /// Returns the loads to be ordered now. Each counts as pending until
    /// [`on_load_end`](Self::on_load_end) is called.
    ///
    /// `demands` must have one element per model.
    pub fn next_loads(
        &mut self,
        replicas: &[Replica<'_>],
        demands: &[ModelDemand],
        now: Instant,
    ) -> Vec<Load> {
        self.assign(replicas, demands, now);
        let mut planned = Vec::new();
        for index in 0..self.models.len() {
            let demand = demands.get(index).copied().unwrap_or_default();
            planned.push(self.plan_model(index, replicas, &demand, now));
        }
        let max_concurrent = (replicas.len() / CONCURRENT_LOAD_DIVISOR).max(MIN_CONCURRENT_LOADS);
        let is_busy = |replica: &&Replica<'_>| self.pending_orders.contains_key(replica.name);
        let busy = replicas.iter().filter(is_busy).count();
        let mut loads = Vec::new();
        for (model, replica) in interleave_loads(&planned, max_concurrent.saturating_sub(busy)) {
            let Some(version) = demands.get(model).and_then(|demand| demand.newest) else {
                continue;
            };
            let (name, state) = &mut self.models[model];
            state.newest_loads.1 += 1;
            let pending_orders = self.pending_orders.entry(replica.clone()).or_default();
            pending_orders.push(name.clone());
            self.revision += 1;
            loads.push(Load {
                replica,
                model,
                version,
            });
        }
        loads
    }

    /// Assigns the replicas to the models in proportion to their recent peak demand. With equal
    /// shares, the items of a model with long steps wait while replicas of the others are free.
    fn assign(&mut self, replicas: &[Replica<'_>], demands: &[ModelDemand], now: Instant) {
        let lag = |replica: &Replica<'_>, index: usize| {
            let newest = demands
                .get(index)
                .and_then(|demand| demand.newest)
                .unwrap_or(0);
            let version = self.loaded_version(replica, index);
            version.map_or(u64::MAX, |version| newest.saturating_sub(version))
        };
        let candidates: Vec<Candidate> = replicas
            .iter()
            .map(|replica| Candidate {
                replica: replica.name.to_owned(),
                lags: (0..self.models.len())
                    .map(|index| lag(replica, index))
                    .collect(),
            })
            .collect();
        let shares = self.demand_shares(demands, now);
        self.assignments.assign(&candidates, &shares);
    }

    fn demand_shares(&mut self, demands: &[ModelDemand], now: Instant) -> Vec<f64> {
        let models = self.models.iter_mut().zip(demands);
        let peaks: Vec<f64> = models
            .map(|((_, model), demand)| model.peak_events.observe(demand.open_events, now) as f64)
            .collect();
        let mean = peaks.iter().sum::<f64>() / peaks.len().max(1) as f64;
        let min = (mean * MIN_DEMAND_SHARE).max(1.0);
        peaks.into_iter().map(|peak| peak.max(min)).collect()
    }

    fn loaded_version(&self, replica: &Replica<'_>, index: usize) -> Option<u64> {
        let announced = replica.announced.get(index).copied().flatten();
        self.version(replica.name, &self.models[index].0, announced)
    }

    fn plan_model(
        &mut self,
        index: usize,
        replicas: &[Replica<'_>],
        demand: &ModelDemand,
        now: Instant,
    ) -> Vec<PlannedLoad> {
        let Some(newest) = demand.newest else {
            return Vec::new();
        };
        let needed = self.needed_replicas(index, demand.open_items, replicas, now);
        let assigned = replicas
            .iter()
            .filter(|replica| self.assignments.assigned_model(replica.name) == Some(index));
        let loaded: Vec<LoadedWeights> = assigned
            .filter_map(|replica| self.loaded_weights(index, replica, newest, now))
            .collect();
        // Without demand, consider the replicas that could serve the last step.
        let serves_last_step =
            |weights: &&LoadedWeights| newest.saturating_sub(weights.version) <= 1;
        let needed = match needed {
            0 => loaded
                .iter()
                .filter(serves_last_step)
                .count()
                .max(MIN_CONCURRENT_LOADS),
            needed => needed,
        };
        let max_idle_loads = replicas.len() / self.models.len().max(1);
        let newest_loads = &mut self.models[index].1.newest_loads;
        if newest_loads.0 != newest {
            *newest_loads = (newest, 0);
        }
        let goal = LoadGoal {
            newest,
            min_version: demand.min_version,
            has_waiting: demand.has_waiting,
            max_idle_loads,
            load_count: newest_loads.1,
            needed_replicas: needed,
        };
        let planned = plan_loads(&loaded, &goal);
        if planned.is_empty() && demand.has_waiting {
            return self.plan_unserved(index, replicas, &goal, now);
        }
        planned
    }

    /// Plans one load, on any replica, of a model whose waiting items no replica can run. This is so
    /// if there are fewer replicas than models, or if none of the assigned replicas can be ordered
    /// to load now.
    fn plan_unserved(
        &self,
        index: usize,
        replicas: &[Replica<'_>],
        goal: &LoadGoal,
        now: Instant,
    ) -> Vec<PlannedLoad> {
        let is_served = replicas.iter().any(|replica| {
            let version = self.loaded_version(replica, index);
            version.is_some_and(|version| (goal.min_version..=goal.newest).contains(&version))
                || self
                    .loading_models(replica.name)
                    .contains(&self.models[index].0)
        });
        if is_served {
            return Vec::new();
        }
        let usable = |weights: &LoadedWeights| !weights.busy && weights.version < goal.newest;
        let weights = replicas
            .iter()
            .filter_map(|replica| self.loaded_weights(index, replica, goal.newest, now));
        let usable = weights.filter(usable);
        let idlest = usable.min_by_key(|weights| (weights.running, Reverse(weights.version)));
        let load = idlest.map(|weights| PlannedLoad {
            replica: weights.replica,
            reason: LoadReason::TooOld,
        });
        load.into_iter().collect()
    }

    /// Returns the number of replicas that the peak demand of a model needs; 0 without demand.
    fn needed_replicas(
        &mut self,
        index: usize,
        items: usize,
        replicas: &[Replica<'_>],
        now: Instant,
    ) -> usize {
        let peak = self.models[index].1.peak_items.observe(items as u64, now);
        let wanted_slots = peak as usize * SLOTS_PER_ITEM;
        let slots = replicas.iter().map(|replica| replica.slots as usize);
        let slots_per_replica = (slots.sum::<usize>() / replicas.len().max(1)).max(1);
        wanted_slots.div_ceil(slots_per_replica)
    }

    /// Returns the loaded weights of a model on a replica, or `None` if their version was never
    /// announced.
    fn loaded_weights(
        &self,
        index: usize,
        replica: &Replica<'_>,
        newest: u64,
        now: Instant,
    ) -> Option<LoadedWeights> {
        let version = self.loaded_version(replica, index)?;
        if version > newest {
            return None;
        }
        let retry_at = self.retry_at.get(replica.name);
        let is_in_backoff = retry_at.is_some_and(|at| now < *at);
        // A replica gets one order at a time, whatever the model.
        let is_busy = self.pending_orders.contains_key(replica.name);
        Some(LoadedWeights {
            replica: replica.name.to_owned(),
            version,
            busy: is_busy || (is_in_backoff && version < newest),
            running: replica.running as usize,
        })
    }
}
