use crate::endpoint::{Endpoint, UNITS_PER_REQUEST};
use crate::{Locality, Request};
use dogwoodlb_types::{Class, Instant};
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Upper bound on the load that prefix affinity may place on a replica, relative to the mean, in
/// thousandths; see docs/design.md, section 4.11. With only a few requests per replica, random
/// variation alone exceeds a lower bound, and prompts then miss the cache.
const LOAD_BOUND_PERMILLE: u64 = 2_000;

/// Selects an endpoint among those that are less than half full in the data centre, then in the
/// region, and then among all that have a free slot. Latency between data centres is far below the
/// wait at a busy replica, but traffic between them costs money.
pub(crate) fn choose_pooled(
    endpoints: &[Endpoint],
    request: &Request<'_>,
    now: Instant,
    rng: &mut dyn Rng,
) -> Option<usize> {
    let is_free = |&index: &usize| {
        let endpoint = &endpoints[index];
        let is_usable = endpoint.in_subset && !request.exclude.contains(&endpoint.replica.upstream);
        is_usable
            && endpoint.health.ejected_until(now).is_none()
            && endpoint.has_free_slot(request.class, now)
    };
    let free: Vec<usize> = (0..endpoints.len()).filter(is_free).collect();
    for farthest in [Locality::Centre, Locality::Region] {
        let is_preferred = |index: &usize| {
            let endpoint = &endpoints[*index];
            endpoint.locality <= farthest && endpoint.load(now) * 2 < endpoint.capacity(now)
        };
        let preferred: Vec<usize> = free.iter().copied().filter(is_preferred).collect();
        if !preferred.is_empty() {
            return by_power_of_two(endpoints, &preferred, now, rng);
        }
    }
    if free.is_empty() {
        return choose(endpoints, request, now, rng);
    }
    by_power_of_two(endpoints, &free, now, rng)
}

/// Selects an endpoint in the nearest locality with a free slot, by prefix affinity or by load.
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
        // A prefix cache miss costs about a hundred times the latency between data centres of a
        // region, so requests with a prompt treat the whole region as one locality.
        if request.prefix.is_some() && locality == Locality::Centre {
            continue;
        }
        if !candidates.is_empty() {
            return request
                .prefix
                .and_then(|prefix| by_prefix_affinity(endpoints, &candidates, prefix, now))
                .or_else(|| by_power_of_two(endpoints, &candidates, now, rng));
        }
    }
    // If every replica is ejected, customers are still sent to ejected ones: refusing them all
    // would turn a false ejection into an outage.
    if request.class == Class::Customer && !endpoints.iter().any(|e| usable(e) && in_service(e)) {
        let ejected = |&index: &usize| {
            let endpoint = &endpoints[index];
            usable(endpoint) && endpoint.has_free_slot(request.class, now)
        };
        candidates.extend((0..endpoints.len()).filter(ejected));
    }
    by_power_of_two(endpoints, &candidates, now, rng)
}

/// Picks the less utilized of two random candidates (power of two choices).
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

/// Rendezvous hashing with bounded loads: returns the highest-ranked candidate for the prefix
/// whose load stays under the bound. Candidates that have the prefix cached rank first.
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
            // The endpoint's share of the total load, in proportion to its capacity, multiplied by
            // the load bound and rounded up to whole requests.
            let scaled_bound =
                u128::from(total) * u128::from(LOAD_BOUND_PERMILLE * endpoint.capacity(now));
            let bound = scaled_bound
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
