//! The weight swap: read, order, load and report, with two nodes and four engines, of which
//! two ignore fencing tokens.

#[path = "weights/engine.rs"]
mod engine;

use crate::fault::*;
use dogwoodlb_external::engine::{Order, Weights};
use dogwoodlb_swap::{Action, LeaseGrant, Outcome, Replica, Settings, Swap, Target};
use dogwoodlb_types::prelude::*;
use engine::Engine;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::VecDeque;

const NODES: usize = 2;
const ENGINES: usize = 4;
const TICK_MS: u64 = 50;
const EPOCH_MS: i64 = 1_700_000_000_000;
/// The validity and the expiry of a lease, docs/design.md, section 4.1.
const VALID_MS: u64 = 5_740;
const EXPIRED_MS: u64 = 6_260;
/// When version 3 follows version 2.
const NEXT_AT_MS: u64 = 40_000;
const QUIET_MS: u64 = 60_000;
const LAST: u64 = 3;

pub(crate) const PATH: Path = Path {
    name: "swap",
    steps: &["read", "order", "load", "report"],
    writes: &["order", "load"],
    run,
    excuse: |_, _| None,
};

struct Node {
    swap: Swap,
    actions: VecDeque<(Action, Instant)>,
    fence: id::Fence,
    granted_at: u64,
    valid_until: u64,
    next_renewal: u64,
    paused_until: u64,
    restart_at: Option<u64>,
    store_cut_until: u64,
    engines_cut_until: u64,
}

/// What arrives late.
enum Late {
    Order(usize, usize, Order),
    Weights(usize, usize, Instant, Weights),
}

struct World {
    now: u64,
    rng: SmallRng,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    late: Vec<(u64, Late)>,
    store_down_until: u64,
    /// A quiet hour that two operators declared.
    quiet_until: u64,
    fence: id::Fence,
    beat_at: u64,
    orders: usize,
}

fn name(engine: usize) -> id::Upstream {
    format!("engine-{engine}").parse().unwrap()
}

fn number(upstream: &id::Upstream) -> usize {
    upstream.as_str()["engine-".len()..].parse().unwrap()
}

impl Node {
    fn new() -> Self {
        let longest = std::time::Duration::from_secs(10);
        let settings = Settings {
            max_duration: longest,
            ..Settings::default()
        };
        let mut swap = Swap::new("scorer".parse().unwrap(), settings);
        let replicas = (0..ENGINES).map(|engine| Replica {
            upstream: name(engine),
            checks_fencing: engine < ENGINES / 2,
        });
        swap.set_replicas(&replicas.collect::<Vec<_>>()).unwrap();
        Self {
            swap,
            actions: VecDeque::new(),
            fence: id::Fence(0),
            granted_at: 0,
            valid_until: 0,
            next_renewal: 0,
            paused_until: 0,
            restart_at: None,
            store_cut_until: 0,
            engines_cut_until: 0,
        }
    }

    fn crash(&mut self, now: u64) {
        let cuts = (self.store_cut_until, self.engines_cut_until);
        *self = Self::new();
        (self.store_cut_until, self.engines_cut_until) = cuts;
        self.restart_at = Some(now + RESTART_MS);
    }
}

fn run(faults: &mut Faults, seed: u64) {
    let engine = |index| Engine {
        checks_fencing: index < ENGINES / 2,
        version: Some(1),
        ..Engine::default()
    };
    let mut world = World {
        now: 100_000,
        rng: SmallRng::seed_from_u64(seed),
        nodes: (0..NODES).map(|_| Node::new()).collect(),
        engines: (0..ENGINES).map(engine).collect(),
        late: Vec::new(),
        store_down_until: 0,
        quiet_until: 0,
        fence: id::Fence(0),
        beat_at: 0,
        orders: 0,
    };
    let (begin, mut calm_ms) = (world.now, 0);
    // All engines stay at the last version for 30 s, which includes late orders.
    while calm_ms < 30_000 {
        assert!(
            world.now < begin + 3 * OUTAGE_MS,
            "no convergence: {}",
            world.state()
        );
        world.tick(faults, begin);
        let last = |own: &Engine| own.version == Some(LAST) && own.loading.is_none();
        let is_calm = world.engines.iter().all(last) && world.late.is_empty();
        calm_ms = if is_calm { calm_ms + TICK_MS } else { 0 };
    }
    // Each engine is ordered twice, and a few times more after faults.
    assert!(world.orders <= 6 * ENGINES, "{} orders", world.orders);
}

