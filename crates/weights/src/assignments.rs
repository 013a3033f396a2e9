use std::collections::{BTreeMap, BTreeSet};

/// The model that each replica is assigned to.
///
/// A replica loads the weights of one model at a time, so it cannot follow the versions of all
/// models. It loads new versions of its assigned model, and serves other models as long as the
/// weights that it holds for them are recent enough.
#[derive(Clone, Debug, Default)]
pub struct ModelAssignments {
    /// The index of the model, by replica.
    models: BTreeMap<String, usize>,
}

/// A replica to be assigned to a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The replica.
    pub replica: String,
    /// The number of versions by which it is behind, for each model.
    pub lags: Vec<u64>,
}

impl ModelAssignments {
    /// Assigns each replica to a model, so that the number of replicas of a model is proportional
    /// to its share. Existing assignments are kept where possible; a new replica is assigned to the
    /// model for which it is least behind. Each model has a replica if there are enough replicas.
    pub fn assign(&mut self, candidates: &[Candidate], shares: &[f64]) {
        let total: f64 = shares.iter().sum();
        if shares.is_empty() || total <= 0.0 {
            self.models.clear();
            return;
        }
        let known: BTreeSet<&str> = candidates
            .iter()
            .map(|candidate| &*candidate.replica)
            .collect();
        self.models
            .retain(|replica, model| known.contains(&**replica) && *model < shares.len());
        let quotas = proportional_quotas(candidates.len(), shares, total);
        let mut counts = vec![0; shares.len()];
        for model in self.models.values() {
            counts[*model] += 1;
        }
        // An assignment is revoked only if its model exceeds its quota by two or more, so that
        // assignments rarely change.
        let surplus: Vec<String> = self
            .models
            .iter()
            .filter(|(_, model)| {
                let has_surplus = counts[**model] > quotas[**model] + 1;
                counts[**model] -= usize::from(has_surplus);
                has_surplus
            })
            .map(|(replica, _)| replica.clone())
            .collect();
        for replica in surplus {
            self.models.remove(&replica);
        }
        for candidate in candidates {
            if self.models.contains_key(&candidate.replica) {
                continue;
            }
            let models = 0..shares.len();
            let lag = |model: &usize| candidate.lags.get(*model).copied().unwrap_or(u64::MAX);
            let best = models.min_by_key(|model| {
                let is_full = counts[*model] >= quotas[*model];
                let missing = quotas[*model].saturating_sub(counts[*model]);
                (is_full, lag(model), std::cmp::Reverse(missing))
            });
            if let Some(model) = best {
                counts[model] += 1;
                self.models.insert(candidate.replica.clone(), model);
            }
        }
        self.fill_shortages(candidates, &quotas, &mut counts);
    }

    /// Reassigns replicas of models that exceed their quota by one to those that have none, or that
    /// lack two or more. Such models remain when their replicas leave after the new ones have
    /// joined others; without a replica a model never gets newer weights.
    fn fill_shortages(&mut self, candidates: &[Candidate], quotas: &[usize], counts: &mut [usize]) {
        for model in 0..quotas.len() {
            while counts[model] < quotas[model]
                && (counts[model] == 0 || counts[model] + 1 < quotas[model])
            {
                let surplus = candidates.iter().filter(|candidate| {
                    let assigned = self.models.get(&candidate.replica);
                    assigned.is_some_and(|assigned| counts[*assigned] > quotas[*assigned])
                });
                let lag = |candidate: &&Candidate| candidate.lags.get(model).copied();
                let Some(moved) = surplus.min_by_key(|one| lag(one).unwrap_or(u64::MAX)) else {
                    break;
                };
                if let Some(previous) = self.models.insert(moved.replica.clone(), model) {
                    counts[previous] -= 1;
                }
                counts[model] += 1;
            }
        }
    }

    /// Returns the index of the model that a replica is assigned to.
    pub fn assigned_model(&self, replica: &str) -> Option<usize> {
        self.models.get(replica).copied()
    }
}

/// Divides `count` replicas in proportion to the shares, by the largest remainder method. With as
/// many replicas as models or more, each quota is at least 1.
fn proportional_quotas(count: usize, shares: &[f64], total: f64) -> Vec<usize> {
    let exact = |share: &f64| share * count as f64 / total;
    let mut quotas: Vec<usize> = shares.iter().map(|share| exact(share) as usize).collect();
    let mut by_remainder: Vec<usize> = (0..shares.len()).collect();
    by_remainder.sort_by(|a, b| {
        let remainder = |model: usize| exact(&shares[model]).fract();
        remainder(*b).total_cmp(&remainder(*a))
    });
    let assigned: usize = quotas.iter().sum();
    for model in by_remainder
        .into_iter()
        .cycle()
        .take(count.saturating_sub(assigned))
    {
        quotas[model] += 1;
    }
    if count >= quotas.len() {
        while let Some(without) = quotas.iter().position(|quota| *quota == 0) {
            // The sum is at least the number of models, so the largest quota is at least 2.
            if let Some(largest) = quotas.iter_mut().max() {
                *largest -= 1;
            }
            quotas[without] = 1;
        }
    }
    quotas
}
