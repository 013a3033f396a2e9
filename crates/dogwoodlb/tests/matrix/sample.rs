//! The sample path, from the submission of a step to the publication of the next version.

#[path = "sample/attempt.rs"]
mod attempt;
#[path = "sample/flight.rs"]
mod flight;
#[path = "sample/node.rs"]
mod node;
#[path = "sample/trainer.rs"]
mod trainer;

use crate::fault::*;
use crate::store::Store;
use dogwoodlb_ledger::{decode_bodies, Delivery, Ledger, Object};
use dogwoodlb_types::prelude::*;
use node::Node;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};
use trainer::Trainer;

const STEPS: u64 = 3;
/// The samples of a step, in one group.
const SIZE: u32 = 2;
const NODES: usize = 2;

pub(crate) const PATH: Path = Path {
    name: "sample",
    steps: &[
        "submit",
        "generate",
        "score",
        "label",
        "accept",
        "flush object",
        "flush transaction",
        "deliver",
        "fetch again",
        "acknowledge",
        "publish",
    ],
    writes: &[
        "submit",
        "flush object",
        "flush transaction",
        "deliver",
        "acknowledge",
        "publish",
    ],
    run,
    excuse,
};

fn excuse(step: Step, fault: Fault) -> Option<&'static str> {
    let is_local = matches!(step, "accept");
    match fault {
        Fault::ReplyLost | Fault::Delay if is_local => Some("a call within one process"),
        Fault::PeerCut if is_local => Some("the step has no other side"),
        _ => None,
    }
}

fn trainer_id() -> id::Trainer {
    "weld".parse().unwrap()
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

struct World {
    now: u64,
    rng: SmallRng,
    store: Store,
    nodes: Vec<Node>,
    trainer: Trainer,
    /// What the engines produced, by the body of the sample.
    produced: BTreeMap<String, (id::Sample, Vec<Span>)>,
    /// The version that the engines serve; they follow the published one late.
    served: u64,
    serve_at: Option<(u64, u64)>,
    /// The staleness bound in force.
    bound: u64,
    /// The largest bound under which a delivery of the step was decided.
    delivery_bounds: BTreeMap<id::Step, u64>,
    late_objects: Vec<(u64, Vec<Object>)>,
    deliveries: BTreeMap<id::Step, Delivery>,
    acknowledged: BTreeSet<id::Step>,
}

fn run(faults: &mut Faults, seed: u64) {
    let mut world = World {
        now: 0,
        rng: SmallRng::seed_from_u64(seed),
        store: Store::default(),
        nodes: (0..NODES).map(Node::new).collect(),
        trainer: Trainer::default(),
        produced: BTreeMap::new(),
        served: 1,
        serve_at: None,
        bound: 1,
        delivery_bounds: BTreeMap::new(),
        late_objects: Vec::new(),
        deliveries: BTreeMap::new(),
        acknowledged: BTreeSet::new(),
    };
    while !world.trainer.is_done() {
        let limit = 2 * OUTAGE_MS + 300_000;
        assert!(world.now < limit, "stuck at {:?}", world.trainer.stage);
        world.tick(faults);
    }
    // Frozen processes wake and late requests take effect.
    let end = world.now + FREEZE_MS + DELAY_MS + 5_000;
    while world.now < end {
        world.tick(faults);
    }
    world.check();
}

impl World {
    fn tick(&mut self, faults: &mut Faults) {
        // Nothing moves during most of a long outage.
        let left = self.store.down_until.saturating_sub(self.now);
        self.now += if left > 60_000 { 1_000 } else { 100 };
        self.store.advance(self.now);
        if let Some((_, version)) = self.serve_at.take_if(|(at, _)| *at <= self.now) {
            self.served = version;
        }
        let late = std::mem::take(&mut self.late_objects);
        let (due, late): (Vec<_>, Vec<_>) = late.into_iter().partition(|own| own.0 <= self.now);
        self.late_objects = late;
        for object in due.iter().flat_map(|(_, objects)| objects) {
            let _ = self.store.put(self.now, &object.name, &object.body);
        }
        self.run_trainer(faults);
        for index in 0..NODES {
            self.run_node(index, faults);
        }
    }

    /// Applies the parts of a fault that are the same for all steps; returns false if the
    /// step doesn't happen now.
    fn begin(&mut self, index: usize, fault: Option<Fault>) -> bool {
        let now = self.now;
        let node = &mut self.nodes[index];
        match fault {
            Some(Fault::CrashBefore) => {
                node.crash(now);
                return false;
            }
            Some(Fault::Freeze) => {
                node.paused_until = now + FREEZE_MS;
                return false;
            }
            Some(Fault::StoreDown) => self.store.down_until = now + OUTAGE_MS,
            Some(Fault::RegionCut) => {
                node.store_cut_until = now + REGION_CUT_MS;
                node.trainer_cut_until = now + REGION_CUT_MS;
            }
            // The winner lowers the staleness bound.
            Some(Fault::TwoOperators) => self.bound = 0,
            _ => {}
        }
        true
    }

    /// Checks a delivery when the trainer gets it.
    fn check_delivery(&mut self, delivery: &Delivery) {
        let bound = self.delivery_bounds[&delivery.step];
        let is_old = self.acknowledged.contains(&delivery.step);
        assert!(!is_old, "delivered after the acknowledgement");
        let known = self.deliveries.entry(delivery.step);
        let first = known.or_insert_with(|| delivery.clone());
        assert_eq!(first, delivery, "another delivery of the same step");
        let samples = delivery.samples.iter().map(|own| own.sample.clone());
        let wanted = (0..SIZE).map(|index| id::Sample::new(trainer_id(), delivery.step, 0, index));
        assert_eq!(samples.collect::<Vec<_>>(), wanted.collect::<Vec<_>>());
        for sample in &delivery.samples {
            let body =
                &decode_bodies(&self.store.objects[&sample.object]).unwrap()[sample.position];
            let (produced, spans) = &self.produced[body];
            assert_eq!(produced, &sample.sample, "the body of another sample");
            assert_eq!(spans, &sample.spans, "untrue label");
            let oldest = spans.iter().map(|span| span.version.0).min().unwrap();
            let age = self.trainer.version - oldest.min(self.trainer.version);
            assert!(age <= bound, "{age} versions old, the bound is {bound}");
            assert_eq!(age, sample.staleness, "untrue age");
        }
    }

    fn check(&self) {
        let steps: Vec<id::Step> = (1..=STEPS).map(id::Step).collect();
        let delivered: Vec<id::Step> = self.deliveries.keys().copied().collect();
        assert_eq!(delivered, steps, "not each step was delivered");
        let mut numbers: Vec<_> = self.deliveries.values().map(|own| own.delivery).collect();
        numbers.dedup();
        assert_eq!(
            numbers.len(),
            steps.len(),
            "a delivery number was used twice"
        );
        let rows = self.store.table.scan(&Ledger::prefix(&trainer_id()));
        let ledger = Ledger::load(node::settings(1), node::fence(&self.store), &rows).unwrap();
        assert_eq!(ledger.acknowledged(), steps.last().copied());
        assert_eq!(ledger.version().0 .0, STEPS + 1);
    }
}
