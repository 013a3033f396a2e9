//! A simulation of two lease holders and the replicas of one model, with fault injection.

use dogwoodlb_external::engine::{Action as Kind, Order, Weights};
use dogwoodlb_swap::{Action, LeaseGrant, Outcome, Replica, Settings, Swap, Target};
use dogwoodlb_types::{id, Instant, Timestamp};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashSet;
use std::time::Duration;

pub(crate) const STEP_MS: u64 = 50;
const EPOCH_MS: i64 = 1_700_000_000_000;
/// The period at which quiet hours recur.
const QUIET_CYCLE_MS: i64 = 90_000;
/// The start of the quiet hour in each period; it lasts until the end of the period.
const QUIET_START_MS: i64 = 65_000;
/// Maximum offset of a holder's wall clock from true time.
const SKEW_MS: i64 = 500;
/// Validity and expiry of a lease; see docs/design.md, section 4.1.
const LEASE_VALID_MS: u64 = 5_740;
const LEASE_EXPIRED_MS: u64 = 6_260;
/// The maximum duration of a load.
const MAX_LOAD_MS: u64 = 10_000;

/// Returns whether a change ends before the next quiet hour, allowing for a clock error of 1 s.
fn is_allowed(start: Timestamp, longest: Duration) -> bool {
    let at = start.as_millis().rem_euclid(QUIET_CYCLE_MS);
    at >= 1_000 && at + longest.as_millis() as i64 + 1_000 < QUIET_START_MS
}

#[derive(Default)]
struct Engine {
    checks_fencing: bool,
    version: Option<u64>,
    /// The version, when the load appears in reports, when it ends, and whether it succeeds.
    loading: Option<(u64, u64, u64, bool)>,
    fence: u64,
    seen: HashSet<id::Operation>,
}

struct Holder {
    swap: Swap,
    /// The origin of its monotonic clock, and the offset of its wall clock.
    origin_ms: u64,
    skew_ms: i64,
    paused_until: u64,
    fence: u64,
    granted_ms: u64,
    valid_until: u64,
    next_renewal: u64,
    target: u64,
    outbox: Vec<Action>,
}

/// The time of an event, the holder whose pause delays it, and the callback.
type Deferred = (u64, Option<usize>, Box<dyn FnOnce(&mut Fleet)>);

pub(crate) struct Fleet {
    pub(crate) now_ms: u64,
    pub(crate) has_faults: bool,
    /// Orders, orders delayed beyond their expiry, takeovers and exclusions.
    pub(crate) counts: [usize; 4],
    failure_rate: f64,
    engines: Vec<Engine>,
    holders: Vec<Holder>,
    fence: u64,
    /// When the lease was last granted or renewed.
    renewed_ms: u64,
    newest: u64,
    deferred: Vec<Deferred>,
    rng: SmallRng,
}

fn name(engine: usize) -> id::Upstream {
    format!("engine-{engine}").parse().unwrap()
}

fn index(upstream: &id::Upstream) -> usize {
    upstream.as_str()["engine-".len()..].parse().unwrap()
}

