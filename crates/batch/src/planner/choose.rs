//! Which items start, move and stop now.

use super::candidates::Candidates;
use super::{Action, Batch, Planner};
use crate::replica::Replica;
use crate::work::{Phase, Run, Work, WorkId};
use dogwoodlb_types::Instant;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

/// A run without an event for this long is taken to another replica. A change of weights stops
/// runs for less time.
const STALL: Duration = Duration::from_millis(2_200);
/// The time that a move has to save, so that the connection which it closes and the repeated
/// reading of the prompt pay.
const MOVE_GAIN: Duration = Duration::from_millis(1_000);
/// A run is not moved before it has run this long, so that its speed is known.
const MOVE_AFTER: Duration = Duration::from_millis(400);
/// The moves of one round; the speeds are estimated anew before the next one.
const MOVES: usize = 4;
const MOVE_INTERVAL: Duration = Duration::from_millis(100);
/// A batch is almost whole when the items that it still needs take one in this many slots.
const CLOSING_SHARE: usize = 4;
/// The time of one event before any was seen, in milliseconds.
const FIRST_EVENT_MS: f64 = 32.0;

/// Where a waiting item stands; the lowest starts first.
///
/// A run that was broken off goes on before others begin, or a move would lose its place. The
/// longest items start first, of whichever batch, because the last one to end decides.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Turn {
    /// Whether its batch can do without its group.
    is_spare: bool,
    /// Whether its batch still needs many items.
    is_early: bool,
    is_new: bool,
    remaining: Reverse<u64>,
    id: WorkId,
}

