//! A swap with simulated replicas that respond to reads immediately, driven step by step.

use dogwoodlb_external::engine::{Action as Kind, Order, Weights};
use dogwoodlb_swap::{Action, LeaseGrant, Outcome, Replica, Settings, Swap, Target};
use dogwoodlb_types::{id, Instant, Timestamp};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::cell::Cell;
use std::time::Duration;

pub(crate) const STEP_MS: u64 = 100;
/// The wall-clock time at the origin of the monotonic clock.
const EPOCH_MS: i64 = 1_700_000_000_000;

pub(crate) struct Harness {
    pub(crate) now_ms: u64,
    pub(crate) swap: Swap,
    /// The version that each replica serves, and the version that it is loading.
    pub(crate) served: Vec<(Option<u64>, Option<u64>)>,
    pub(crate) is_quiet: bool,
    /// A replica that does not respond to reads.
    pub(crate) silent: Option<usize>,
    /// The duration last passed to the quiet-hour check.
    pub(crate) checked_duration: Cell<Duration>,
    rng: SmallRng,
}

/// An order as the I/O driver would send it.
pub(crate) struct Sent {
    pub(crate) at_ms: u64,
    pub(crate) engine: usize,
    pub(crate) version: u64,
    pub(crate) order: Order,
    pub(crate) start_by: Instant,
}

pub(crate) fn name(engine: usize) -> id::Upstream {
    format!("engine-{engine:03}").parse().unwrap()
}

pub(crate) fn wall_clock(now_ms: u64) -> Timestamp {
    Timestamp::from_millis(EPOCH_MS + now_ms as i64)
}

pub(crate) fn target(version: u64) -> Target {
    Target {
        version: id::Version(version),
        object: format!("weights/scorer/{version}"),
    }
}

impl Harness {
    /// Creates replicas that serve version 1, with target version 2 and a lease with fence 1.
    /// Only the given share, in thousandths, and the start rate limit the swap.
    pub(crate) fn new(count: usize, checks_fencing: bool, share: u32, rate: (u32, u32)) -> Self {
        let settings = Settings {
            max_swapping_permille: share,
            starts_per_s: rate.0,
            burst: rate.1,
            max_duration: Duration::from_secs(10),
            ..Settings::default()
        };
        let mut swap = Swap::new("scorer".parse().unwrap(), settings);
        let replicas = (0..count).map(|engine| Replica {
            upstream: name(engine),
            checks_fencing,
        });
        swap.set_replicas(&replicas.collect::<Vec<_>>()).unwrap();
        swap.set_target(target(2)).unwrap();
        let mut harness = Self {
            now_ms: 50_000,
            swap,
            served: vec![(Some(1), None); count],
            is_quiet: false,
            silent: None,
            checked_duration: Cell::default(),
            rng: SmallRng::seed_from_u64(1),
        };
        harness.hold(1, 1_000_000);
        harness
    }

    /// Creates a single replica that checks fencing tokens.
    pub(crate) fn one() -> Self {
        Self::new(1, true, 1_000, (1_000, 1_000))
    }

    pub(crate) fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    pub(crate) fn hold(&mut self, fence: u64, for_ms: u64) {
        let until = Instant::from_millis(self.now_ms + for_ms);
        let fence = id::Fence(fence);
        self.swap
            .set_lease(Some(LeaseGrant { fence, until }), self.now());
    }

    /// Advances by one step; returns the orders, and the actions that are reported to operators.
    pub(crate) fn step(&mut self) -> (Vec<Sent>, Vec<Action>) {
        self.now_ms += STEP_MS;
        let (now, is_quiet) = (self.now(), self.is_quiet);
        let is_allowed = |_: Timestamp, longest: Duration| {
            self.checked_duration.set(longest);
            !is_quiet
        };
        let actions = self
            .swap
            .poll(now, wall_clock(self.now_ms), &is_allowed, &mut self.rng);
        let (mut orders, mut reports) = (Vec::new(), Vec::new());
        for action in actions {
            match action {
                Action::Read { upstream } => self.report(&upstream),
                Action::Order {
                    upstream,
                    order,
                    start_by,
                } => {
                    let Kind::LoadVersion { version, .. } = &order.action else {
                        panic!("unexpected order");
                    };
                    orders.push(Sent {
                        at_ms: self.now_ms,
                        engine: upstream.as_str()[7..].parse().unwrap(),
                        version: version.0,
                        order,
                        start_by,
                    });
                }
                other => reports.push(other),
            }
        }
        (orders, reports)
    }

    fn report(&mut self, upstream: &id::Upstream) {
        let engine: usize = upstream.as_str()[7..].parse().unwrap();
        if self.silent == Some(engine) {
            return;
        }
        let weights = Weights {
            model: "scorer".parse().unwrap(),
            version: self.served[engine].0.map(id::Version),
            loading: self.served[engine].1.map(id::Version),
        };
        let now = self.now();
        self.swap.on_weights(upstream, now, Some(&weights), now);
    }

    /// Advances until orders are sent or the time limit is reached.
    pub(crate) fn orders(&mut self, limit_ms: u64) -> Vec<Sent> {
        let end = self.now_ms + limit_ms;
        while self.now_ms < end {
            let (orders, _) = self.step();
            if !orders.is_empty() {
                return orders;
            }
        }
        Vec::new()
    }

    /// Advances until an order is sent.
    pub(crate) fn order(&mut self) -> Sent {
        self.orders(30_000).remove(0)
    }

    pub(crate) fn result(&mut self, sent: &Sent, outcome: Outcome) {
        let now = self.now();
        let upstream = name(sent.engine);
        self.swap
            .on_order_result(&upstream, sent.order.order, outcome, now);
    }
}
