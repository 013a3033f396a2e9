use crate::{
    interleave_loads, plan_loads, Candidate, LoadGoal, LoadedWeights, ModelAssignments, PlannedLoad,
};
use dogwoodlb_types::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// One in this many replicas may change weights at a time, but two in any case.
const AT_ONCE_SHARE: usize = 5;
const AT_ONCE: usize = 2;
/// The slots that are kept for each item of the work at hand: a replica is faster with half of
/// its slots free, and some replicas fail.
const SLOTS_PER_ITEM: usize = 2;
/// How long the most work of a model counts, so that the pause between two steps does not.
const DEMAND_HOLD: Duration = Duration::from_secs(15);

/// A replica as it is now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica<'a> {
    /// Its name.
    pub name: &'a str,
    /// The requests that it runs at a time.
    pub slots: u32,
    /// The runs on it.
    pub running: u32,
    /// The versions that its entry shows, for each model of the [`Scheduler`].
    pub announced: Vec<Option<u64>>,
}

/// The work for one model.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ModelDemand {
    /// The newest version that was named.
    pub newest: Option<u64>,
    /// The oldest version that the open batches accept.
    pub min_version: u64,
    /// Whether items wait for a replica.
    pub waiting: bool,
    /// The items that have no whole text yet.
    pub items: usize,
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

/// The most items of a model that were open lately.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    items: usize,
    until: Instant,
}

/// What is known of one model.
#[derive(Clone, Debug, Default)]
struct Model {
    /// The loads of the newest version.
    loads: (u64, usize),
    demand: Demand,
}

/// Decides which replicas of a service load which weights, and knows what they hold.
#[derive(Debug, Default)]
pub struct Scheduler {
    models: Vec<(String, Model)>,
    /// Versions that replicas reported or that answers showed, by replica.
    observed: BTreeMap<String, BTreeMap<String, u64>>,
    /// The models with an order under way, by replica.
    closed: BTreeMap<String, Vec<String>>,
    homes: ModelAssignments,
    /// When a replica is tried again.
    not_before: BTreeMap<String, Instant>,
    revision: u64,
}

impl Scheduler {
    /// Sets the models of the service.
    pub fn set_models(&mut self, names: &[String]) {
        let is_same = self.models.iter().map(|(name, _)| name).eq(names);
        if !is_same {
            let model = |name: &String| (name.clone(), Model::default());
            self.models = names.iter().map(model).collect();
        }
    }

    /// Returns a number that grows whenever a version or an order changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the version of a model on a replica, of which its entry shows `announced`.
    pub fn version(&self, replica: &str, model: &str, announced: Option<u64>) -> Option<u64> {
        let models = self.observed.get(replica);
        let observed = models.and_then(|models| models.get(model));
        observed.copied().max(announced)
    }

    /// Returns the models of a replica that take no new runs.
    pub fn loading_models(&self, replica: &str) -> &[String] {
        self.closed.get(replica).map_or(&[], Vec::as_slice)
    }

    /// Notes the version that a report or an answer showed.
    pub fn on_version(&mut self, replica: &str, model: &str, version: u64) {
        let models = self.observed.entry(replica.to_owned()).or_default();
        models.insert(model.to_owned(), version);
        self.revision += 1;
    }

    /// Takes in the end of an order: its version is held now, or the replica is not tried again
    /// before a moment.
    pub fn on_load_end(&mut self, replica: &str, model: &str, end: Result<u64, Instant>) {
        match end {
            Ok(version) => self.on_version(replica, model, version),
            Err(until) => {
                self.not_before.insert(replica.to_owned(), until);
            }
        }
        if let Some(models) = self.closed.get_mut(replica) {
            models.retain(|known| known != model);
            if models.is_empty() {
                self.closed.remove(replica);
            }
        }
        self.revision += 1;
    }

