use crate::prefill::Prefilling;
use crate::work::Run;
use dogwoodlb_types::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// The increase of the time per event for each concurrent request on a replica, as a fraction of
/// the time per event of a request that runs alone.
const SLOWDOWN_PER_RUN: f64 = 0.035;
/// The weight of the newest measurement in the exponential moving average of the time per event.
const EVENT_TIME_SMOOTHING: f64 = 0.15;
/// The half-life with which the estimated time per event of a replica without events decays to the
/// typical time per event, so that a replica that was slow is tried again.
const SPEED_HALF_LIFE: Duration = Duration::from_secs(4);
/// The backoff after the first failure; it doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// The backoff after a refusal. A replica refuses runs while runs of other nodes fill it, and each
/// of these may end soon.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(60);
/// The backoff after a text without end. The events before it have reset the other backoff, and make
/// the replica look faster than any other.
const ENDLESS_TEXT_BACKOFF: Duration = Duration::from_secs(30);

/// Returns the factor by which `running` concurrent requests increase the time per event.
pub(crate) fn slowdown(running: u32) -> f64 {
    1.0 + SLOWDOWN_PER_RUN * f64::from(running)
}

/// The state of a replica as the node observes it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplicaState {
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The capacity of its KV cache in tokens; 0 if unknown.
    pub kv_capacity_tokens: u64,
    /// The weight version of each loaded model.
    pub versions: BTreeMap<String, u64>,
    /// The models whose weights are being loaded or are about to be.
    pub reloading: Vec<String>,
}

/// A replica with its load and its measured speed.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) state: ReplicaState,
    /// The number of runs of this node on it.
    pub(crate) run_count: u32,
    /// The number of prompt tokens of these runs.
    pub(crate) prompt_tokens: u64,
    /// The prompts of these runs without an event.
    pub(crate) prefilling: Prefilling,
    /// The estimated time per event of a request that runs alone, in milliseconds.
    solo_event_ms: Option<f64>,
    last_event_at: Instant,
    failures: u32,
    backoff_until: Instant,
    /// Whether the weights may have changed since the last planning round.
    has_new_weights: bool,
    /// The last time at which the replica may have been loading weights.
    pub(crate) last_load_at: Instant,
    /// Whether all its runs have been without an event for a while. It gets no new run until one of
    /// them has an event.
    pub(crate) is_silent: bool,
}

impl Replica {
    pub(crate) fn new(state: ReplicaState) -> Self {
        Self {
            state,
            run_count: 0,
            prompt_tokens: 0,
            prefilling: Prefilling::default(),
            solo_event_ms: None,
            last_event_at: Instant::default(),
            failures: 0,
            backoff_until: Instant::default(),
            // A former leader may have had weights loaded a moment ago.
            has_new_weights: true,
            last_load_at: Instant::default(),
            is_silent: false,
        }
    }

    pub(crate) fn set_state(&mut self, state: ReplicaState) {
        let old = &self.state;
        self.has_new_weights |= old.versions != state.versions || old.reloading != state.reloading;
        self.state = state;
    }

    /// Records whether weights are being loaded, or were since the last planning round.
    pub(crate) fn observe_loads(&mut self, now: Instant) {
        if std::mem::take(&mut self.has_new_weights) || !self.state.reloading.is_empty() {
            self.last_load_at = now;
        }
    }

    /// Returns whether the replica accepts new runs of a model if it has a free slot and KV cache
    /// capacity.
    pub(crate) fn accepts_runs(&self, model: &str, now: Instant) -> bool {
        self.backoff_until <= now && !self.is_silent && !self.is_reloading(model)
    }

    /// Returns whether a prompt fits into the KV cache in addition to the current runs and to
    /// `placed_runs` planned runs with `placed_tokens` prompt tokens. Always true if the capacity
    /// is unknown, or if there are no current and no planned runs.
    pub(crate) fn has_kv_capacity(
        &self,
        tokens: u64,
        placed_runs: u32,
        placed_tokens: u64,
    ) -> bool {
        let capacity = self.state.kv_capacity_tokens;
        let is_empty = self.run_count + placed_runs == 0;
        let used = self.prompt_tokens.saturating_add(placed_tokens);
        capacity == 0 || is_empty || used.saturating_add(tokens) <= capacity
    }

    /// Occupies a slot and the prompt tokens of a run that starts.
    pub(crate) fn occupy(&mut self, run: &Run) {
        self.run_count += 1;
        self.prompt_tokens = self.prompt_tokens.saturating_add(run.prompt_tokens);
        self.prefilling.add(run.unprefilled_tokens);
    }

    /// Records that the prompt of a run has been prefilled.
    pub(crate) fn on_prefilled(&mut self, run: &mut Run) {
        self.prefilling
            .remove(std::mem::take(&mut run.unprefilled_tokens));
    }

    /// Releases the slot and the prompt tokens of a run that has ended.
    pub(crate) fn release(&mut self, run: &Run) {
        self.run_count = self.run_count.saturating_sub(1);
        self.is_silent &= self.run_count > 0;
        self.prompt_tokens = self.prompt_tokens.saturating_sub(run.prompt_tokens);
        self.prefilling.remove(run.unprefilled_tokens);
    }

    pub(crate) fn is_reloading(&self, model: &str) -> bool {
        self.state.reloading.iter().any(|name| name == model)
    }

    pub(crate) fn version(&self, model: &str) -> Option<u64> {
        self.state.versions.get(model).copied()
    }

    /// Returns the expected time per event, in milliseconds, with `running` concurrent requests.
    pub(crate) fn event_ms(&self, running: u32, typical_event_ms: f64, now: Instant) -> f64 {
        let solo_ms = self.solo_event_ms.map_or(typical_event_ms, |measured| {
            let silent_s = now.saturating_since(self.last_event_at).as_secs_f64();
            let weight = 0.5_f64.powf(silent_s / SPEED_HALF_LIFE.as_secs_f64());
            typical_event_ms + (measured - typical_event_ms) * weight
        });
        solo_ms * slowdown(running)
    }

    pub(crate) fn solo_event_ms(&self) -> Option<f64> {
        self.solo_event_ms
    }

    /// Updates the speed estimate with the time between two consecutive events of one run.
    pub(crate) fn on_event(&mut self, gap: Duration, now: Instant) {
        let measured = gap.as_secs_f64() * 1e3 / slowdown(self.run_count);
        let old = self.solo_event_ms.unwrap_or(measured);
        self.solo_event_ms = Some(old + (measured - old) * EVENT_TIME_SMOOTHING);
        self.last_event_at = now;
        self.failures = 0;
    }

    pub(crate) fn on_failure(&mut self, now: Instant) {
        let backoff = INITIAL_BACKOFF * (1 << self.failures.min(4));
        self.failures += 1;
        self.backoff_until = self.backoff_until.max(now + backoff.min(MAX_BACKOFF));
    }

    /// Records a text that exceeded its limit, and forgets the speed that its events showed.
    pub(crate) fn on_endless_text(&mut self, now: Instant) {
        self.solo_event_ms = None;
        self.backoff_until = now + ENDLESS_TEXT_BACKOFF;
    }

    pub(crate) fn on_refusal(&mut self, now: Instant) {
        self.backoff_until = self.backoff_until.max(now + REFUSAL_BACKOFF);
    }
}
