//! Decides which items are started, moved and stopped in a planning round.

use super::candidates::Candidates;
use super::{Action, Batch, Planner};
use crate::prefill;
use crate::replica::Replica;
use crate::work::{Phase, Run, Work, WorkId};
use dogwoodlb_types::Instant;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

/// The minimum time that a move must save. It covers the cost of closing the connection and of
/// processing the prompt again.
const MIN_MOVE_GAIN: Duration = Duration::from_millis(1_000);
/// The minimum duration of a run before it can be moved, so that its speed is known.
const MIN_TIME_BEFORE_MOVE: Duration = Duration::from_millis(400);
/// The maximum number of moves in one round. The speeds are estimated again before the next round.
const MAX_MOVES_PER_ROUND: usize = 4;
/// The minimum time between two rounds that move runs.
const MOVE_INTERVAL: Duration = Duration::from_millis(100);
/// A batch is about to finish when the items that it still needs occupy at most one in this many
/// slots.
const FINISHING_SLOT_DIVISOR: usize = 4;
/// The assumed time per event before any measurement, in milliseconds.
const DEFAULT_EVENT_MS: f64 = 32.0;

/// The sort key of a waiting item; the lowest starts first.
///
/// Interrupted items resume before new ones start, because a moved item would otherwise lose its
/// slot. The longest items start first, regardless of their batch, because the item that finishes
/// last determines the duration of a step.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct StartPriority {
    /// Whether the batch does not need the group of the item.
    is_surplus: bool,
    /// Whether the batch still needs more items than [`FINISHING_SLOT_DIVISOR`] allows.
    is_batch_not_finishing: bool,
    /// Whether no text has been generated yet.
    is_not_started: bool,
    /// See [`prefill::order_class`].
    prompt_class: u32,
    remaining_events: Reverse<u64>,
    id: WorkId,
}

