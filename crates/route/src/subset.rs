use crate::{Locality, Replica, Settings};
use dogwoodlb_types::id;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Maximum number of replicas that a node sends requests to.
pub const SUBSET_SIZE: usize = 20;

/// Number of replicas reserved per locality. Otherwise a data centre with 20 replicas would fill
/// the subset, leaving none to fail over to when that data centre is overloaded or down.
const RESERVED_PER_LOCALITY: [usize; 3] = [14, 4, 2];

/// Selects the subset by locality, nearest first, with rendezvous hashing within a locality.
pub(crate) fn select<'a>(
    settings: &Settings,
    replicas: &'a [Replica],
    leaving: &BTreeSet<id::Upstream>,
) -> Vec<&'a Replica> {
    let seed = xxh3_64(settings.vm.as_str().as_bytes());
    let mut localities: [Vec<(u64, &Replica)>; 3] = Default::default();
    for replica in replicas {
        if replica.leaving || leaving.contains(&replica.upstream) {
            continue;
        }
        let score = xxh3_64_with_seed(replica.upstream.as_str().as_bytes(), seed);
        localities[settings.locality(replica) as usize].push((score, replica));
    }
    let quotas = quotas([
        localities[0].len(),
        localities[1].len(),
        localities[2].len(),
    ]);
    let mut subset = Vec::with_capacity(SUBSET_SIZE);
    for locality in Locality::ALL {
        let ranked = &mut localities[locality as usize];
        ranked.sort_unstable_by(|a, b| b.0.cmp(&a.0).then(a.1.upstream.cmp(&b.1.upstream)));
        subset.extend(
            ranked
                .iter()
                .take(quotas[locality as usize])
                .map(|&(_, r)| r),
        );
    }
    subset
}

/// Distributes the subset over the localities: reserved entries first, then the remainder to
/// the nearest locality with unused replicas.
fn quotas(available: [usize; 3]) -> [usize; 3] {
    let mut quotas = [0; 3];
    for (quota, (&count, reserved)) in quotas
        .iter_mut()
        .zip(available.iter().zip(RESERVED_PER_LOCALITY))
    {
        *quota = count.min(reserved);
    }
    let mut remaining = SUBSET_SIZE - quotas.iter().sum::<usize>();
    for (quota, &count) in quotas.iter_mut().zip(&available) {
        let extra = remaining.min(count - *quota);
        *quota += extra;
        remaining -= extra;
    }
    quotas
}
