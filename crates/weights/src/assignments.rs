use std::collections::{BTreeMap, BTreeSet};

/// Which replica is kept fresh for which model.
///
/// Loads take turns, so that the replicas can't follow the versions of all models. Each
/// replica has one home model; it serves others as long as its old weights for them do.
#[derive(Clone, Debug, Default)]
pub struct ModelAssignments {
    homes: BTreeMap<String, usize>,
}

/// A replica that needs a home.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The replica.
    pub replica: String,
    /// How many versions it is behind, for each model.
    pub lags: Vec<u64>,
}

impl ModelAssignments {
    /// Gives each replica a home among the models, with as many replicas for each model as its
    /// share says. Assignments that exist are kept where possible; a new one is the model for which
    /// the replica is least behind.
    pub fn assign(&mut self, candidates: &[Candidate], shares: &[f64]) {
        let total: f64 = shares.iter().sum();
        if shares.is_empty() || total <= 0.0 {
            self.homes.clear();
            return;
        }
        let known: BTreeSet<&str> = candidates.iter().map(|one| &*one.replica).collect();
        self.homes
            .retain(|replica, model| known.contains(&**replica) && *model < shares.len());
        let wanted = quotas(candidates.len(), shares, total);
        let mut counts = vec![0; shares.len()];
        for model in self.homes.values() {
            counts[*model] += 1;
        }
        // A home is taken away only if its model has two too many, so that it rarely changes.
        let surplus: Vec<String> = self
            .homes
            .iter()
            .filter(|(_, model)| {
                let gives = counts[**model] > wanted[**model] + 1;
                counts[**model] -= usize::from(gives);
                gives
            })
            .map(|(replica, _)| replica.clone())
            .collect();
        for replica in surplus {
            self.homes.remove(&replica);
        }
        for candidate in candidates {
            if self.homes.contains_key(&candidate.replica) {
                continue;
            }
            let models = 0..shares.len();
            let lag = |model: &usize| candidate.lags.get(*model).copied().unwrap_or(u64::MAX);
            let best = models.min_by_key(|model| {
                let is_full = counts[*model] >= wanted[*model];
                let missing = wanted[*model].saturating_sub(counts[*model]);
                (is_full, lag(model), std::cmp::Reverse(missing))
            });
            if let Some(model) = best {
                counts[model] += 1;
                self.homes.insert(candidate.replica.clone(), model);
            }
        }
    }

    /// Returns the home of a replica, as the index of a model.
    pub fn assigned_model(&self, replica: &str) -> Option<usize> {
        self.homes.get(replica).copied()
    }
}

/// Shares out a number of replicas; the largest remainders get the rest.
fn quotas(count: usize, shares: &[f64], total: f64) -> Vec<usize> {
    let exact = |share: &f64| share * count as f64 / total;
    let mut wanted: Vec<usize> = shares.iter().map(|share| exact(share) as usize).collect();
    let mut order: Vec<usize> = (0..shares.len()).collect();
    order.sort_by(|a, b| {
        let rest = |model: usize| exact(&shares[model]).fract();
        rest(*b).total_cmp(&rest(*a))
    });
    let given: usize = wanted.iter().sum();
    for model in order.into_iter().cycle().take(count.saturating_sub(given)) {
        wanted[model] += 1;
    }
    wanted
}
