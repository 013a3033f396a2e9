//! Guards against replicas that are ordered too late, in the wrong place, or for no reason.

use dogwoodlb_config::Scaling;
use dogwoodlb_scaling::{Centre, Order, Planner, View};
use dogwoodlb_types::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

const SLOTS: u32 = 6;
const BOOT: Duration = Duration::from_secs(4);
const CENTRES: [(&str, f64); 3] = [("a", 1.0), ("b", 0.8), ("c", 1.25)];
const ROUND_MS: u64 = 250;

fn scaling(spot_price: Option<f64>) -> Scaling {
    Scaling {
        min: 1,
        max: 16,
        boot_time: BOOT,
        spot_price,
        centre_prices: CENTRES.map(|(name, price)| (name.to_owned(), price)).into(),
    }
}

/// A provider that fills orders after the boot time, and a service with work.
struct Simulation {
    scaling: Scaling,
    planner: Planner,
    centres: Vec<Centre>,
    /// The time at which each order is filled.
    pending: Vec<(u64, Order)>,
    /// Data centres without replicas to be had.
    dry: Vec<&'static str>,
    /// Unfinished work in seconds of one slot.
    work_s: f64,
    now_ms: u64,
    orders: Vec<Order>,
    /// The seconds that a new item would have waited, by round.
    waits_s: Vec<f64>,
    replica_s: f64,
    is_scaled: bool,
    /// Whether each plan is followed by one order only.
    is_sequential: bool,
    /// Whether accepted orders are filled.
    is_filling: bool,
}

impl Simulation {
    fn new(spot_price: Option<f64>, is_scaled: bool) -> Self {
        let centre = |(name, _): (&str, f64)| Centre::new(name, 8, 0);
        Self {
            scaling: scaling(spot_price),
            planner: Planner::default(),
            centres: CENTRES.map(centre).into(),
            pending: Vec::new(),
            dry: Vec::new(),
            work_s: 0.0,
            now_ms: 0,
            orders: Vec::new(),
            waits_s: Vec::new(),
            replica_s: 0.0,
            is_scaled,
            is_sequential: false,
            is_filling: true,
        }
    }

    fn centre(&mut self, name: &str) -> &mut Centre {
        self.centres
            .iter_mut()
            .find(|one| one.name == name)
            .unwrap()
    }

    fn fill_orders(&mut self) {
        let (due, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(at, _)| *at <= self.now_ms);
        self.pending = pending;
        let due: Vec<(u64, Order)> = due;
        for (_, order) in due {
            let centre = self.centre(&order.centre);
            match order.is_spot {
                true => centre.spot = order.count,
                false => centre.regular = order.count,
            }
        }
    }

    fn order(&mut self) {
        let now = Instant::from_millis(self.now_ms);
        let (centres, scaling) = (self.centres.clone(), self.scaling.clone());
        let view = View {
            scaling: &scaling,
            centres: &centres,
            slots: SLOTS,
            work: Duration::from_secs_f64(self.work_s),
        };
        let limit = if self.is_sequential { 1 } else { usize::MAX };
        for order in self.planner.plan(&view, now).into_iter().take(limit) {
            assert!(order.count <= self.scaling.max, "{order:?}");
            if self.dry.contains(&order.centre.as_str()) {
                self.planner.on_unavailable(&order, now);
            } else {
                self.planner.on_ordered(&order, &view, now);
            }
            if self.is_filling && !self.dry.contains(&order.centre.as_str()) {
                let due = self.now_ms + BOOT.as_millis() as u64;
                self.pending.push((due, order.clone()));
            }
            self.orders.push(order);
        }
    }

    /// Plays rounds with a step of `step_s` seconds of work every four seconds.
    fn play(&mut self, rounds: u64, step_s: f64) {
        for _ in 0..rounds {
            if self.now_ms.is_multiple_of(4_000) {
                self.work_s += step_s;
            }
            self.fill_orders();
            if self.is_scaled {
                self.order();
            }
            let replicas: u32 = self.centres.iter().map(|one| one.regular + one.spot).sum();
            let slots = f64::from(replicas * SLOTS);
            self.waits_s.push(self.work_s / slots);
            self.replica_s += f64::from(replicas) * ROUND_MS as f64 / 1e3;
            self.work_s = (self.work_s - slots * ROUND_MS as f64 / 1e3).max(0.0);
            self.now_ms += ROUND_MS;
        }
    }

    fn max_wait_s(&self, last_rounds: usize) -> f64 {
        let waits = self.waits_s.iter().rev().take(last_rounds);
        waits.copied().fold(0.0, f64::max)
    }
}

#[test]
fn calm_load() {
    let mut calm = Simulation::new(Some(0.15), true);
    calm.play(480, 300.0);
    assert_eq!(calm.orders, []);
}

