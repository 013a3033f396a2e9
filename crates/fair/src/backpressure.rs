use dogwoodlb_types::Instant;
use std::time::Duration;

/// The factor on the limit after a refusal.
const DECREASE: f64 = 0.8;
/// The minimum time between two decreases: the refusals of requests that were sent together are one
/// signal.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(50);
/// The limit ends after this time without a refusal.
const MEMORY: Duration = Duration::from_secs(5);
/// The pause after refusals, unless a response tells before that a slot is free.
const PAUSE: Duration = Duration::from_millis(15);
/// The number of refusals in a row that lead to a pause. After a single one, another replica may have
/// a free slot.
const REFUSALS_BEFORE_PAUSE: u32 = 2;

/// Limits a node's running requests to a service that other nodes use as well.
///
/// A node does not know which slots others use; a replica whose slots are all in use refuses. Without
/// a limit, requests would use up their attempts on full replicas while those of other organisations
/// wait. The limit exists from a refusal on, falls by a fifth with refusals, and grows by one with
/// each round of responses (additive increase, multiplicative decrease).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backpressure {
    limit: Option<f64>,
    refused_at: Instant,
    decreased_at: Instant,
    /// The number of refusals since the last response.
    refusals: u32,
    paused_until: Instant,
}

impl Backpressure {
    /// Returns whether one more request may start beside those that run.
    pub(crate) fn allows(&self, running: u32, now: Instant) -> bool {
        let is_limited = now.saturating_since(self.refused_at) < MEMORY;
        let limit = self.limit.filter(|_| is_limited);
        now >= self.paused_until && limit.is_none_or(|limit| f64::from(running) < limit.floor())
    }

    /// Records the refusal of a request; `running` is the number of the others.
    pub(crate) fn on_refusal(&mut self, running: u32, now: Instant) {
        let is_limited = now.saturating_since(self.refused_at) < MEMORY;
        let limit = self.limit.filter(|_| is_limited);
        if limit.is_none() || now.saturating_since(self.decreased_at) >= MIN_DECREASE_INTERVAL {
            let used = f64::from(running) + 1.0;
            let limit = limit.map_or(used, |limit| limit.min(used));
            self.limit = Some((limit * DECREASE).max(1.0));
            self.decreased_at = now;
        }
        self.refused_at = now;
        self.refusals = self.refusals.saturating_add(1);
        if self.refusals >= REFUSALS_BEFORE_PAUSE {
            self.paused_until = now + PAUSE;
        }
    }

    /// Records a response. The limit grows only if it is used.
    pub(crate) fn on_response(&mut self, running: u32) {
        self.refusals = 0;
        self.paused_until = Instant::default();
        if let Some(limit) = &mut self.limit {
            if f64::from(running) + 2.0 > *limit {
                *limit += 1.0 / *limit;
            }
        }
    }
}