impl Fleet {
    pub(crate) fn new(seed: u64) -> Self {
        let mut fleet = Self {
            now_ms: 100_000,
            has_faults: true,
            counts: [0; 4],
            failure_rate: 0.0,
            engines: Vec::new(),
            holders: Vec::new(),
            fence: 0,
            renewed_ms: 0,
            newest: 1,
            deferred: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        fleet.failure_rate = fleet.rng.random_range(0.1..0.9);
        for _ in 0..8 {
            let (checks_fencing, version) = (fleet.rng.random(), Some(1));
            fleet.engines.push(Engine {
                checks_fencing,
                version,
                ..Engine::default()
            });
        }
        fleet.holders = (0..2).map(|_| fleet.holder()).collect();
        fleet
    }

    fn holder(&mut self) -> Holder {
        let longest = Duration::from_millis(MAX_LOAD_MS);
        let settings = Settings {
            max_duration: longest,
            ..Settings::default()
        };
        let mut swap = Swap::new("scorer".parse().unwrap(), settings);
        let engines = self.engines.iter().enumerate();
        let replicas = engines.map(|(index, engine)| Replica {
            upstream: name(index),
            checks_fencing: engine.checks_fencing,
        });
        swap.set_replicas(&replicas.collect::<Vec<_>>()).unwrap();
        Holder {
            swap,
            origin_ms: self.rng.random_range(0..1_000_000),
            skew_ms: self.rng.random_range(-SKEW_MS..=SKEW_MS),
            paused_until: 0,
            fence: 0,
            granted_ms: 0,
            valid_until: 0,
            next_renewal: 0,
            target: 1,
            outbox: Vec::new(),
        }
    }

    fn clock(&self, holder: usize) -> Instant {
        Instant::from_millis(self.holders[holder].origin_ms + self.now_ms)
    }

    fn fault_occurs(&mut self, probability: f64) -> bool {
        self.has_faults && self.rng.random_bool(probability)
    }

    fn later(&mut self, delay: u64, to: Option<usize>, callback: impl FnOnce(&mut Self) + 'static) {
        self.deferred
            .push((self.now_ms + delay, to, Box::new(callback)));
    }

    pub(crate) fn publish(&mut self) {
        self.newest += 1;
    }

    /// Pauses one of the nodes, which may be the lease holder.
    pub(crate) fn pause(&mut self) {
        let holder = self.rng.random_range(0..2);
        self.holders[holder].paused_until = self.now_ms + self.rng.random_range(500..20_000);
    }

    pub(crate) fn is_converged(&self) -> bool {
        let newest = Some(self.newest);
        let mut engines = self.engines.iter();
        engines.all(|engine| engine.version == newest && engine.loading.is_none())
    }

    pub(crate) fn step(&mut self) {
        self.now_ms += STEP_MS;
        for engine in &mut self.engines {
            if let Some((version, _, ends, succeeds)) = engine.loading {
                if ends <= self.now_ms {
                    engine.loading = None;
                    engine.version = succeeds.then_some(version);
                }
            }
        }
        self.deliver();
        for holder in 0..2 {
            if self.holders[holder].paused_until <= self.now_ms {
                // Actions returned before a pause are executed after it.
                self.execute_actions(holder);
                self.renew(holder);
                self.poll(holder);
            }
        }
    }

    /// Runs the events that are due. Responses to a paused process stay in its socket buffer.
    fn deliver(&mut self) {
        let is_due = |(at, to, _): &Deferred| {
            *at <= self.now_ms && to.is_none_or(|h| self.holders[h].paused_until <= self.now_ms)
        };
        let deferred = std::mem::take(&mut self.deferred);
        let (mut due, rest): (Vec<_>, _) = deferred.into_iter().partition(is_due);
        self.deferred = rest;
        due.sort_by_key(|(at, ..)| *at);
        for (_, _, callback) in due {
            callback(self);
        }
    }

    fn renew(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let now = self.clock(index);
        let holder = &mut self.holders[index];
        let is_owner = self.fence > 0 && holder.fence == self.fence;
        if !is_owner && now_ms - self.renewed_ms > LEASE_EXPIRED_MS {
            self.fence += 1;
            self.counts[2] += 1;
            holder.fence = self.fence;
            holder.granted_ms = now_ms;
        } else if !is_owner || holder.next_renewal > now_ms {
            return;
        }
        self.renewed_ms = now_ms;
        holder.next_renewal = now_ms + 2_000;
        holder.valid_until = now_ms + LEASE_VALID_MS;
        let until = Instant::from_millis(holder.origin_ms + holder.valid_until);
        let fence = id::Fence(holder.fence);
        holder
            .swap
            .set_lease(Some(LeaseGrant { fence, until }), now);
    }

    fn poll(&mut self, index: usize) {
        let now = self.clock(index);
        // A new target reaches the nodes at different times.
        let has_update = !self.has_faults || self.rng.random_bool(0.02);
        let holder = &mut self.holders[index];
        if has_update && holder.target != self.newest {
            holder.target = self.newest;
            let version = id::Version(self.newest);
            let object = format!("weights/scorer/{version}");
            holder.swap.set_target(Target { version, object }).unwrap();
        }
        let wall_clock_ms = EPOCH_MS + self.now_ms as i64 + holder.skew_ms;
        let wall_clock = Timestamp::from_millis(wall_clock_ms);
        let actions = holder
            .swap
            .poll(now, wall_clock, &is_allowed, &mut self.rng);
        holder.outbox.extend(actions);
        if !self.fault_occurs(0.05) {
            self.execute_actions(index);
        }
    }

    /// Executes the pending actions, reading the clock before each order.
    fn execute_actions(&mut self, holder: usize) {
        let now = self.clock(holder);
        for action in std::mem::take(&mut self.holders[holder].outbox) {
            match action {
                Action::Read { upstream } => {
                    let delay = self.rng.random_range(1..100);
                    let read = move |fleet: &mut Self| fleet.send_report(holder, upstream, now);
                    self.later(delay, None, read);
                }
                Action::Order {
                    upstream,
                    order,
                    start_by,
                } => {
                    self.send(holder, upstream, order, now <= start_by);
                }
                Action::Excluded { .. } => self.counts[3] += 1,
                Action::Newer { .. } => {}
            }
        }
    }

    fn send_report(&mut self, holder: usize, upstream: id::Upstream, requested_at: Instant) {
        if self.fault_occurs(0.1) {
            return;
        }
        let engine = &self.engines[index(&upstream)];
        let visible = engine
            .loading
            .filter(|(_, visible_at, ..)| *visible_at <= self.now_ms);
        let weights = Weights {
            model: "scorer".parse().unwrap(),
            version: engine.version.map(id::Version),
            loading: visible.map(|(version, ..)| id::Version(version)),
        };
        let delay = self.rng.random_range(1..100);
        self.later(delay, Some(holder), move |fleet| {
            let now = fleet.clock(holder);
            let swap = &mut fleet.holders[holder].swap;
            swap.on_weights(&upstream, requested_at, Some(&weights), now);
        });
    }

    fn send(&mut self, holder: usize, upstream: id::Upstream, order: Order, is_timely: bool) {
        if !is_timely || self.fault_occurs(0.05) {
            return self.send_result(holder, upstream, order.order, Outcome::NotSent);
        }
        self.counts[0] += 1;
        let sender = &self.holders[holder];
        assert!(
            self.now_ms < sender.valid_until,
            "order after the end of the lease"
        );
        let waited = self.now_ms - sender.granted_ms;
        let is_safe = self.engines[index(&upstream)].checks_fencing || waited >= 7_000;
        assert!(is_safe, "order {waited} ms after the lease was granted");
        // The process may be paused between reading the clock and sending the order.
        let is_delayed = self.fault_occurs(0.05);
        self.counts[1] += usize::from(is_delayed);
        let range = if is_delayed { 1_000..15_000 } else { 1..1_000 };
        let delay = self.rng.random_range(range);
        self.later(delay, None, move |fleet| {
            let outcome = fleet.receive(index(&upstream), &order, is_delayed);
            let is_lost = fleet.fault_occurs(0.1);
            let outcome = if is_lost { Outcome::Unknown } else { outcome };
            fleet.send_result(holder, upstream, order.order, outcome);
        });
    }

    fn send_result(
        &mut self,
        to: usize,
        upstream: id::Upstream,
        id: id::Operation,
        outcome: Outcome,
    ) {
        self.later(10, Some(to), move |fleet| {
            let now = fleet.clock(to);
            let swap = &mut fleet.holders[to].swap;
            swap.on_order_result(&upstream, id, outcome, now);
        });
    }

    fn receive(&mut self, engine: usize, order: &Order, is_delayed: bool) -> Outcome {
        let true_ms = EPOCH_MS + self.now_ms as i64;
        let load_fails = self.fault_occurs(self.failure_rate);
        let is_refused = self.fault_occurs(0.05);
        let Kind::LoadVersion { version, .. } = &order.action else {
            panic!("unexpected order");
        };
        let engine = &mut self.engines[engine];
        let is_expired = order.not_after_ms.as_millis() + SKEW_MS < true_ms;
        if engine.checks_fencing && order.fence.0 < engine.fence {
            return Outcome::Fenced;
        }
        if is_refused || engine.checks_fencing && is_expired {
            return Outcome::Refused;
        }
        engine.fence = engine.fence.max(order.fence.0);
        if !engine.seen.insert(order.order) {
            return Outcome::Accepted;
        }
        let end = true_ms.rem_euclid(QUIET_CYCLE_MS) + MAX_LOAD_MS as i64;
        assert!(
            is_delayed || end < QUIET_START_MS,
            "swap reaches into a quiet hour"
        );
        let ends = self.now_ms + self.rng.random_range(2_000..6_000);
        let visible_at = self.now_ms + self.rng.random_range(0..1_500);
        engine.loading = Some((version.0, visible_at, ends, !load_fails));
        Outcome::Accepted
    }
}