impl World {
    fn state(&self) -> String {
        let versions: Vec<_> = self.engines.iter().map(|own| own.version).collect();
        format!("{versions:?}")
    }

    fn tick(&mut self, faults: &mut Faults, begin: u64) {
        self.now += TICK_MS;
        for engine in 0..ENGINES {
            self.run_engine(engine);
        }
        let (due, late) = std::mem::take(&mut self.late)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= self.now);
        self.late = late;
        for (_, late) in due {
            match late {
                Late::Order(node, engine, order) => {
                    let outcome = self.receive(engine, &order, faults);
                    self.on_result(node, engine, order.order, outcome);
                }
                Late::Weights(node, engine, began, weights) => {
                    self.on_weights(node, engine, began, &weights);
                }
            }
        }
        let version = if self.now < begin + NEXT_AT_MS {
            2
        } else {
            LAST
        };
        for node in 0..NODES {
            self.run_node(node, version, faults);
        }
    }

    fn run_node(&mut self, index: usize, version: u64, faults: &mut Faults) {
        let now = self.now;
        let node = &mut self.nodes[index];
        node.restart_at = node.restart_at.filter(|at| now < *at);
        if node.restart_at.is_some() || node.paused_until > now {
            return;
        }
        // What was decided before a pause is carried out first after it.
        self.carry_out(index, faults);
        self.renew(index);
        let node = &mut self.nodes[index];
        if node.paused_until > now || node.restart_at.is_some() {
            return;
        }
        let target = Target {
            version: id::Version(version),
            object: format!("weights/{version}"),
        };
        node.swap.set_target(target).unwrap();
        let (instant, civil) = (Instant::from_millis(now), EPOCH_MS + now as i64);
        let quiet_until = self.quiet_until;
        let allows = |_, _| now >= quiet_until;
        let civil = Timestamp::from_millis(civil);
        let actions = node.swap.poll(instant, civil, &allows, &mut self.rng);
        node.actions
            .extend(actions.into_iter().map(|own| (own, instant)));
        self.carry_out(index, faults);
    }

    /// A lease of the length of docs/design.md; the lease core has a path of its own.
    fn renew(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if now < self.store_down_until || now < node.store_cut_until {
            return;
        }
        let is_holder = self.fence > id::Fence(0) && node.fence == self.fence;
        if !is_holder && now - self.beat_at > EXPIRED_MS {
            self.fence = self.fence.next();
            node.fence = self.fence;
            node.granted_at = now;
        } else if !is_holder || now < node.next_renewal {
            return;
        }
        self.beat_at = now;
        node.next_renewal = now + 2_000;
        node.valid_until = now + VALID_MS;
        let guard = LeaseGrant {
            fence: node.fence,
            until: Instant::from_millis(node.valid_until),
        };
        node.swap.set_lease(Some(guard), Instant::from_millis(now));
    }

    /// Applies the parts of a fault that are the same for all steps of a node; returns false
    /// if the step doesn't happen now.
    fn begin(&mut self, index: usize, fault: Option<Fault>) -> bool {
        let now = self.now;
        let node = &mut self.nodes[index];
        match fault {
            Some(Fault::CrashBefore) => node.crash(now),
            Some(Fault::Freeze) => node.paused_until = now + FREEZE_MS,
            Some(Fault::StoreDown) => self.store_down_until = now + OUTAGE_MS,
            Some(Fault::PeerCut) => node.engines_cut_until = now + PEER_CUT_MS,
            Some(Fault::RegionCut) => {
                node.store_cut_until = now + REGION_CUT_MS;
                node.engines_cut_until = now + REGION_CUT_MS;
            }
            Some(Fault::TwoOperators) => self.quiet_until = now + QUIET_MS,
            _ => {}
        }
        !matches!(fault, Some(Fault::CrashBefore | Fault::Freeze))
    }

    fn carry_out(&mut self, index: usize, faults: &mut Faults) {
        while let Some((action, decided)) = self.nodes[index].actions.pop_front() {
            let (step, engine) = match &action {
                Action::Read { upstream } => ("read", number(upstream)),
                Action::Order { upstream, .. } => ("order", number(upstream)),
                Action::Excluded { .. } | Action::Newer { .. } => continue,
            };
            let fault = faults.at(step);
            if !self.begin(index, fault) {
                if fault == Some(Fault::Freeze) {
                    self.nodes[index].actions.push_front((action, decided));
                }
                return;
            }
            match action {
                Action::Order {
                    order, start_by, ..
                } => self.order(index, engine, order, start_by, fault, faults),
                _ => self.read(index, engine, decided, fault, faults),
            }
            if fault == Some(Fault::CrashAfter) {
                return self.nodes[index].crash(self.now);
            }
        }
    }

    fn read(
        &mut self,
        index: usize,
        engine: usize,
        began: Instant,
        fault: Option<Fault>,
        faults: &mut Faults,
    ) {
        let state = &self.engines[engine];
        let is_cut = self.now < self.nodes[index].engines_cut_until;
        if is_cut || fault == Some(Fault::ReplyLost) || state.restart_at.is_some() {
            return;
        }
        let weights = Weights {
            model: "scorer".parse().unwrap(),
            version: state.version.map(id::Version),
            loading: state.loading.map(|(version, _)| id::Version(version)),
        };
        // The report is the reply that shows the new version.
        let is_report = state.version >= Some(2);
        let reported = if is_report { faults.at("report") } else { None };
        if !self.begin(index, reported) {
            return;
        }
        let is_cut = self.now < self.nodes[index].engines_cut_until;
        let fault = reported.or(fault);
        if fault == Some(Fault::Delay) {
            let late = Late::Weights(index, engine, began, weights);
            return self.late.push((self.now + DELAY_MS, late));
        }
        if is_cut || fault == Some(Fault::ReplyLost) {
            return;
        }
        self.on_weights(index, engine, began, &weights);
        if fault == Some(Fault::Repeated) {
            self.on_weights(index, engine, began, &weights);
        }
        if reported == Some(Fault::CrashAfter) {
            self.nodes[index].crash(self.now);
        }
    }

    fn on_weights(&mut self, index: usize, engine: usize, began: Instant, weights: &Weights) {
        let now = Instant::from_millis(self.now);
        let swap = &mut self.nodes[index].swap;
        swap.on_weights(&name(engine), began, Some(weights), now);
    }

    fn on_result(&mut self, index: usize, engine: usize, id: id::Operation, outcome: Outcome) {
        let now = Instant::from_millis(self.now);
        let swap = &mut self.nodes[index].swap;
        swap.on_order_result(&name(engine), id, outcome, now);
    }

    fn order(
        &mut self,
        index: usize,
        engine: usize,
        order: Order,
        start_by: Instant,
        fault: Option<Fault>,
        faults: &mut Faults,
    ) {
        let id = order.order;
        let node = &self.nodes[index];
        let is_cut = self.now < node.engines_cut_until;
        // The shell reads its clock right before it sends an order.
        if Instant::from_millis(self.now) > start_by || is_cut {
            return self.on_result(index, engine, id, Outcome::NotSent);
        }
        assert!(
            self.now < node.valid_until,
            "order after the end of the lease"
        );
        let is_new = fault != Some(Fault::TwoOperators);
        assert!(
            self.now >= self.quiet_until || !is_new,
            "order in a quiet hour"
        );
        let waited = self.now - node.granted_at;
        let is_safe = self.engines[engine].checks_fencing || waited >= 7_000;
        assert!(is_safe, "order {waited} ms after the lease was granted");
        self.orders += 1;
        // The process sleeps after it has read the clock, or the network holds the order.
        if fault == Some(Fault::Delay) {
            let late = Late::Order(index, engine, order);
            self.late.push((self.now + DELAY_MS, late));
            return self.on_result(index, engine, id, Outcome::Unknown);
        }
        let outcome = self.receive(engine, &order, faults);
        if fault == Some(Fault::Repeated) {
            self.receive(engine, &order, faults);
        }
        let outcome = match fault {
            Some(Fault::ReplyLost) => Outcome::Unknown,
            _ => outcome,
        };
        self.on_result(index, engine, id, outcome);
    }
}
