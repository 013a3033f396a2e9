/// The weights of one model on one replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holding {
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
pub struct Wish {
    /// The newest version that was named.
    pub newest: u64,
    /// The oldest version that the work at hand accepts.
    pub min_version: u64,
    /// Whether work waits for a replica.
    pub waiting: bool,
    /// The replicas that may change weights at a time.
    pub at_once: usize,
    /// The loads of the newest version that cost nothing.
    pub free_loads: usize,
    /// The loads of the newest version so far.
    pub loads: usize,
}

/// Returns the replicas that are to load the newest version now, in this order.
///
/// A replica that is one version behind serves the current step but not the next one. So those
/// that are further behind load at once, half of all are kept at the newest version, and the
/// rest loads while no work waits.
pub fn plan(holdings: &[Holding], wish: &Wish) -> Vec<String> {
    let busy = holdings.iter().filter(|one| one.busy).count();
    let mut room = wish.at_once.saturating_sub(busy);
    let mut behind: Vec<&Holding> = holdings
        .iter()
        .filter(|one| !one.busy && one.version < wish.newest)
        .collect();
    behind.sort_by_key(|one| (one.version, one.running, one.replica.clone()));
    let mut newest = holdings.len()
        - holdings
            .iter()
            .filter(|one| one.version < wish.newest)
            .count();
    newest += holdings
        .iter()
        .filter(|one| one.busy && one.version < wish.newest)
        .count();
    let mut loads = wish.loads;
    let mut chosen = Vec::new();
    for holding in behind {
        if room == 0 {
            break;
        }
        let useless = holding.version < wish.min_version || holding.version + 1 < wish.newest;
        let first_half = newest * 2 < holdings.len();
        let spare = !wish.waiting && loads < wish.free_loads;
        if useless || first_half || spare {
            chosen.push(holding.replica.clone());
            room -= 1;
            newest += 1;
            loads += 1;
        }
    }
    chosen
}
