//! The replicas that can accept a run, ordered by speed.

use crate::prefill::{self, PrefillIndex};
use crate::replica::Replica;
use crate::work::Work;
use dogwoodlb_types::Instant;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;

/// The factor on the cost of a replica whose weight version is too old for the next batch.
const OLD_VERSION_PENALTY: f64 = 10.0;

/// The maximum number of replicas that are considered for an item because they have prefilled a part
/// of its prompt. A part that nearly all replicas hold gives no reason to examine all of them.
const MAX_HOLDERS: usize = 16;
/// Replicas whose cost differs by less than this fraction are equally good. One more run on a
/// replica raises its cost by about 3%, and the measured speeds of equal replicas vary by 1%.
const EQUAL_COST_TOLERANCE: f64 = 0.02;

/// The properties of an item that determine the suitability of a replica. Items with equal keys
/// share a queue.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct QueueKey {
    model: String,
    min_version: u64,
    /// The version that generated the text so far, if the text must come from a single version.
    required_version: Option<u64>,
    /// Whether replicas whose version is too old for the next batch are penalised.
    prefer_newer: bool,
}

impl QueueKey {
    fn new(work: &Work, prefer_newer: bool) -> Self {
        let first_version = work.progress.versions.first().copied();
        Self {
            model: work.model.clone(),
            min_version: work.min_version,
            required_version: first_version.filter(|_| work.single_version),
            prefer_newer,
        }
    }
}

/// A replica in a queue. The cost is the expected time per event of one more run in milliseconds,
/// multiplied by [`OLD_VERSION_PENALTY`] if it applies, at the time of insertion.
#[derive(Debug, PartialEq)]
struct QueueEntry {
    cost: f64,
    replica: Arc<str>,
}

impl Eq for QueueEntry {}

impl Ord for QueueEntry {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_cost = self.cost.total_cmp(&other.cost);
        by_cost.then_with(|| self.replica.cmp(&other.replica))
    }
}

impl PartialOrd for QueueEntry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The replicas that are suitable for the items with one key, cheapest first.
#[derive(Default)]
struct Queue {
    entries: BinaryHeap<Reverse<QueueEntry>>,
    /// No replica of the queue has KV cache capacity and prefill budget for a prompt of this many
    /// tokens or more.
    no_capacity_for: Option<u64>,
}

/// The runs that the current round has placed on a replica.
#[derive(Clone, Copy, Default)]
struct Placed {
    runs: u32,
    tokens: u64,
    unprefilled_tokens: u64,
}

/// A replica that can accept an item.
struct Offer {
    replica: Arc<str>,
    /// The cost of the replica, as in [`QueueEntry`].
    cost: f64,
    /// The expected time per event in milliseconds.
    event_ms: f64,
    /// The number of prompt tokens that the replica has to prefill.
    unprefilled_tokens: u64,
    /// The time until the item is complete, in milliseconds. For a long prompt it includes the
    /// delay of each other run of the replica.
    total_ms: f64,
}

impl Offer {
    /// Returns whether the item should rather go to this replica, which holds a part of its prompt.
    fn is_better(&self, other: &Self) -> bool {
        let is_equal = self.cost <= other.cost * (1.0 + EQUAL_COST_TOLERANCE);
        let saves_prefill = self.unprefilled_tokens < other.unprefilled_tokens;
        (is_equal && saves_prefill) || self.total_ms < other.total_ms
    }
}

/// The replicas that can accept runs in one planning round.
///
/// Comparing each item with each replica would saturate a node's CPU with several thousand
/// replicas, so the replicas are sorted once for all items with the same [`QueueKey`].
pub(super) struct Candidates<'a> {
    replicas: &'a BTreeMap<Arc<str>, Replica>,
    prefilled: &'a PrefillIndex,
    typical_event_ms: f64,
    now: Instant,
    queues: HashMap<QueueKey, Queue>,
    placed: HashMap<Arc<str>, Placed>,
}

