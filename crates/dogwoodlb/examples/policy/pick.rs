//! The policies that are compared.

use dogwoodlb_route::{Pick, Request, Router};
use dogwoodlb_types::prelude::*;
use rand::rngs::StdRng;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The requests over which the popularity of prefixes is measured.
const WINDOW: u32 = 512;

/// How a node chooses a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Choice {
    Ours,
    RoundRobin,
    LeastInFlight,
    Hash,
    /// As `Ours`, with one home for a rare prefix and several for a popular one.
    Popularity,
}

/// A choice of replicas and of the run-ahead; `None` leaves the run-ahead to the planner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Policy {
    pub(crate) name: &'static str,
    pub(crate) choice: Choice,
    pub(crate) ahead: Option<u64>,
}

const fn policy(name: &'static str, choice: Choice, ahead: Option<u64>) -> Policy {
    Policy {
        name,
        choice,
        ahead,
    }
}

/// Every policy, ours first.
pub(crate) const POLICIES: [Policy; 12] = [
    policy("ours", Choice::Ours, None),
    policy("popularity", Choice::Popularity, None),
    policy("hash, our run-ahead", Choice::Hash, None),
    policy("round-robin/0", Choice::RoundRobin, Some(0)),
    policy("round-robin/1", Choice::RoundRobin, Some(1)),
    policy("round-robin/2", Choice::RoundRobin, Some(2)),
    policy("least/0", Choice::LeastInFlight, Some(0)),
    policy("least/1", Choice::LeastInFlight, Some(1)),
    policy("least/2", Choice::LeastInFlight, Some(2)),
    policy("hash/0", Choice::Hash, Some(0)),
    policy("hash/1", Choice::Hash, Some(1)),
    policy("hash/2", Choice::Hash, Some(2)),
];

/// The state of a node's choice beside its router.
#[derive(Debug, Default)]
pub(crate) struct Chooser {
    turn: usize,
    seen: HashMap<u64, u32>,
    total: u32,
}

impl Chooser {
    /// Picks a replica. The other policies ask the router for one replica at a time, so that
    /// all share its limits, ejection and slow start.
    pub(crate) fn pick(
        &mut self,
        choice: Choice,
        router: &mut Router,
        (class, prefix): (Class, u64),
        exclude: &[id::Upstream],
        now: Instant,
        rng: &mut StdRng,
    ) -> Result<Pick, Refusal> {
        let request = Request::new(class).prefix_hash(prefix);
        if choice == Choice::Ours {
            return router.pick(&request.exclude(exclude), now, rng);
        }
        let mut all: Vec<id::Upstream> = router.subset().cloned().collect();
        all.sort_unstable();
        let order = self.order(choice, router, &all, prefix);
        let mut refused = None;
        // An ejected replica is asked last, because the router lets customers use one if it is
        // offered no other.
        for ejected in [false, true] {
            for index in &order {
                let one = &all[*index];
                if exclude.contains(one) || router.is_ejected(one, now) != ejected {
                    continue;
                }
                let others: Vec<_> = all.iter().filter(|other| *other != one).cloned().collect();
                match router.pick(&request.exclude(&others), now, rng) {
                    Ok(pick) => return Ok(pick),
                    Err(refusal) => refused = Some(refusal),
                }
            }
        }
        Err(refused.unwrap_or_else(|| Refusal::not_run(Code::NoUpstream, "no replica is left")))
    }

    fn order(
        &mut self,
        choice: Choice,
        router: &Router,
        all: &[id::Upstream],
        prefix: u64,
    ) -> Vec<usize> {
        let count = all.len();
        let mut order: Vec<usize> = (0..count).collect();
        let score = |index: &usize| xxh3_64_with_seed(all[*index].as_str().as_bytes(), prefix);
        match choice {
            Choice::RoundRobin => {
                self.turn = (self.turn + 1) % count.max(1);
                order.rotate_left(self.turn);
            }
            Choice::LeastInFlight => {
                self.turn = (self.turn + 1) % count.max(1);
                order.rotate_left(self.turn);
                order.sort_by_key(|index| router.in_flight(&all[*index]));
            }
            Choice::Hash | Choice::Ours => order.sort_by_key(score),
            Choice::Popularity => {
                order.sort_by_key(score);
                let homes = self.homes(prefix, count);
                order[..homes].sort_by_key(|index| router.in_flight(&all[*index]));
            }
        }
        order
    }

    /// Returns how many replicas hold a prefix: its share of the requests, rounded up.
    fn homes(&mut self, prefix: u64, count: usize) -> usize {
        *self.seen.entry(prefix).or_default() += 1;
        self.total += 1;
        if self.total >= WINDOW {
            self.total = 0;
            self.seen.retain(|_, seen| {
                *seen /= 2;
                *seen > 0
            });
            self.total = self.seen.values().sum();
        }
        let seen = self.seen.get(&prefix).copied().unwrap_or(0) as usize;
        let homes = (seen * count).div_ceil(self.total.max(1) as usize);
        homes.clamp(1, count.max(1)).min(count)
    }
}
