use std::collections::BTreeSet;

/// The weights of one model on one replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedWeights {
    /// The replica.
    pub replica: String,
    /// The version that it holds.
    pub version: u64,
    /// Whether it is changing weights, of any model.
    pub busy: bool,
    /// The runs of the model.
    pub running: usize,
}

/// What is wanted of a model's replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadGoal {
    /// The newest version that was named.
    pub newest: u64,
    /// The oldest version that the work at hand accepts.
    pub min_version: u64,
    /// Whether work waits for a replica.
    pub waiting: bool,
    /// The loads of the newest version that cost nothing.
    pub free_loads: usize,
    /// The loads of the newest version so far.
    pub loads: usize,
    /// The replicas that the work needs; others are left with the weights that they have.
    pub needed: usize,
}

/// Why a replica is to load, the most urgent reason first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LoadReason {
    /// It can't serve the work at hand.
    TooOld,
    /// Half of the replicas are kept at the newest version.
    NewestShare,
    /// It has nothing else to do, and the load costs nothing.
    Idle,
}

/// A load that is due.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedLoad {
    /// The replica.
    pub replica: String,
    /// Why.
    pub reason: LoadReason,
}

/// Returns the replicas that are to load the newest version of a model, in this order.
///
/// A replica that is one version behind serves the current step but not the next one. So those
/// that are further behind load at once, half of all are kept at the newest version, and the
/// rest loads while no work waits. All this concerns only as many replicas as the work needs,
/// those with the newest weights first.
pub fn plan_loads(holdings: &[LoadedWeights], wish: &LoadGoal) -> Vec<PlannedLoad> {
    let mut kept: Vec<&LoadedWeights> = holdings.iter().collect();
    kept.sort_by(|a, b| (b.version, b.busy, &a.replica).cmp(&(a.version, a.busy, &b.replica)));
    kept.truncate(wish.needed);
    let total = kept.len();
    let mut behind = kept;
    behind.retain(|one| one.version < wish.newest && !one.busy);
    behind.sort_by_key(|one| (one.version, one.running, &one.replica));
    // Those that are loading count as done.
    let done = total - behind.len();
    let mut choices = Vec::new();
    for (turn, holding) in behind.into_iter().enumerate() {
        let useless = holding.version < wish.min_version || holding.version + 1 < wish.newest;
        let reason = if useless {
            LoadReason::TooOld
        } else if (done + turn) * 2 < total {
            LoadReason::NewestShare
        } else if !wish.waiting && wish.loads + turn < wish.free_loads {
            LoadReason::Idle
        } else {
            break;
        };
        let replica = holding.replica.clone();
        choices.push(PlannedLoad { replica, reason });
    }
    choices
}

/// Shares out the loads that may begin now among the models: the most urgent first, and among
/// equals one of each model in turn. Returns the index of the model and the replica.
pub fn interleave_loads(choices: &[Vec<PlannedLoad>], room: usize) -> Vec<(usize, String)> {
    let mut all: Vec<(LoadReason, usize, usize)> = Vec::new();
    for (model, choices) in choices.iter().enumerate() {
        for (turn, choice) in choices.iter().enumerate() {
            all.push((choice.reason, turn, model));
        }
    }
    all.sort_unstable();
    let mut begun: Vec<(usize, String)> = Vec::new();
    let mut taken = BTreeSet::new();
    for (_, turn, model) in all {
        let replica = &choices[model][turn].replica;
        // A replica changes the weights of one model at a time.
        if begun.len() < room && taken.insert(replica) {
            begun.push((model, replica.clone()));
        }
    }
    begun
}
