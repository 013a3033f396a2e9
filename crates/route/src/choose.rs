use crate::member::{Member, ONE};
use crate::{Locality, Request};
use dogwoodlb_types::{Class, Instant};
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The load that affinity may bring to a replica, as a multiple of the mean, in thousandths.
/// docs/design.md, section 4.11, gives the source. With a few requests at each replica,
/// chance alone reaches a lower bound, and prompts miss the cache.
const BOUND: u64 = 2_000;

/// Chooses among the members: the nearest locality with a free slot, then by prefix or by load.
pub(crate) fn choose(
    members: &[Member],
    wanted: &Request<'_>,
    now: Instant,
    rng: &mut dyn Rng,
) -> Option<usize> {
    let usable =
        |member: &Member| member.in_subset && !wanted.exclude.contains(&member.replica.upstream);
    let in_service = |member: &Member| member.health.ejected_until(now).is_none();
    let mut candidates = Vec::with_capacity(members.len());
    for locality in Locality::ALL {
        candidates.extend((0..members.len()).filter(|&index| {
            let member = &members[index];
            member.locality == locality
                && usable(member)
                && in_service(member)
                && member.has_room(wanted.class, now)
        }));
        // A prefix that misses the cache costs a hundred times the latency between the data
        // centres of a region, so that they count as one for a prompt.
        if wanted.prefix.is_some() && locality == Locality::Centre {
            continue;
        }
        if !candidates.is_empty() {
            let near = wanted.prefix;
            return near
                .and_then(|prefix| by_prefix(members, &candidates, prefix, now))
                .or_else(|| by_load(members, &candidates, now, rng));
        }
    }
    // With every replica ejected, refusing all customers would turn a wrong ejection into an
    // outage.
    if wanted.class == Class::Customer && !members.iter().any(|m| usable(m) && in_service(m)) {
        let ejected = |&index: &usize| {
            let member = &members[index];
            usable(member) && member.has_room(wanted.class, now)
        };
        candidates.extend((0..members.len()).filter(ejected));
    }
    by_load(members, &candidates, now, rng)
}

/// Power of two choices: of two random candidates, the one that is less full.
fn by_load(
    members: &[Member],
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
    let is_fuller = members[first].fullness(now) > members[second].fullness(now);
    Some(if is_fuller { second } else { first })
}

/// Consistent hashing with bounded loads: the first candidate in the prefix's order whose load
/// stays under the bound. Candidates known to hold the prefix come first.
fn by_prefix(members: &[Member], candidates: &[usize], prefix: u64, now: Instant) -> Option<usize> {
    let members = || candidates.iter().map(|&index| (index, &members[index]));
    let total = members().map(|(_, m)| m.load(now)).sum::<u64>() + ONE;
    let capacity = members().map(|(_, m)| m.capacity(now)).sum::<u64>().max(1);
    members()
        .filter(|(_, member)| {
            let share = u128::from(total) * u128::from(BOUND * member.capacity(now));
            let bound = share.div_ceil(u128::from(capacity) * u128::from(ONE * ONE));
            u128::from(member.load(now) + ONE) <= bound * u128::from(ONE)
        })
        .max_by_key(|(_, member)| {
            let score = xxh3_64_with_seed(&prefix.to_le_bytes(), member.hash);
            (member.cache.holds(prefix), score)
        })
        .map(|(index, _)| index)
}