impl Planner {
    /// Runs one planning round and returns the actions to take.
    ///
    /// A round that stops runs starts none, so that the stopped items are placed before others
    /// take the slots. Call again once the runs have been stopped.
    pub fn plan(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        self.stop_stalled(now, &mut actions);
        if self.next_move_at <= now {
            self.next_move_at = now + MOVE_INTERVAL;
            let batches: Vec<String> = self.batches.keys().cloned().collect();
            for batch in batches {
                self.select_groups(&batch);
            }
            self.plan_moves(now, &mut actions);
        }
        if actions.is_empty() {
            self.plan_starts(now, &mut actions);
        }
        actions
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_expired = |work: &Work| work.expires_at.is_some_and(|at| at <= now);
        let expired = self.work_items.iter().filter(|(_, work)| is_expired(work));
        let expired: Vec<WorkId> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            let Some(work) = self.work_items.get_mut(&id) else {
                continue;
            };
            let key = work.carryover_key();
            if self.carried_over.get(&key) == Some(&id) {
                self.carried_over.remove(&key);
            }
            match &mut work.phase {
                Phase::Running(run) if !run.stop_requested => {
                    run.stop_requested = true;
                    actions.push(Action::Stop {
                        work: id,
                        reason: "expired",
                    });
                }
                Phase::Running(_) => {}
                _ => {
                    self.work_items.remove(&id);
                }
            }
        }
    }

    /// Selects the groups that a batch needs: those carried over, then those whose longest item has
    /// the fewest events left, up to the number of groups that the trainer needs.
    pub(super) fn select_groups(&mut self, batch: &str) {
        let Some(batch) = self.batches.get_mut(batch) else {
            return;
        };
        let mut longest = vec![0; batch.group_count];
        for id in &batch.work_items {
            let work = &self.work_items[id];
            if matches!(work.phase, Phase::Waiting | Phase::Running(_)) {
                longest[work.group_index] = longest[work.group_index].max(work.remaining_events());
            }
        }
        let mut order: Vec<usize> = (0..batch.group_count).collect();
        order.sort_by_key(|group| (!batch.is_carried_over[*group], longest[*group]));
        batch.is_needed = vec![false; batch.group_count];
        for group in order.into_iter().take(batch.target_groups.max(1)) {
            batch.is_needed[group] = true;
        }
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

    fn plan_starts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for work in self.work_items.values_mut() {
            if work.phase == Phase::Waiting {
                work.waiting_since.get_or_insert(now);
            }
        }
        let finishing = self.finishing_batches();
        let mut candidates = self.candidates(now);
        let work_items = self.work_items.iter();
        let mut waiting: Vec<StartPriority> = work_items
            .filter_map(|(id, work)| self.start_priority(*id, work, &finishing, &candidates, now))
            .collect();
        waiting.sort_unstable();
        let mut starts = Vec::new();
        for priority in waiting {
            let work = &self.work_items[&priority.id];
            // A surplus group is likely to be resubmitted, so its text should come from a version
            // that the next batch accepts.
            let Some((_, replica)) = candidates.best(work, priority.is_surplus, None) else {
                continue;
            };
            candidates.place(&replica, work);
            starts.push((priority.id, replica));
        }
        for (work, replica) in starts {
            self.start(work, &replica, now);
            let replica = replica.to_string();
            actions.push(Action::Start { work, replica });
        }
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

    fn start(&mut self, id: WorkId, name: &str, now: Instant) {
        let Some(work) = self.work_items.get_mut(&id) else {
            return;
        };
        let run = Run {
            replica: name.to_owned(),
            started_at: now,
            last_event_at: now,
            silent_since: now,
            events: 0,
            prompt_tokens: work.prompt.tokens,
            unprefilled_tokens: self.prefilled.unprefilled(name, &work.prompt),
            stop_requested: false,
        };
        if let Some(replica) = self.replicas.get_mut(name) {
            replica.occupy(&run);
        }
        work.waiting_since = None;
        work.phase = Phase::Running(run);
    }

    /// Stops runs that would gain more than [`MIN_MOVE_GAIN`] on another replica, and runs on
    /// replicas that are loading weights or about to, if another replica can take them. The other
    /// replica is only reserved for the rest of this call; a later round selects the replica on
    /// which the item starts again.
    fn plan_moves(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let typical_ms = self.typical_event_ms();
        let mut candidates = self.candidates(now);
        let mut moves = Vec::new();
        let mut runs: Vec<(u64, WorkId)> = self
            .work_items
            .iter()
            .filter(|(_, work)| work.run().is_some_and(|run| !run.stop_requested))
            .map(|(id, work)| (work.remaining_events(), *id))
            .collect();
        runs.sort_unstable_by(|a, b| b.cmp(a));
        for (remaining, id) in runs {
            let work = &self.work_items[&id];
            let Some(run) = work.run() else { continue };
            let Some(from) = self.replicas.get(run.replica.as_str()) else {
                continue;
            };
            let is_reloading = from.is_reloading(&work.model);
            if !is_reloading
                && (moves.len() >= MAX_MOVES_PER_ROUND
                    || now.saturating_since(run.started_at) < MIN_TIME_BEFORE_MOVE)
            {
                continue;
            }
            let current_ms = from.event_ms(from.run_count, typical_ms, now);
            let Some((target_ms, target)) = candidates.best(work, false, Some(&run.replica)) else {
                continue;
            };
            let gain = (current_ms - target_ms) * remaining as f64;
            if is_reloading || gain > MIN_MOVE_GAIN.as_secs_f64() * 1e3 {
                candidates.place(&target, work);
                moves.push((id, if is_reloading { "closed" } else { "slow" }));
            }
        }
        for (id, reason) in moves {
            if let Some(Phase::Running(run)) =
                self.work_items.get_mut(&id).map(|work| &mut work.phase)
            {
                run.stop_requested = true;
            }
            actions.push(Action::Stop { work: id, reason });
        }
    }

    fn candidates(&self, now: Instant) -> Candidates<'_> {
        let typical_ms = self.typical_event_ms();
        Candidates::new(&self.replicas, &self.prefilled, typical_ms, now)
    }

    /// Returns the median over the replicas of the time per event of a request that runs alone.
    pub(super) fn typical_event_ms(&self) -> f64 {
        let solo_event_ms = self.replicas.values().filter_map(Replica::solo_event_ms);
        let mut solo_event_ms: Vec<f64> = solo_event_ms.collect();
        solo_event_ms.sort_by(f64::total_cmp);
        solo_event_ms
            .get(solo_event_ms.len() / 2)
            .copied()
            .unwrap_or(DEFAULT_EVENT_MS)
    }
}
