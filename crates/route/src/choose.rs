use crate::endpoint::{Endpoint, UNITS_PER_REQUEST};
use crate::{Locality, Request};
use dogwoodlb_types::{Class, Instant};
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The load that affinity may bring to a replica, as a multiple of the mean, in thousandths.
/// docs/design.md, section 4.11, gives the source. With a few requests at each replica,
/// chance alone reaches a lower bound, and prompts miss the cache.
const LOAD_BOUND_PERMILLE: u64 = 2_000;

/// Chooses among the members: the nearest locality with a free slot, then by prefix or by load.
pub(crate) fn choose(
    endpoints: &[Endpoint],
    request: &Request<'_>,
    now: Instant,
    rng: &mut dyn Rng,
) -> Option<usize> {
    let usable = |endpoint: &Endpoint| {
        endpoint.in_subset && !request.exclude.contains(&endpoint.replica.upstream)
    };
    let in_service = |endpoint: &Endpoint| endpoint.health.ejected_until(now).is_none();
    let mut candidates = Vec::with_capacity(endpoints.len());
    for locality in Locality::ALL {
        candidates.extend((0..endpoints.len()).filter(|&index| {
            let endpoint = &endpoints[index];
            endpoint.locality == locality
                && usable(endpoint)
                && in_service(endpoint)
                && endpoint.has_free_slot(request.class, now)
        }));
        // A prefix that misses the cache costs a hundred times the latency between the data
        // centres of a region, so that they count as one for a prompt.
        if request.prefix.is_some() && locality == Locality::Centre {
            continue;
        }
        if !candidates.is_empty() {
            let near = request.prefix;
            return near
                .and_then(|prefix| by_prefix_affinity(endpoints, &candidates, prefix, now))
                .or_else(|| by_power_of_two(endpoints, &candidates, now, rng));
        }
    }
    // With every replica ejected, refusing all customers would turn a wrong ejection into an
    // outage.
    if request.class == Class::Customer && !endpoints.iter().any(|e| usable(e) && in_service(e)) {
        let ejected = |&index: &usize| {
            let endpoint = &endpoints[index];
            usable(endpoint) && endpoint.has_free_slot(request.class, now)
        };
        candidates.extend((0..endpoints.len()).filter(ejected));
    }
    by_power_of_two(endpoints, &candidates, now, rng)
}

/// Power of two choices: of two random candidates, the one that is less full.
fn by_power_of_two(
    endpoints: &[Endpoint],
    candidates: &[usize],
    now: Instant,
    rng: &mut dyn Rng,
) -> Option<usize> {
    let count = candidates.len();
    if count < 2 {
        return candidates.first().copied();
    }
    let first = rng.random_range(0..count);
    let second = (first + rng.random_range(1..count)) % count;
    let (first, second) = (candidates[first], candidates[second]);
    let is_busier = endpoints[first].utilization(now) > endpoints[second].utilization(now);
    Some(if is_busier { second } else { first })
}

/// Consistent hashing with bounded loads: the first candidate in the prefix's order whose load
/// stays under the bound. Candidates known to hold the prefix come first.
fn by_prefix_affinity(
    endpoints: &[Endpoint],
    candidates: &[usize],
    prefix: u64,
    now: Instant,
) -> Option<usize> {
    let endpoints = || candidates.iter().map(|&index| (index, &endpoints[index]));
    let total = endpoints().map(|(_, e)| e.load(now)).sum::<u64>() + UNITS_PER_REQUEST;
    let capacity = endpoints()
        .map(|(_, e)| e.capacity(now))
        .sum::<u64>()
        .max(1);
    endpoints()
        .filter(|(_, endpoint)| {
            let share =
                u128::from(total) * u128::from(LOAD_BOUND_PERMILLE * endpoint.capacity(now));
            let bound = share
                .div_ceil(u128::from(capacity) * u128::from(UNITS_PER_REQUEST * UNITS_PER_REQUEST));
            u128::from(endpoint.load(now) + UNITS_PER_REQUEST)
                <= bound * u128::from(UNITS_PER_REQUEST)
        })
        .max_by_key(|(_, endpoint)| {
            let score = xxh3_64_with_seed(&prefix.to_le_bytes(), endpoint.hash);
            (endpoint.cache.contains(prefix), score)
        })
        .map(|(index, _)| index)
}
