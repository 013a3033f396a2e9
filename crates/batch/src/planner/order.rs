//! The order in which waiting items start: by the shares of their organisations, where there are any,
//! and by what delays a step the most.

use super::candidates::Candidates;
use super::{Batch, Planner};
use crate::prefill;
use crate::work::{Phase, Work, WorkId};
use dogwoodlb_fair::{Ageing, Rank, Shares, Weight};
use dogwoodlb_types::Instant;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// A batch is about to finish when the items that it still needs occupy at most one in this many
/// slots.
const FINISHING_SLOT_DIVISOR: usize = 4;
/// The number of events for each slot by which an organisation may run ahead of its share. A step of
/// 400 items with 14 events each on 288 slots needs 20, and is served in the order of its batch for
/// most of them.
const BURST_EVENTS_PER_SLOT: u32 = 16;

/// The sort key of a waiting item; the lowest starts first.
///
/// Interrupted items resume before new ones start, because a moved item would otherwise lose its
/// slot. The longest items start first, regardless of their batch, because the item that finishes
/// last determines the duration of a step.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct StartPriority {
    /// Whether the batch does not need the group of the item.
    pub(super) is_surplus: bool,
    /// Whether the batch still needs more items than [`FINISHING_SLOT_DIVISOR`] allows.
    is_batch_not_finishing: bool,
    /// Whether no text has been generated yet.
    is_not_started: bool,
    /// See [`prefill::order_class`].
    prompt_class: u32,
    remaining_events: Reverse<u64>,
    pub(super) id: WorkId,
}

/// The service that each organisation has got, in events.
#[derive(Clone, Debug)]
pub(super) struct ItemShares {
    shares: Shares,
    ageing: Ageing,
    /// The number of starts so far, and what it was at the last start of each organisation that
    /// waits.
    starts: u64,
    last_starts: BTreeMap<Arc<str>, u64>,
}

impl Default for ItemShares {
    fn default() -> Self {
        Self {
            shares: Shares::new(0.0),
            ageing: Ageing::default(),
            starts: 0,
            last_starts: BTreeMap::new(),
        }
    }
}

impl ItemShares {
    /// Records an event of an item, or a run of it that ended without any.
    pub(super) fn charge(&mut self, work: &Work) {
        let weight = Weight::of_priority(work.priority);
        self.shares.charge(account(work), weight, 1.0);
    }
}

/// Returns the account of an item. The items without an organisation share one.
fn account(work: &Work) -> &str {
    work.organisation.as_deref().unwrap_or_default()
}

/// An item of an organisation that waits.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Entry {
    /// Whether the item can't be finished by its deadline.
    is_late: bool,
    priority: u32,
    start: StartPriority,
}

/// The order of the first items of all organisations. An item that can't be finished by its deadline
/// comes last, so that it costs no other one its deadline. Whether an organisation is over its share
/// comes before the priority, because otherwise urgent work would starve the rest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Turn {
    is_late: bool,
    is_over_share: bool,
    priority: u32,
    rank: Rank,
    start: StartPriority,
}

/// The waiting items of an organisation, in their order.
#[derive(Debug, Default)]
struct Line {
    entries: VecDeque<Entry>,
    /// Those that can meet their deadlines and that their batches need, in the order of arrival.
    aged: VecDeque<Entry>,
    /// Whether an item found no replica since the last start of any organisation.
    has_failed: bool,
    /// Whether an item found no replica although one of another organisation did after it.
    is_blocked: bool,
}

/// The order of the waiting items in one planning round.
pub(super) enum StartOrder {
    /// No batch has an organisation.
    Plain(std::vec::IntoIter<StartPriority>),
    Shared(SharedOrder),
}

impl StartOrder {
    /// Returns the next item. It must be followed by [`on_placed`](Self::on_placed) or
    /// [`on_blocked`](Self::on_blocked).
    pub(super) fn next(&mut self) -> Option<StartPriority> {
        match self {
            Self::Plain(items) => items.next(),
            Self::Shared(order) => order.next(),
        }
    }

    /// Records that the last item was placed on a replica.
    pub(super) fn on_placed(&mut self, events: u64) {
        if let Self::Shared(order) = self {
            order.on_placed(events);
        }
    }

    /// Records that no replica takes the last item.
    pub(super) fn on_blocked(&mut self) {
        if let Self::Shared(order) = self {
            if let Some(line) = order.lines.get_mut(&order.current) {
                line.has_failed = true;
            }
        }
    }