    /// Returns the loads that are due; they count as under way until [`on_load_end`](Self::on_load_end).
    ///
    /// `work` has an element for each model.
    pub fn next_loads(
        &mut self,
        replicas: &[Replica<'_>],
        work: &[ModelDemand],
        now: Instant,
    ) -> Vec<Load> {
        self.assign(replicas, work);
        let mut choices = Vec::new();
        for index in 0..self.models.len() {
            let one = work.get(index).copied().unwrap_or_default();
            choices.push(self.choices(index, replicas, &one, now));
        }
        let at_once = (replicas.len() / AT_ONCE_SHARE).max(AT_ONCE);
        let is_busy = |replica: &&Replica<'_>| self.closed.contains_key(replica.name);
        let busy = replicas.iter().filter(is_busy).count();
        let mut loads = Vec::new();
        for (model, replica) in interleave_loads(&choices, at_once.saturating_sub(busy)) {
            let Some(version) = work.get(model).and_then(|one| one.newest) else {
                continue;
            };
            let (name, state) = &mut self.models[model];
            state.loads.1 += 1;
            let closed = self.closed.entry(replica.clone()).or_default();
            closed.push(name.clone());
            self.revision += 1;
            loads.push(Load {
                replica,
                model,
                version,
            });
        }
        loads
    }

    /// Gives the replicas their home models.
    fn assign(&mut self, replicas: &[Replica<'_>], work: &[ModelDemand]) {
        let lag = |replica: &Replica<'_>, index: usize| {
            let newest = work.get(index).and_then(|one| one.newest).unwrap_or(0);
            let version = self.held(replica, index);
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
        let shares = vec![1.0; self.models.len()];
        self.homes.assign(&candidates, &shares);
    }

    fn held(&self, replica: &Replica<'_>, index: usize) -> Option<u64> {
        let announced = replica.announced.get(index).copied().flatten();
        self.version(replica.name, &self.models[index].0, announced)
    }

    fn choices(
        &mut self,
        index: usize,
        replicas: &[Replica<'_>],
        work: &ModelDemand,
        now: Instant,
    ) -> Vec<PlannedLoad> {
        let Some(newest) = work.newest else {
            return Vec::new();
        };
        let needed = self.needed(index, work.items, replicas, now);
        let holdings = self.holdings(index, replicas, newest, now);
        // Before any work was seen, those are kept that served the last step.
        let is_kept = |one: &&LoadedWeights| one.version + 1 >= newest;
        let needed = match needed {
            0 => holdings.iter().filter(is_kept).count().max(AT_ONCE),
            needed => needed,
        };
        let free_loads = replicas.len() / self.models.len().max(1);
        let loads = &mut self.models[index].1.loads;
        if loads.0 != newest {
            *loads = (newest, 0);
        }
        let wish = LoadGoal {
            newest,
            min_version: work.min_version,
            waiting: work.waiting,
            free_loads,
            loads: loads.1,
            needed,
        };
        plan_loads(&holdings, &wish)
    }

    /// Returns how many replicas the work of a model needs, from the most of it lately; 0 if
    /// there was none.
    fn needed(
        &mut self,
        index: usize,
        items: usize,
        replicas: &[Replica<'_>],
        now: Instant,
    ) -> usize {
        let demand = &mut self.models[index].1.demand;
        if items >= demand.items || demand.until <= now {
            let until = now + DEMAND_HOLD;
            *demand = Demand { items, until };
        }
        let wanted = demand.items * SLOTS_PER_ITEM;
        let slots = replicas.iter().map(|replica| replica.slots as usize);
        let per_replica = (slots.sum::<usize>() / replicas.len().max(1)).max(1);
        wanted.div_ceil(per_replica)
    }

    /// Returns what the replicas at home with a model hold of it.
    fn holdings(
        &self,
        index: usize,
        replicas: &[Replica<'_>],
        newest: u64,
        now: Instant,
    ) -> Vec<LoadedWeights> {
        let home = replicas.iter();
        let home = home.filter(|replica| self.homes.assigned_model(replica.name) == Some(index));
        let holding = |replica: &Replica<'_>| {
            let version = self.held(replica, index)?;
            let paused = self.not_before.get(replica.name);
            let is_paused = paused.is_some_and(|until| now < *until);
            // A replica that only loads for another model is still to load for this one.
            let is_busy = self.closed.contains_key(replica.name);
            Some(LoadedWeights {
                replica: replica.name.to_owned(),
                version,
                busy: is_busy || (is_paused && version < newest),
                running: replica.running as usize,
            })
        };
        home.filter_map(holding).collect()
    }
}
