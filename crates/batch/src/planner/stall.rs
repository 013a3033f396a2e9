//! Stops runs without events, and keeps new runs away from replicas that have fallen silent.
//!
//! The load that it addresses: replicas of which some are slow by a factor of 2 to 8, pause all
//! their runs while they load weights, or stop sending events although their health check passes.
//! With one limit for all, a run on an unresponsive replica waits as long as a loading one needs,
//! and a run on a slow replica is stopped for no reason.

use super::{Action, Planner};
use crate::replica::Replica;
use crate::work::{Phase, Run, Work, WorkId};
use dogwoodlb_types::Instant;
use std::collections::HashMap;
use std::time::Duration;

/// The minimum time without an event after which a run is stopped. Typical events are 40 ms apart.
const MIN_LIMIT: Duration = Duration::from_millis(800);
/// The minimum while a replica loads weights, is about to, or has just loaded: a load pauses its
/// runs for 0.9 s or longer.
const MIN_LIMIT_AROUND_LOAD: Duration = Duration::from_millis(2_200);
/// How long after a load its pause may still show.
const LOAD_EFFECT: Duration = Duration::from_secs(2);
/// The limit as a multiple of the replica's time per event. While an engine prefills the prompts of
/// other requests between the tokens of a run, an event takes up to 8 times as long.
const EVENT_TIME_FACTOR: f64 = 10.0;
/// The assumed speed of prefill, a quarter of that of the engines in use.
const PREFILL_TOKENS_PER_MS: u64 = 50;
/// The largest time for prefill. Callers state the size of prompts.
const MAX_PREFILL_TIME: Duration = Duration::from_secs(5);
/// A longer time between two rounds does not count as missing events, because the node was
/// suspended or had no processor time.
const MAX_ROUND_GAP: Duration = Duration::from_millis(500);
/// The part of such a gap that counts, so that a leader whose rounds all take that long still stops
/// runs.
const COUNTED_GAP: Duration = Duration::from_millis(100);

/// A run that was without an event for too long.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stall {
    /// The replica of the run.
    pub replica: String,
    /// The number of events of the run.
    pub events: u64,
    /// The time without an event.
    pub silent_for: Duration,
    /// The time after which the run is stopped.
    pub limit: Duration,
}

impl Replica {
    /// Returns how long a run may be without an event.
    fn event_limit(&self, run: &Run, typical_event_ms: f64, now: Instant) -> Duration {
        let since_load = now.saturating_since(self.last_load_at);
        let is_loading = !self.state.reloading.is_empty() || since_load < LOAD_EFFECT;
        let min = match is_loading {
            true => MIN_LIMIT_AROUND_LOAD,
            false => MIN_LIMIT,
        };
        let event_ms = self.event_ms(self.run_count, typical_event_ms, now);
        let own = Duration::from_secs_f64(event_ms * EVENT_TIME_FACTOR / 1e3);
        // The prompts of the other runs may be prefilled first.
        let prefill = match run.events {
            0 => Duration::from_millis(self.prompt_tokens / PREFILL_TOKENS_PER_MS),
            _ => Duration::ZERO,
        };
        own.max(min) + prefill.min(MAX_PREFILL_TIME)
    }
}

impl Planner {
    /// Stops the runs that were without an event for too long, and marks the replicas on which all
    /// runs have been without one for half of that time.
    pub(super) fn stop_stalled(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.excuse_gap(now);
        for replica in self.replicas.values_mut() {
            replica.observe_loads(now);
        }
        let silent = |work: &&Work| work.run().is_some_and(|run| is_silent(run, now));
        // Usually none is, so that most rounds end here.
        if !self.work_items.values().any(|work| silent(&work)) {
            return;
        }
        let typical_ms = self.typical_event_ms();
        let mut silent_runs: HashMap<String, u32> = HashMap::new();
        let mut stalled = Vec::new();
        for (id, work) in self.work_items.iter().filter(|(_, work)| silent(work)) {
            let Some(stall) = self.check_run(work, typical_ms, now) else {
                continue;
            };
            if stall.silent_for >= stall.limit {
                stalled.push(*id);
            }
            if stall.silent_for >= stall.limit / 2 {
                *silent_runs.entry(stall.replica).or_default() += 1;
            }
        }
        for (name, count) in silent_runs {
            if let Some(replica) = self.replicas.get_mut(name.as_str()) {
                replica.is_silent |= count >= 2 && count >= replica.run_count;
            }
        }
        for work in stalled {
            self.request_stop(work, now);
            let reason = "stalled";
            actions.push(Action::Stop { work, reason });
        }
    }

    /// Returns how long the run of an item has been without an event, and its limit.
    pub fn stall(&self, work: WorkId, now: Instant) -> Option<Stall> {
        let work = self.work_items.get(&work)?;
        self.check_run(work, self.typical_event_ms(), now)
    }

    fn check_run(&self, work: &Work, typical_ms: f64, now: Instant) -> Option<Stall> {
        let run = work.run()?;
        // A run whose replica was removed is finishing there, or was cut off with it.
        let replica = self.replicas.get(run.replica.as_str());
        let limit = replica.map_or(MIN_LIMIT_AROUND_LOAD, |replica| {
            replica.event_limit(run, typical_ms, now)
        });
        Some(Stall {
            replica: run.replica.clone(),
            events: run.events,
            silent_for: now.saturating_since(run.silent_since),
            limit,
        })
    }

    fn request_stop(&mut self, id: WorkId, now: Instant) {
        let work = self.work_items.get_mut(&id);
        let Some(Phase::Running(run)) = work.map(|work| &mut work.phase) else {
            return;
        };
        run.stop_requested = true;
        if let Some(replica) = self.replicas.get_mut(run.replica.as_str()) {
            replica.on_failure(now);
        }
    }

    /// Returns whether the planner was not called for so long that the events of that time can't be
    /// expected to have arrived.
    pub(super) fn has_gap(&self, now: Instant) -> bool {
        let last = self.last_round_at;
        last.is_some_and(|last| now.saturating_since(last) > MAX_ROUND_GAP)
    }

    fn excuse_gap(&mut self, now: Instant) {
        let has_gap = self.has_gap(now);
        let last = self.last_round_at.replace(now).unwrap_or(now);
        if !has_gap {
            return;
        }
        let excused = now.saturating_since(last).saturating_sub(COUNTED_GAP);
        for work in self.work_items.values_mut() {
            if let Phase::Running(run) = &mut work.phase {
                run.silent_since = (run.silent_since + excused).min(now);
            }
        }
    }
}

/// Returns whether a run has been without an event for half of the least limit.
fn is_silent(run: &Run, now: Instant) -> bool {
    !run.stop_requested && now.saturating_since(run.silent_since) >= MIN_LIMIT / 2
}