impl<'a> Candidates<'a> {
    pub(super) fn new(
        replicas: &'a BTreeMap<Arc<str>, Replica>,
        prefilled: &'a PrefillIndex,
        typical_event_ms: f64,
        now: Instant,
    ) -> Self {
        Self {
            replicas,
            prefilled,
            typical_event_ms,
            now,
            queues: HashMap::new(),
            placed: HashMap::new(),
        }
    }

    /// Returns the replica with the lowest expected event time for one more run, with that time in
    /// milliseconds. With `prefer_newer`, replicas whose version is too old for the next batch are
    /// penalised. A replica that has prefilled a part of the prompt is preferred if this saves more
    /// time than its events cost, unless `exclude` is given.
    pub(super) fn best(
        &mut self,
        work: &Work,
        prefer_newer: bool,
        exclude: Option<&str>,
    ) -> Option<(f64, Arc<str>)> {
        let key = QueueKey::new(work, prefer_newer);
        let mut queue = match self.queues.remove(&key) {
            Some(queue) => queue,
            None => self.build_queue(&key, work),
        };
        let found = self.search(&mut queue, &key, work.prompt.tokens, exclude);
        let found = match exclude {
            None if work.prompt.is_shared() => self.prefer_holder(work, &key, found),
            _ => found,
        };
        self.queues.insert(key, queue);
        found
    }

    /// Records that a run was placed on a replica.
    pub(super) fn place(&mut self, replica: &Arc<str>, work: &Work) {
        let unprefilled = self.prefilled.unprefilled(replica, &work.prompt);
        let placed = self.placed.entry(replica.clone()).or_default();
        placed.runs += 1;
        placed.tokens = placed.tokens.saturating_add(work.prompt.tokens);
        placed.unprefilled_tokens = placed.unprefilled_tokens.saturating_add(unprefilled);
    }

    /// Returns the number of prompt tokens of an item that have to be prefilled, on the most suitable
    /// replica with a free slot.
    pub(super) fn unprefilled(&self, work: &Work) -> u64 {
        let tokens = work.prompt.tokens;
        if !prefill::is_long(tokens) {
            return tokens;
        }
        let key = QueueKey::new(work, false);
        let offers = self.holder_offers(work, &key);
        offers
            .map(|offer| offer.unprefilled_tokens)
            .min()
            .unwrap_or(tokens)
    }

    /// Returns the found replica, or one that has prefilled a part of the prompt and is better.
    fn prefer_holder(
        &self,
        work: &Work,
        key: &QueueKey,
        found: Option<(f64, Arc<str>)>,
    ) -> Option<(f64, Arc<str>)> {
        let mut best = found.and_then(|(_, replica)| self.offer(work, key, &replica));
        for offer in self.holder_offers(work, key) {
            if best.as_ref().is_none_or(|best| offer.is_better(best)) {
                best = Some(offer);
            }
        }
        best.map(|best| (best.event_ms, best.replica))
    }