    /// Returns the shares after the round.
    pub(super) fn finish(self) -> ItemShares {
        match self {
            Self::Plain(_) => ItemShares::default(),
            Self::Shared(order) => order.finish(),
        }
    }
}

/// The items of all organisations.
pub(super) struct SharedOrder {
    state: ItemShares,
    lines: BTreeMap<Arc<str>, Line>,
    /// The items that were returned.
    offered: BTreeSet<WorkId>,
    /// The organisation and the priority of the last item, and whether it was its turn by age.
    current: Arc<str>,
    current_priority: u32,
    is_aged: bool,
}

impl SharedOrder {
    fn next(&mut self) -> Option<StartPriority> {
        self.drop_offered();
        let aged = self.next_aged();
        self.is_aged = aged.is_some();
        let (name, entry) = aged.or_else(|| self.next_by_share())?;
        self.offered.insert(entry.start.id);
        self.current = name;
        self.current_priority = entry.priority;
        Some(entry.start)
    }

    fn drop_offered(&mut self) {
        let offered = &self.offered;
        for line in self.lines.values_mut() {
            for entries in [&mut line.entries, &mut line.aged] {
                while matches!(entries.front(), Some(first) if offered.contains(&first.start.id)) {
                    entries.pop_front();
                }
            }
        }
    }

    /// Returns the oldest item of the organisation whose last start was the longest ago, if its turn
    /// has come and several organisations wait.
    fn next_aged(&mut self) -> Option<(Arc<str>, Entry)> {
        let state = &mut self.state;
        let waiting = || self.lines.iter().filter(|(_, line)| !line.aged.is_empty());
        if waiting().count() < 2 {
            state.ageing = Ageing::default();
            return None;
        }
        let last_start = |name: &Arc<str>| state.last_starts.get(name).copied();
        let (name, line) = waiting().min_by_key(|(name, _)| last_start(name))?;
        let entry = *line.aged.front()?;
        let events = entry.start.remaining_events.0 as f64;
        let is_due = state.ageing.is_due(events);
        is_due.then(|| (name.clone(), entry))
    }

    fn next_by_share(&mut self) -> Option<(Arc<str>, Entry)> {
        let shares = &self.state.shares;
        let turn = |(name, line): (&Arc<str>, &Line)| {
            let first = line.entries.front()?;
            let rank = shares.rank(name);
            let turn = Turn {
                is_late: first.is_late,
                is_over_share: rank.is_over_share(),
                priority: first.priority,
                rank,
                start: first.start,
            };
            Some((turn, name.clone()))
        };
        let (_, name) = self.lines.iter().filter_map(turn).min()?;
        let entry = self.lines.get_mut(&name)?.entries.pop_front()?;
        Some((name, entry))
    }

    fn on_placed(&mut self, events: u64) {
        let weight = Weight::of_priority(self.current_priority);
        let state = &mut self.state;
        state.shares.reserve(&self.current, weight, events as f64);
        state.ageing.on_start(events as f64, self.is_aged);
        state.starts += 1;
        state.last_starts.insert(self.current.clone(), state.starts);
        for (name, line) in &mut self.lines {
            line.is_blocked |= line.has_failed && *name != self.current;
            line.has_failed = false;
            line.is_blocked &= *name != self.current;
        }
    }

    /// Ends the round. An organisation whose items no replica takes, while others are placed, does
    /// not hold up the virtual time: the others would all be far ahead, and equal.
    fn finish(mut self) -> ItemShares {
        for (name, line) in &self.lines {
            if line.is_blocked {
                self.state.shares.set_idle(name);
            }
        }
        self.state
    }
}

impl Planner {
    /// Returns the order in which the waiting items start.
    pub(super) fn start_order(&self, candidates: &Candidates<'_>, now: Instant) -> StartOrder {
        let finishing = self.finishing_batches();
        let work_items = self.work_items.iter();
        let mut waiting: Vec<StartPriority> = work_items
            .filter_map(|(id, work)| self.start_priority(*id, work, &finishing, candidates, now))
            .collect();
        if self.batches.values().any(|batch| batch.has_organisation) {
            return StartOrder::Shared(self.shared_order(&waiting, now));
        }
        waiting.sort_unstable();
        StartOrder::Plain(waiting.into_iter())
    }

