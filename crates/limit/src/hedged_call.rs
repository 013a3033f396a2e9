use crate::Hedging;
use dogwoodlb_types::Instant;
use std::time::Duration;

/// The maximum number of copies that run concurrently. With a fifth of the replicas unresponsive,
/// all three run on such replicas in less than one call in a hundred.
const MAX_COPIES: usize = 3;
/// A copy counts as a failure of its replica if it has been outstanding for longer than this
/// multiple of the time in which another replica responded, and for at least [`MIN_EXCESS`] more.
const FAILURE_FACTOR: u32 = 2;
/// Replicas that answer within milliseconds differ by a factor of 2 for no reason.
const MIN_EXCESS: Duration = Duration::from_millis(250);
/// The largest number of doublings of the hedge delay.
const MAX_DOUBLINGS: u32 = 6;

/// Identifies a copy of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CopyKey(u32);

#[derive(Clone, Copy, Debug)]
struct RunningCopy {
    key: CopyKey,
    sent_at: Instant,
    /// The end of the time that the replica was told.
    due_at: Instant,
}

/// The concurrent copies of one idempotent call.
///
/// [`Hedging`] describes the load that it addresses. The first usable response ends the call. It
/// shows how long the processing takes on any replica, so it also tells which of the other copies
/// ran on a slow or unresponsive replica. No copy is cancelled for its age; the only exception is a
/// copy whose replica was told less time, if its place is needed for a hedge (`MAX_COPIES`).
#[derive(Clone, Debug)]
pub struct HedgedCall {
    route: String,
    latency_target: Duration,
    /// The hedge delay before the first hedge. It doubles with each hedge.
    delay: Duration,
    running: Vec<RunningCopy>,
    copies_sent: u32,
    hedges: u32,
    hedge_at: Instant,
}

impl HedgedCall {
    pub(crate) fn new(route: &str, latency_target: Duration, delay: Duration) -> Self {
        Self {
            route: route.to_owned(),
            latency_target,
            delay,
            running: Vec::new(),
            copies_sent: 0,
            hedges: 0,
            hedge_at: Instant::default(),
        }
    }

    /// Returns the hedge delay of the call before its first hedge.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Records that a copy is sent: the first one, one that replaces another, or a hedge. Its replica
    /// is told that it has time until `due_at`.
    pub fn on_sent(&mut self, due_at: Instant, now: Instant) -> CopyKey {
        self.copies_sent += 1;
        let key = CopyKey(self.copies_sent);
        self.running.push(RunningCopy {
            key,
            sent_at: now,
            due_at,
        });
        self.hedge_at = now + self.current_delay();
        key
    }

    /// Returns the time at which a hedge is due, or `None` if no copy is running. If too many are
    /// running, it is not before the time that the oldest one's replica was told has passed.
    pub fn hedge_at(&self) -> Option<Instant> {
        let oldest = self.running.first()?;
        match self.running.len() < MAX_COPIES {
            true => Some(self.hedge_at),
            false => Some(self.hedge_at.max(oldest.due_at)),
        }
    }

    /// Ends the oldest copy if too many are running for a hedge that is due, and returns it. It says
    /// nothing about its replica.
    pub fn make_room(&mut self, hedging: &mut Hedging, now: Instant) -> Option<CopyKey> {
        if self.running.len() < MAX_COPIES {
            return None;
        }
        let oldest = self.running.remove(0);
        let age = now.saturating_since(oldest.sent_at);
        let route = hedging.route(&self.route, now);
        route.profile.record_lower_bound(age, now);
        Some(oldest.key)
    }

    /// Returns whether to send a hedge now, and takes it from the budget of the route. If the budget
    /// is exhausted, the call asks again after the hedge delay.
    pub fn try_hedge(&mut self, hedging: &mut Hedging, now: Instant) -> bool {
        if self.hedge_at().is_none_or(|at| now < at) {
            return false;
        }
        if !hedging.route(&self.route, now).budget.try_retry(now) {
            self.postpone(now);
            return false;
        }
        self.hedges += 1;
        true
    }

    /// Records that a hedge can't be sent now, for instance because no other replica is free.
    pub fn postpone(&mut self, now: Instant) {
        self.hedge_at = now + self.current_delay();
    }

    /// Records that a copy ended without a usable response, or was not sent.
    pub fn on_ended(&mut self, copy: CopyKey) {
        self.running.retain(|running| running.key != copy);
    }

    /// Records that a copy has the first usable response. The call and all other copies end; those
    /// that count as failures of their replicas are returned. The others say nothing about theirs.
    pub fn on_response(
        &mut self,
        copy: CopyKey,
        hedging: &mut Hedging,
        now: Instant,
    ) -> Vec<CopyKey> {
        let winner = self.running.iter().find(|running| running.key == copy);
        let Some(took) = winner.map(|winner| now.saturating_since(winner.sent_at)) else {
            return Vec::new();
        };
        self.on_ended(copy);
        let route = hedging.route(&self.route, now);
        route.profile.record(took, now);
        self.end(took, hedging, now)
    }

    /// Records that the time of the call is up. Without a response, only a copy without a hedge that
    /// is late by the latency objective of the route counts as a failure of its replica and is
    /// returned. If several replicas did not answer, the reason can be the call.
    pub fn on_expired(&mut self, hedging: &mut Hedging, now: Instant) -> Vec<CopyKey> {
        if self.hedges > 0 {
            self.on_cancelled(hedging, now);
            return Vec::new();
        }
        self.end(self.latency_target, hedging, now)
    }

    /// Records that the call was cancelled, so that no copy says anything about its replica.
    pub fn on_cancelled(&mut self, hedging: &mut Hedging, now: Instant) {
        self.end(Duration::MAX, hedging, now);
    }

    /// Ends the running copies. A copy that counts as a failure is left out of the times of the
    /// route: its age tells about the replica, not about the call.
    fn end(&mut self, reference: Duration, hedging: &mut Hedging, now: Instant) -> Vec<CopyKey> {
        let route = hedging.route(&self.route, now);
        let mut failed = Vec::new();
        for copy in self.running.drain(..) {
            let age = now.saturating_since(copy.sent_at);
            if is_failure(age, reference) {
                failed.push(copy.key);
            } else {
                route.profile.record_lower_bound(age, now);
            }
        }
        failed
    }

    fn current_delay(&self) -> Duration {
        let factor = 1 << self.hedges.min(MAX_DOUBLINGS);
        self.delay.saturating_mul(factor)
    }
}

/// Returns whether a copy that has been outstanding for `age` ran on a slow or unresponsive replica,
/// if another replica needs `reference` for the call.
fn is_failure(age: Duration, reference: Duration) -> bool {
    age > reference.saturating_mul(FAILURE_FACTOR) && age >= reference.saturating_add(MIN_EXCESS)
}
