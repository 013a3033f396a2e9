//! Brings the replicas of a service to new weight versions.

use crate::clock;
use crate::tools::Tools;
use dogwoodlb_batch::Planner;
use dogwoodlb_config::Engine;
use dogwoodlb_directory::Entry;
use dogwoodlb_types::Instant;
use dogwoodlb_weights::{plan, share, Candidate, Choice, Holding, Homes, Wish};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

mod load;

use load::Load;

/// One in this many replicas may change weights at a time, but two in any case.
const AT_ONCE_SHARE: usize = 5;
const AT_ONCE: usize = 2;
/// The slots that are kept for each item of the work at hand: a replica is faster with half of
/// its slots free, and some replicas fail.
const SLOTS_PER_ITEM: usize = 2;
/// How long the most work of a model counts, so that the pause between two steps does not.
const DEMAND_HOLD: Duration = Duration::from_secs(15);

/// Versions by replica and model.
type Versions = BTreeMap<String, BTreeMap<String, u64>>;

/// The most items of a model that were open lately.
#[derive(Clone, Copy)]
struct Demand {
    items: usize,
    until: Instant,
}

/// What the leader knows of the weights on the replicas of its service.
#[derive(Default)]
pub(crate) struct Loads {
    /// Versions that replicas reported or that answers showed.
    observed: RefCell<Versions>,
    /// The models with an order under way, by replica.
    closed: RefCell<BTreeMap<String, Vec<String>>>,
    /// The loads of each model's newest version.
    counts: RefCell<BTreeMap<String, (u64, usize)>>,
    /// Which replica is kept fresh for which model.
    homes: RefCell<Homes>,
    /// When a replica is tried again.
    not_before: RefCell<BTreeMap<String, Instant>>,
    demands: RefCell<BTreeMap<String, Demand>>,
    /// The number of changes so far.
    revision: Cell<u64>,
}

impl Loads {
    /// Returns a number that grows whenever a version or an order changes.
    pub(crate) fn revision(&self) -> u64 {
        self.revision.get()
    }

    fn change(&self) {
        self.revision.set(self.revision.get() + 1);
    }

    /// Returns the version of a model on a replica.
    pub(crate) fn version(&self, replica: &str, model: &str, entry: Option<u64>) -> Option<u64> {
        let observed = self.observed.borrow();
        let observed = observed.get(replica).and_then(|models| models.get(model));
        observed.copied().max(entry)
    }

    /// Returns the models of a replica that take no new runs.
    pub(crate) fn closed(&self, replica: &str) -> Vec<String> {
        let closed = self.closed.borrow();
        closed.get(replica).cloned().unwrap_or_default()
    }

    /// Notes the version that an answer showed.
    pub(crate) fn observe(&self, replica: &str, model: &str, version: u64) {
        let mut observed = self.observed.borrow_mut();
        let models = observed.entry(replica.to_owned()).or_default();
        models.insert(model.to_owned(), version);
        self.change();
    }

    fn close(&self, replica: &str, model: &str) {
        let mut closed = self.closed.borrow_mut();
        let models = closed.entry(replica.to_owned()).or_default();
        models.push(model.to_owned());
        self.change();
    }

    fn reopen(&self, replica: &str, model: &str) {
        let mut closed = self.closed.borrow_mut();
        if let Some(models) = closed.get_mut(replica) {
            models.retain(|known| known != model);
            if models.is_empty() {
                closed.remove(replica);
            }
        }
        self.change();
    }

    fn pause(&self, replica: &str, until: Instant) {
        let mut not_before = self.not_before.borrow_mut();
        not_before.insert(replica.to_owned(), until);
    }

    /// Starts the loads that are due.
    pub(crate) fn advance(
        self: &Rc<Self>,
        tools: &Rc<Tools>,
        planner: &RefCell<Planner>,
        service: &str,
        engine: &Engine,
        single_version: bool,
    ) {
        let directory = tools.known.directory();
        let usable = directory.usable(service);
        let replicas: Vec<Known<'_>> = usable
            .map(|(name, entry)| self.known(name, entry, planner))
            .collect();
        self.assign(tools, engine, &replicas);
        let choices: Vec<Vec<Choice>> = engine
            .models
            .iter()
            .enumerate()
            .map(|(index, model)| {
                let newest = tools.known.version(model);
                newest.map_or_else(Vec::new, |newest| {
                    let holdings = self.holdings(&replicas, index, model, newest);
                    let mut wish = self.wish(planner, model, newest, &replicas, engine);
                    // Before any work was seen, those are kept that served the last step.
                    let is_kept = |one: &&Holding| one.version + 1 >= newest;
                    let kept = holdings.iter().filter(is_kept).count();
                    wish.needed = match wish.needed {
                        0 => kept.max(AT_ONCE),
                        needed => needed,
                    };
                    plan(&holdings, &wish)
                })
            })
            .collect();
        let at_once = (replicas.len() / AT_ONCE_SHARE).max(AT_ONCE);
        let busy = replicas.iter().filter(|replica| replica.busy).count();
        for (index, replica) in share(&choices, at_once.saturating_sub(busy)) {
            let model = &engine.models[index];
            let entry = directory.get(&replica);
            let (Some(entry), Some(version)) = (entry, tools.known.version(model)) else {
                continue;
            };
            if let Some(count) = self.counts.borrow_mut().get_mut(model) {
                count.1 += 1;
            }
            self.close(&replica, model);
            let load = Load {
                loads: self.clone(),
                tools: tools.clone(),
                address: entry.address,
                replica,
                model: model.clone(),
                version,
                finish_runs: single_version,
            };
            tokio::task::spawn_local(load.run());
        }
    }