    fn shared_order(&self, waiting: &[StartPriority], now: Instant) -> SharedOrder {
        let typical_event_ms = self.typical_event_ms();
        let mut lines: BTreeMap<Arc<str>, Line> = BTreeMap::new();
        for start in waiting {
            let work = &self.work_items[&start.id];
            let name = work.organisation.clone().unwrap_or_default();
            let entry = Entry {
                is_late: self.is_late(work, typical_event_ms, now),
                priority: work.priority,
                start: *start,
            };
            let line = lines.entry(name).or_default();
            line.entries.push_back(entry);
            if !entry.is_late && !start.is_surplus {
                line.aged.push_back(entry);
            }
        }
        for line in lines.values_mut() {
            line.entries.make_contiguous().sort_unstable();
            // Ids are given in the order of arrival.
            let aged = line.aged.make_contiguous();
            aged.sort_unstable_by_key(|entry| entry.start.id);
        }
        SharedOrder {
            state: self.current_shares(&lines),
            lines,
            offered: BTreeSet::new(),
            current: Arc::default(),
            current_priority: 0,
            is_aged: false,
        }
    }

    /// Returns the shares with the work that runs and the organisations that wait.
    fn current_shares(&self, lines: &BTreeMap<Arc<str>, Line>) -> ItemShares {
        let mut state = self.shares.clone();
        let shares = &mut state.shares;
        let slots: u32 = self.replicas.values().map(|one| one.state.slots).sum();
        shares.set_allowance(f64::from(slots) * f64::from(BURST_EVENTS_PER_SLOT));
        shares.release_all();
        for work in self.work_items.values().filter(|work| work.run().is_some()) {
            let weight = Weight::of_priority(work.priority);
            shares.reserve(account(work), weight, work.remaining_events() as f64);
        }
        let known: Vec<String> = shares.organisations().map(str::to_owned).collect();
        for name in known
            .iter()
            .filter(|name| !lines.contains_key(name.as_str()))
        {
            shares.set_idle(name);
        }
        for (name, line) in lines {
            let priority = line.entries.front().map_or(0, |entry| entry.priority);
            shares.set_waiting(name, Weight::of_priority(priority));
        }
        shares.forget();
        state.last_starts.retain(|name, _| lines.contains_key(name));
        state
    }

    fn is_late(&self, work: &Work, typical_event_ms: f64, now: Instant) -> bool {
        let batch = work.batch.as_ref().and_then(|name| self.batches.get(name));
        let Some(deadline) = batch.and_then(|batch| batch.deadline) else {
            return false;
        };
        let left_ms = work.remaining_events() as f64 * typical_event_ms;
        now + Duration::from_millis(left_ms as u64) > deadline
    }

    fn start_priority(
        &self,
        id: WorkId,
        work: &Work,
        finishing: &BTreeSet<&str>,
        candidates: &Candidates<'_>,
        now: Instant,
    ) -> Option<StartPriority> {
        let name = work.batch.as_deref()?;
        let batch = self.batches.get(name)?;
        let is_waiting = work.phase == Phase::Waiting;
        let remaining_events = work.remaining_events();
        is_waiting.then(|| StartPriority {
            is_surplus: !batch.is_needed[work.group_index],
            is_batch_not_finishing: !finishing.contains(name),
            is_not_started: work.progress.last_event == 0,
            prompt_class: prefill::order_class(
                remaining_events,
                candidates.unprefilled(work),
                now.saturating_since(work.waiting_since.unwrap_or(now)),
            ),
            remaining_events: Reverse(remaining_events),
            id,
        })
    }

    /// Returns the batches that are about to finish. Their last items need few slots, but if items
    /// were ordered by length alone, they would wait behind those of a batch that has just started.
    fn finishing_batches(&self) -> BTreeSet<&str> {
        let replicas = self.replicas.values();
        let slots: usize = replicas.map(|one| one.state.slots as usize).sum();
        let max_open_items = slots / FINISHING_SLOT_DIVISOR;
        let is_finishing = |batch: &Batch| {
            let is_needed_and_open = |work: &&WorkId| {
                let work = &self.work_items[*work];
                let is_open = matches!(work.phase, Phase::Waiting | Phase::Running(_));
                is_open && batch.is_needed[work.group_index]
            };
            batch.work_items.iter().filter(is_needed_and_open).count() <= max_open_items
        };
        let finishing = self.batches.iter().filter(|(_, batch)| is_finishing(batch));
        finishing.map(|(name, _)| name.as_str()).collect()
    }
}
