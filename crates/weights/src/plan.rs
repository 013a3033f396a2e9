use std::collections::BTreeSet;

/// The weights of one model on one replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedWeights {
    /// The replica.
    pub replica: String,
    /// The version that it holds.
    pub version: u64,
    /// Whether it is loading weights of any model, or waits before it is ordered to load again.
    pub busy: bool,
    /// The number of runs of the model.
    pub running: usize,
}

/// The state that the replicas of a model should reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadGoal {
    /// The newest published version.
    pub newest: u64,
    /// The oldest version that the open batches accept.
    pub min_version: u64,
    /// Whether items wait for a replica.
    pub has_waiting: bool,
    /// The number of loads of the newest version up to which replicas load merely because no items
    /// wait.
    pub max_idle_loads: usize,
    /// The number of loads of the newest version so far.
    pub load_count: usize,
    /// The number of replicas that the open items need; the others keep their weights.
    pub needed_replicas: usize,
}

/// Why a replica should load a version, most urgent first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LoadReason {
    /// Its version is too old for the open batches or for the next step.
    TooOld,
    /// Fewer than half of the replicas hold the newest version.
    NewestShare,
    /// No items wait, and the limit on such loads is not reached.
    Idle,
}

/// A load to be started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedLoad {
    /// The replica.
    pub replica: String,
    /// The reason for the load.
    pub reason: LoadReason,
}

/// Returns the replicas that should load the newest version of a model, in order of urgency.
///
/// A replica that is one version behind can serve the current step but not the next one.
/// Replicas that are further behind therefore load at once, half of all replicas are kept at the
/// newest version, and the others load while no items wait. Only as many replicas as the
/// open items need are considered, those with the newest weights first.
pub fn plan_loads(replicas: &[LoadedWeights], goal: &LoadGoal) -> Vec<PlannedLoad> {
    let mut selected: Vec<&LoadedWeights> = replicas.iter().collect();
    selected.sort_by(|a, b| (b.version, b.busy, &a.replica).cmp(&(a.version, a.busy, &b.replica)));
    selected.truncate(goal.needed_replicas);
    let total = selected.len();
    let mut behind = selected;
    behind.retain(|weights| weights.version < goal.newest && !weights.busy);
    behind.sort_by_key(|weights| (weights.version, weights.running, &weights.replica));
    // Busy replicas count as up to date.
    let up_to_date = total - behind.len();
    let mut planned = Vec::new();
    for (position, weights) in behind.into_iter().enumerate() {
        let lag = goal.newest.saturating_sub(weights.version);
        let is_too_old = weights.version < goal.min_version || lag > 1;
        let reason = if is_too_old {
            LoadReason::TooOld
        } else if (up_to_date + position) * 2 < total {
            LoadReason::NewestShare
        } else if !goal.has_waiting && goal.load_count + position < goal.max_idle_loads {
            LoadReason::Idle
        } else {
            break;
        };
        let replica = weights.replica.clone();
        planned.push(PlannedLoad { replica, reason });
    }
    planned
}

/// Selects up to `limit` loads from the plans of all models: the most urgent first, and among
/// equally urgent ones one of each model in turn. Returns the index of the model and the replica.
pub fn interleave_loads(plans: &[Vec<PlannedLoad>], limit: usize) -> Vec<(usize, String)> {
    let mut all: Vec<(LoadReason, usize, usize)> = Vec::new();
    for (model, plan) in plans.iter().enumerate() {
        for (position, load) in plan.iter().enumerate() {
            all.push((load.reason, position, model));
        }
    }
    all.sort_unstable();
    let mut selected: Vec<(usize, String)> = Vec::new();
    let mut selected_replicas = BTreeSet::new();
    for (_, position, model) in all {
        let replica = &plans[model][position].replica;
        // A replica loads the weights of one model at a time.
        if selected.len() < limit && selected_replicas.insert(replica) {
            selected.push((model, replica.clone()));
        }
    }
    selected
}
