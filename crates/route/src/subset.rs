use crate::{Locality, Replica, Settings};
use dogwoodlb_types::id;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The number of replicas that a node uses, however many the manifest lists.
pub const SUBSET_SIZE: usize = 20;

/// The places kept for each locality. Without them a data centre with 20 replicas would fill the
/// subset and leave nowhere to spill to when it is full or down.
const PLACES: [usize; 3] = [14, 4, 2];

/// Selects the subset: near replicas first, in rendezvous order within a locality.
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

/// Shares the places out: the kept ones first, the rest to the nearest locality that can use them.
fn quotas(available: [usize; 3]) -> [usize; 3] {
    let mut quotas = [0; 3];
    for (quota, (&count, places)) in quotas.iter_mut().zip(available.iter().zip(PLACES)) {
        *quota = count.min(places);
    }
    let mut free = SUBSET_SIZE - quotas.iter().sum::<usize>();
    for (quota, &count) in quotas.iter_mut().zip(&available) {
        let more = free.min(count - *quota);
        *quota += more;
        free -= more;
    }
    quotas
}