#[test]
fn lost_centre() {
    let play = |is_scaled| {
        let mut simulation = Simulation::new(Some(0.15), is_scaled);
        simulation.play(32, 400.0);
        simulation.centre("a").regular = 0;
        simulation.dry.push("a");
        simulation.play(160, 400.0);
        simulation
    };
    let (with, without) = (play(true), play(false));
    assert!(without.max_wait_s(80) > 4.0, "{}", without.max_wait_s(80));
    assert!(with.max_wait_s(80) <= 3.0, "{}", with.max_wait_s(80));
    let ordered: BTreeMap<&str, u32> = with
        .orders
        .iter()
        .map(|order| (order.centre.as_str(), order.count))
        .collect();
    // Both data centres that are left get a part of the surplus.
    assert!(ordered["b"] > 0 && ordered["c"] > 0, "{ordered:?}");
    assert!(with.orders.iter().all(|order| order.is_spot));
}

#[test]
fn unavailable_centre() {
    let mut simulation = Simulation::new(None, true);
    simulation.dry.extend(["a", "b"]);
    simulation.play(8, 800.0);
    let tried = simulation.orders.iter().filter(|order| order.centre == "b");
    // The first attempt, and one after the pause of two seconds at most.
    assert!(tried.count() <= 2, "{:?}", simulation.orders);
    assert!(simulation.orders.iter().any(|order| order.centre == "c"));
    assert!(simulation.orders.iter().all(|order| !order.is_spot));
}

#[test]
fn peak_load() {
    let mut simulation = Simulation::new(Some(0.15), true);
    simulation.play(80, 640.0);
    assert!(
        simulation.max_wait_s(32) <= 3.2,
        "{}",
        simulation.max_wait_s(32)
    );
    let peak = simulation.orders.len();
    simulation.play(800, 100.0);
    let spot: u32 = simulation.centres.iter().map(|one| one.spot).sum();
    let regular: u32 = simulation.centres.iter().map(|one| one.regular).sum();
    assert_eq!(
        (spot, regular),
        (0, 24),
        "the surplus is given back, the base stays"
    );
    // Each halving is an order for a data centre or two, and nothing is ordered again.
    assert!(
        simulation.orders.len() - peak <= 12,
        "{:?}",
        simulation.orders
    );
}

/// A leader gave back no spot replica that its predecessor had ordered, so that each change of the
/// leader after a peak left replicas that were paid for without end.
#[test]
fn new_leader() {
    let mut simulation = Simulation::new(Some(0.15), true);
    simulation.play(80, 640.0);
    simulation.planner = Planner::default();
    simulation.play(800, 100.0);
    let spot: u32 = simulation.centres.iter().map(|one| one.spot).sum();
    assert_eq!(spot, 0);
}

/// When the quiet time ended between two large steps, surplus that the next one needed was given
/// back, and ordered again at once.
#[test]
fn rare_large_steps() {
    for shift in 0..5 {
        let mut simulation = Simulation::new(Some(0.15), true);
        simulation.play(80, 640.0);
        simulation.orders.clear();
        simulation.play(16 * shift, 200.0);
        for _ in 0..10 {
            simulation.play(16, 580.0);
            simulation.play(64, 200.0);
        }
        let mut counts: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
        for order in &simulation.orders {
            counts.entry(&order.centre).or_default().push(order.count);
        }
        let is_falling = |counts: &Vec<u32>| counts.is_sorted_by(|a, b| a >= b);
        assert!(counts.values().all(is_falling), "{shift}: {counts:?}");
    }
}

/// Replicas that were ordered and never came counted as surplus, and base replicas were given back
/// in their place.
#[test]
fn unfilled_order() {
    let mut simulation = Simulation::new(None, true);
    simulation.is_filling = false;
    simulation.play(100, 640.0);
    simulation.play(800, 20.0);
    let is_base = |order: &Order| order.count >= 8;
    assert!(!simulation.orders.is_empty());
    assert!(
        simulation.orders.iter().all(is_base),
        "{:?}",
        simulation.orders
    );
}

/// Orders that were sent one by one, with a new plan after each, stopped after the first one of a
/// decision to give back.
#[test]
fn separate_orders() {
    let cost = |is_sequential| {
        let mut simulation = Simulation::new(Some(0.15), true);
        simulation.is_sequential = is_sequential;
        simulation.play(80, 640.0);
        simulation.replica_s = 0.0;
        simulation.play(400, 100.0);
        simulation.replica_s
    };
    let (one_by_one, together) = (cost(true), cost(false));
    assert!(one_by_one < together * 1.01, "{one_by_one}, {together}");
}