    /// Gives the replicas their home models.
    fn assign(&self, tools: &Tools, engine: &Engine, replicas: &[Known<'_>]) {
        let lag = |replica: &Known<'_>, model: &String| {
            let version = self.version(replica.name, model, replica.entry.version(model));
            let newest = tools.known.version(model).unwrap_or(0);
            version.map_or(u64::MAX, |version| newest.saturating_sub(version))
        };
        let candidates: Vec<Candidate> = replicas
            .iter()
            .map(|replica| Candidate {
                replica: replica.name.to_owned(),
                lags: engine
                    .models
                    .iter()
                    .map(|model| lag(replica, model))
                    .collect(),
            })
            .collect();
        let shares = vec![1.0; engine.models.len()];
        self.homes.borrow_mut().assign(&candidates, &shares);
    }

    fn wish(
        &self,
        planner: &RefCell<Planner>,
        model: &str,
        newest: u64,
        replicas: &[Known<'_>],
        engine: &Engine,
    ) -> Wish {
        let planner = planner.borrow();
        let needed = self.needed(model, planner.demand(model), replicas);
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(model.to_owned()).or_insert((newest, 0));
        if count.0 != newest {
            *count = (newest, 0);
        }
        Wish {
            newest,
            min_version: planner.min_version(model).unwrap_or(0),
            waiting: planner.has_waiting(model),
            free_loads: replicas.len() / engine.models.len().max(1),
            loads: count.1,
            needed,
        }
    }

    /// Returns how many replicas the work of a model needs, from the most of it lately; 0 if
    /// there was none.
    fn needed(&self, model: &str, items: usize, replicas: &[Known<'_>]) -> usize {
        let now = clock::now();
        let mut demands = self.demands.borrow_mut();
        let until = now + DEMAND_HOLD;
        let demand = demands
            .entry(model.to_owned())
            .or_insert(Demand { items, until });
        if items >= demand.items || demand.until <= now {
            *demand = Demand { items, until };
        }
        let slots = replicas.iter().map(|replica| replica.entry.slots as usize);
        let wanted = demand.items * SLOTS_PER_ITEM;
        let per_replica = (slots.sum::<usize>() / replicas.len().max(1)).max(1);
        wanted.div_ceil(per_replica)
    }

    fn known<'a>(&self, name: &'a str, entry: &'a Entry, planner: &RefCell<Planner>) -> Known<'a> {
        let not_before = self.not_before.borrow();
        let now = clock::now();
        Known {
            name,
            entry,
            busy: self.closed.borrow().contains_key(name),
            paused: not_before.get(name).is_some_and(|at| now < *at),
            running: planner.borrow().running(name) as usize,
        }
    }

    /// Returns what the replicas at home with a model hold of it.
    fn holdings(
        &self,
        replicas: &[Known<'_>],
        index: usize,
        model: &str,
        newest: u64,
    ) -> Vec<Holding> {
        let homes = self.homes.borrow();
        let home = replicas.iter();
        let home = home.filter(|replica| homes.home(replica.name) == Some(index));
        let holding = |replica: &Known<'_>| {
            let version = self.version(replica.name, model, replica.entry.version(model));
            Some(Holding {
                replica: replica.name.to_owned(),
                version: version?,
                // A replica that only loads for another model is still to load for this one.
                busy: replica.busy || (replica.paused && version? < newest),
                running: replica.running,
            })
        };
        home.filter_map(holding).collect()
    }
}

/// A replica as the loads see it.
struct Known<'a> {
    name: &'a str,
    entry: &'a Entry,
    /// Whether an order to it is under way.
    busy: bool,
    /// Whether an order failed lately.
    paused: bool,
    running: usize,
}