    fn holder_offers<'b>(
        &'b self,
        work: &'b Work,
        key: &'b QueueKey,
    ) -> impl Iterator<Item = Offer> + 'b {
        let holders = self.prefilled.holders(&work.prompt).take(MAX_HOLDERS);
        holders.filter_map(|replica| self.offer(work, key, replica))
    }

    /// Returns the conditions under which a replica can accept an item now, if it can.
    fn offer(&self, work: &Work, key: &QueueKey, name: &Arc<str>) -> Option<Offer> {
        let replica = self.replicas.get(name)?;
        if !has_suitable_version(work, replica) || !replica.accepts_runs(&work.model, self.now) {
            return None;
        }
        let placed = self.placed.get(name).copied().unwrap_or_default();
        let cost = self.cost(key, replica, placed)?;
        let tokens = work.prompt.tokens;
        let unprefilled_tokens = self.prefilled.unprefilled(name, &work.prompt);
        if !replica.has_kv_capacity(tokens, placed.runs, placed.tokens)
            || !replica.has_prefill_budget(unprefilled_tokens, placed.unprefilled_tokens)
        {
            return None;
        }
        let running = replica.run_count + placed.runs + 1;
        let delayed_runs = match prefill::is_long(unprefilled_tokens) {
            true => running,
            false => 1,
        };
        let prefill_ms = prefill::prefill_ms(unprefilled_tokens) * f64::from(delayed_runs);
        Some(Offer {
            replica: name.clone(),
            cost,
            event_ms: replica.event_ms(running, self.typical_event_ms, self.now),
            unprefilled_tokens,
            total_ms: cost * work.remaining_events() as f64 + prefill_ms,
        })
    }

    fn build_queue(&self, key: &QueueKey, work: &Work) -> Queue {
        let usable = self.replicas.iter().filter(|(_, replica)| {
            has_suitable_version(work, replica) && replica.accepts_runs(&work.model, self.now)
        });
        let entries = usable.filter_map(|(name, replica)| {
            let placed = self.placed.get(name).copied().unwrap_or_default();
            let cost = self.cost(key, replica, placed)?;
            let replica = name.clone();
            Some(Reverse(QueueEntry { cost, replica }))
        });
        Queue {
            entries: entries.collect(),
            no_capacity_for: None,
        }
    }

    fn search(
        &self,
        queue: &mut Queue,
        key: &QueueKey,
        tokens: u64,
        exclude: Option<&str>,
    ) -> Option<(f64, Arc<str>)> {
        if queue.no_capacity_for.is_some_and(|limit| limit <= tokens) {
            return None;
        }
        let mut popped = Vec::new();
        let mut found = None;
        let mut saw_excluded = false;
        while let Some(Reverse(mut entry)) = queue.entries.pop() {
            let Some(replica) = self.replicas.get(&entry.replica) else {
                continue;
            };
            let placed = self.placed.get(&entry.replica).copied().unwrap_or_default();
            let Some(cost) = self.cost(key, replica, placed) else {
                continue;
            };
            // Runs placed since the insertion have increased the cost.
            if cost > entry.cost {
                entry.cost = cost;
                queue.entries.push(Reverse(entry));
                continue;
            }
            if exclude == Some(&*entry.replica) {
                saw_excluded = true;
            } else if replica.has_kv_capacity(tokens, placed.runs, placed.tokens)
                && replica.has_prefill_budget(tokens, placed.unprefilled_tokens)
            {
                let running = replica.run_count + placed.runs + 1;
                let ms = replica.event_ms(running, self.typical_event_ms, self.now);
                found = Some((ms, entry.replica.clone()));
            }
            popped.push(Reverse(entry));
            if found.is_some() {
                break;
            }
        }
        queue.entries.extend(popped);
        if found.is_none() && !saw_excluded {
            queue.no_capacity_for = Some(tokens);
        }
        found
    }

    /// Returns the cost of one more run on a replica, or `None` if all its slots are in use.
    fn cost(&self, key: &QueueKey, replica: &Replica, placed: Placed) -> Option<f64> {
        let running = replica.run_count + placed.runs;
        if running >= replica.state.slots {
            return None;
        }
        let ms = replica.event_ms(running + 1, self.typical_event_ms, self.now);
        // The next batch is expected to require a newer version than this one.
        let is_outdated = replica.version(&key.model) <= Some(key.min_version);
        Some(if key.prefer_newer && is_outdated {
            ms * OLD_VERSION_PENALTY
        } else {
            ms
        })
    }
}

/// Returns whether the weight version of a replica may continue the text of an item.
pub(super) fn has_suitable_version(work: &Work, replica: &Replica) -> bool {
    let Some(version) = replica.version(&work.model) else {
        return false;
    };
    let first_version = work.progress.versions.first();
    let is_same_version =
        !work.single_version || first_version.is_none_or(|first| *first == version);
    version >= work.min_version && is_same_version
}