impl Planner {
    /// Decides what is started and stopped now.
    ///
    /// Nothing is started in a round that stops runs: they are to be placed anew before others
    /// take the slots. The shell asks again once it has stopped them.
    pub fn plan(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        self.stop_stalled(now, &mut actions);
        if self.next_move <= now {
            self.next_move = now + MOVE_INTERVAL;
            let batches: Vec<String> = self.batches.keys().cloned().collect();
            for batch in batches {
                self.rank_groups(&batch);
            }
            self.plan_moves(now, &mut actions);
        }
        if actions.is_empty() {
            self.plan_starts(now, &mut actions);
        }
        actions
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_expired = |work: &Work| work.expires.is_some_and(|at| at <= now);
        let expired = self.works.iter().filter(|(_, work)| is_expired(work));
        let expired: Vec<WorkId> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            let Some(work) = self.works.get_mut(&id) else {
                continue;
            };
            if self.carried.get(&work.item) == Some(&id) {
                self.carried.remove(&work.item);
            }
            match &mut work.phase {
                Phase::Running(run) if !run.stopping => {
                    run.stopping = true;
                    actions.push(Action::Stop {
                        work: id,
                        reason: "expired",
                    });
                }
                Phase::Running(_) => {}
                _ => {
                    self.works.remove(&id);
                }
            }
        }
    }

    fn stop_stalled(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for (id, work) in &mut self.works {
            let Phase::Running(run) = &mut work.phase else {
                continue;
            };
            if run.stopping || now.saturating_since(run.heard) < STALL {
                continue;
            }
            run.stopping = true;
            if let Some(replica) = self.replicas.get_mut(run.replica.as_str()) {
                replica.on_failure(now);
            }
            actions.push(Action::Stop {
                work: *id,
                reason: "stalled",
            });
        }
    }

    /// Chooses the groups of a batch that are likely to be complete first.
    pub(super) fn rank_groups(&mut self, batch: &str) {
        let Some(batch) = self.batches.get_mut(batch) else {
            return;
        };
        let mut longest = vec![0; batch.groups];
        for id in &batch.works {
            let work = &self.works[id];
            if matches!(work.phase, Phase::Waiting | Phase::Running(_)) {
                longest[work.group] = longest[work.group].max(work.remaining());
            }
        }
        let mut order: Vec<usize> = (0..batch.groups).collect();
        order.sort_by_key(|group| (!batch.carried[*group], longest[*group]));
        batch.needed = vec![false; batch.groups];
        for group in order.into_iter().take(batch.target.max(1)) {
            batch.needed[group] = true;
        }
    }

    fn turn(&self, id: WorkId, work: &Work, closing: &BTreeSet<&str>) -> Option<Turn> {
        let name = work.batch.as_deref()?;
        let batch = self.batches.get(name)?;
        let is_waiting = work.phase == Phase::Waiting;
        is_waiting.then(|| Turn {
            is_spare: !batch.needed[work.group],
            is_early: !closing.contains(name),
            is_new: work.progress.last_event == 0,
            remaining: Reverse(work.remaining()),
            id,
        })
    }

    fn plan_starts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let closing = self.closing();
        let works = self.works.iter();
        let mut waiting: Vec<Turn> = works
            .filter_map(|(id, work)| self.turn(*id, work, &closing))
            .collect();
        waiting.sort_unstable();
        let mut candidates = Candidates::new(&self.replicas, self.usual_ms(), now);
        let mut starts = Vec::new();
        for turn in waiting {
            let work = &self.works[&turn.id];
            // The text of a group that will come again has to be new enough for its next batch.
            let Some((_, replica)) = candidates.best(work, turn.is_spare, None) else {
                continue;
            };
            candidates.place(&replica, work.prompt_tokens);
            starts.push((turn.id, replica));
        }
        for (work, replica) in starts {
            self.start(work, &replica, now);
            let replica = replica.to_string();
            actions.push(Action::Start { work, replica });
        }
    }

    /// Returns the batches that are almost whole. Their last items take few slots, and by length
    /// alone they would wait behind those of a batch that has just begun.
    fn closing(&self) -> BTreeSet<&str> {
        let replicas = self.replicas.values();
        let slots: usize = replicas.map(|one| one.view.slots as usize).sum();
        let most = slots / CLOSING_SHARE;
        let is_closing = |batch: &Batch| {
            let is_missing = |work: &&WorkId| {
                let work = &self.works[*work];
                let is_open = matches!(work.phase, Phase::Waiting | Phase::Running(_));
                is_open && batch.needed[work.group]
            };
            batch.works.iter().filter(is_missing).count() <= most
        };
        let closing = self.batches.iter().filter(|(_, batch)| is_closing(batch));
        closing.map(|(name, _)| name.as_str()).collect()
    }

    fn start(&mut self, id: WorkId, name: &str, now: Instant) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        let tokens = work.prompt_tokens;
        work.phase = Phase::Running(Run {
            replica: name.to_owned(),
            since: now,
            heard: now,
            events: 0,
            tokens,
            stopping: false,
        });
        if let Some(replica) = self.replicas.get_mut(name) {
            replica.running += 1;
            replica.tokens += tokens;
        }
    }

    /// Moves runs away from replicas that are about to change weights, and from slow ones.
    fn plan_moves(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let usual = self.usual_ms();
        let mut candidates = Candidates::new(&self.replicas, usual, now);
        let mut moves = Vec::new();
        let mut runs: Vec<(u64, WorkId)> = self
            .works
            .iter()
            .filter(|(_, work)| work.run().is_some_and(|run| !run.stopping))
            .map(|(id, work)| (work.remaining(), *id))
            .collect();
        runs.sort_unstable_by(|a, b| b.cmp(a));
        for (remaining, id) in runs {
            let work = &self.works[&id];
            let Some(run) = work.run() else { continue };
            let Some(from) = self.replicas.get(run.replica.as_str()) else {
                continue;
            };
            let closed = from.is_closed(&work.model);
            if !closed && (moves.len() >= MOVES || now.saturating_since(run.since) < MOVE_AFTER) {
                continue;
            }
            let here = from.event_ms(from.running, usual, now);
            let Some((there, target)) = candidates.best(work, false, Some(&run.replica)) else {
                continue;
            };
            let gain = (here - there) * remaining as f64;
            if closed || gain > MOVE_GAIN.as_secs_f64() * 1e3 {
                candidates.place(&target, work.prompt_tokens);
                moves.push((id, if closed { "closed" } else { "slow" }));
            }
        }
        for (id, reason) in moves {
            if let Some(Phase::Running(run)) = self.works.get_mut(&id).map(|work| &mut work.phase) {
                run.stopping = true;
            }
            actions.push(Action::Stop { work: id, reason });
        }
    }

    /// Returns the usual time of one event of a request that runs alone.
    fn usual_ms(&self) -> f64 {
        let units = self.replicas.values().filter_map(Replica::unit_ms);
        let mut units: Vec<f64> = units.collect();
        units.sort_by(f64::total_cmp);
        units
            .get(units.len() / 2)
            .copied()
            .unwrap_or(FIRST_EVENT_MS)
    }
}
