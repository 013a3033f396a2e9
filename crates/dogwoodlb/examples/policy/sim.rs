//! An experiment in virtual time: the decision cores with fake engines, customers and trainers.

mod deployment;
pub(crate) mod engine;
mod flow;
mod metrics;
mod node;
pub(crate) mod pick;
mod scenario;
mod trainer;

pub(crate) use deployment::Deployment;
pub(crate) use metrics::Results;
pub(crate) use pick::{Policy, POLICIES};
pub(crate) use scenario::Scenario;

use deployment::{is_far, CUSTOMER_OWN};
use dogwoodlb_route::{Pick, Replica};
use dogwoodlb_types::prelude::*;
use engine::{Engine, Output};
use metrics::Answer;
use node::Node;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use trainer::Trainer;

/// The resolution of engines and nodes.
const TICK_MS: u64 = 10;
/// How often an admitted request looks for a replica again, as in the daemon.
const RECHECK_MS: u64 = 20;
/// The samples of one trainer in flight, as in the daemon.
const IN_FLIGHT: usize = 64;
const WARM_UP_MS: u64 = 180_000;
const REGION_MS: u64 = 12;
/// How long an engine stands still for new weights.
pub(crate) const SWAP_MS: u64 = 4_000;

/// What one run is.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) deployment: Deployment,
    pub(crate) policy: Policy,
    pub(crate) scenario: Scenario,
    pub(crate) seed: u64,
    pub(crate) millis: u64,
    pub(crate) swap_ms: u64,
    /// Whether trainers run beside the customers.
    pub(crate) with_trainers: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Customer,
    Arrive(u64, u32, usize),
    First(u64, u32),
    Done(u64, u32, u64),
    Failed(u64, u32),
    Deadline(u64),
    Trained(usize),
    Swap(usize, usize, u64, u32),
}

/// A request from a customer or for a sample.
#[derive(Debug)]
struct Request {
    class: Class,
    node: usize,
    prefix: u64,
    tokens: f64,
    deadline: u64,
    priority: u32,
    sample: Option<(usize, id::Sample, u32)>,
    answer: Option<usize>,
    gate: Option<dogwoodlb_limit::Ticket>,
    pick: Option<(Pick, usize)>,
    tries: u32,
    exclude: Vec<id::Upstream>,
    sent: u64,
    first: Option<u64>,
}

/// The state of a run.
struct Sim {
    setup: Setup,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    serial: u64,
    load: StdRng,
    rng: StdRng,
    nodes: Vec<Node>,
    replicas: Vec<(Replica, usize)>,
    engines: Vec<Engine>,
    trainers: Vec<Trainer>,
    requests: HashMap<u64, Request>,
    attempts: HashMap<(id::Sample, u32), u64>,
    next: u64,
    answers: Vec<Answer>,
    link_bytes: f64,
    wasted: f64,
    useful: f64,
    /// The rate of customers, a second, that the replicas can serve.
    capacity: f64,
}

/// Runs one experiment.
pub(crate) fn run(setup: Setup) -> Result<Results, Box<dyn std::error::Error>> {
    let mut sim = Sim::new(setup)?;
    while sim.now < sim.setup.millis {
        sim.tick();
    }
    Ok(sim.results())
}

impl Sim {
    fn new(setup: Setup) -> Result<Self, Box<dyn std::error::Error>> {
        let deployment = &setup.deployment;
        let replicas = deployment.replicas(engine::SLOTS as u32)?;
        let list: Vec<_> = replicas
            .iter()
            .map(|(replica, _)| replica.clone())
            .collect();
        let mut nodes = Vec::new();
        for (settings, centre) in deployment.nodes()? {
            nodes.push(Node::new(settings, centre, &list)?);
        }
        let mut trainers = Vec::new();
        for index in 0..deployment.trainers * usize::from(setup.with_trainers) {
            trainers.push(Trainer::new(deployment, &setup.policy, index)?);
        }
        let one = engine::capacity(CUSTOMER_OWN, deployment::customer_mean());
        let mut sim = Self {
            now: 0,
            events: BinaryHeap::new(),
            serial: 0,
            load: StdRng::seed_from_u64(setup.seed),
            rng: StdRng::seed_from_u64(setup.seed + 1_000),
            nodes,
            engines: vec![Engine::new(deployment.trainers); replicas.len()],
            capacity: one * replicas.len() as f64,
            replicas,
            trainers,
            requests: HashMap::new(),
            attempts: HashMap::new(),
            next: 0,
            answers: Vec::new(),
            link_bytes: 0.0,
            wasted: 0.0,
            useful: 0.0,
            setup,
        };
        sim.at(0, Event::Customer);
        Ok(sim)
    }

    fn instant(&self) -> Instant {
        Instant::from_millis(self.now)
    }

    fn at(&mut self, time: u64, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((time, self.serial, event)));
    }

    fn tick(&mut self) {
        self.fault();
        while let Some(Reverse((time, _, event))) = self.events.peek().copied() {
            if time > self.now {
                break;
            }
            self.events.pop();
            self.on_event(event);
        }
        for index in 0..self.engines.len() {
            for (request, output) in self.engines[index].advance(self.now, TICK_MS) {
                self.on_output(index, request, output);
            }
        }
        if self.now.is_multiple_of(RECHECK_MS) {
            self.plan();
            self.recheck();
        }
        if self.now.is_multiple_of(1_000) {
            self.poll_loads();
        }
        for node in 0..self.nodes.len() {
            self.pump(node);
        }
        self.now += TICK_MS;
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Customer => self.on_customer(),
            Event::Arrive(request, tries, engine) => self.on_arrive(request, tries, engine),
            Event::First(request, tries) => self.on_first(request, tries),
            Event::Done(request, tries, oldest) => self.on_done(request, tries, oldest),
            Event::Failed(request, tries) => self.on_failed(request, tries),
            Event::Deadline(request) => self.on_deadline(request),
            Event::Trained(trainer) => self.on_trained(trainer),
            Event::Swap(engine, model, version, tries) => {
                self.on_swap(engine, model, version, tries);
            }
        }
    }

    fn on_customer(&mut self) {
        let rate = self.capacity * self.customers();
        let pause = -(1.0 - self.load.random::<f64>()).ln() * 1e3 / rate;
        let next = self.now + (pause.round() as u64).max(1);
        self.at(next, Event::Customer);
        let node = self.load.random_range(0..self.nodes.len());
        let (prefix, tokens) = deployment::customer(&mut self.load);
        self.answers.push(Answer {
            arrived: self.now,
            first: None,
            done: None,
        });
        let request = Request {
            class: Class::Customer,
            answer: Some(self.answers.len() - 1),
            ..self.request(node, prefix, tokens, flow::CUSTOMER_DEADLINE_MS)
        };
        self.enter(request);
    }

    fn request(&self, node: usize, prefix: u64, tokens: f64, deadline_ms: u64) -> Request {
        Request {
            class: Class::Trainer,
            node,
            prefix,
            tokens,
            deadline: self.now + deadline_ms,
            priority: 0,
            sample: None,
            answer: None,
            gate: None,
            pick: None,
            tries: 0,
            exclude: Vec::new(),
            sent: 0,
            first: None,
        }
    }

    /// Returns the one-way latency between a node and an engine.
    fn latency(&self, node: usize, engine: usize) -> u64 {
        let (one, other) = (self.nodes[node].centre, self.replicas[engine].1);
        match (one == other, is_far(one) == is_far(other)) {
            (true, _) => 0,
            (false, true) => self.setup.deployment.centre_ms,
            (false, false) => REGION_MS,
        }
    }

    fn is_remote(&self, node: usize, engine: usize) -> bool {
        is_far(self.nodes[node].centre) != is_far(self.replicas[engine].1)
    }

    fn on_trained(&mut self, index: usize) {
        if self.is_store_down() {
            return self.at(self.now + 1_000, Event::Trained(index));
        }
        let now = self.instant();
        self.trainers[index].publish(now);
        let version = self.trainers[index].version;
        // Half of the replicas serve while the other half swaps.
        for engine in 0..self.engines.len() {
            let wave = engine as u64 % 2;
            self.at(
                self.now + wave * self.setup.swap_ms,
                Event::Swap(engine, index, version, 0),
            );
        }
    }

    fn results(&self) -> Results {
        let hits: u64 = self.engines.iter().map(|engine| engine.hits).sum();
        let misses: u64 = self.engines.iter().map(|engine| engine.misses).sum();
        let work = (self.wasted + self.useful).max(1.0);
        let mut results = Results {
            link_mb: self.link_bytes / 1e6,
            duplicate_share: self.wasted / work,
            cache_hit_share: hits as f64 / ((hits + misses).max(1) as f64),
            ..Results::default()
        };
        results.add_trainers(&self.trainers, WARM_UP_MS.min(self.setup.millis / 2));
        let settled = self.setup.millis.saturating_sub(flow::CUSTOMER_DEADLINE_MS);
        let ended = self
            .answers
            .iter()
            .take_while(|answer| answer.arrived < settled);
        let ended: Vec<_> = ended.copied().collect();
        results.add_customers(&ended, WARM_UP_MS.min(self.setup.millis / 2));
        let (from, to) = scenario::window();
        if self.setup.scenario == Scenario::Overload {
            results.add_overload(&ended, from, to, self.capacity);
        }
        results
    }

    fn on_output(&mut self, engine: usize, request: u64, output: Output) {
        let Some(own) = self.requests.get(&request) else {
            return;
        };
        let time = self.now + self.latency(own.node, engine);
        let event = match output {
            Output::First => Event::First(request, own.tries),
            Output::Done(oldest) => Event::Done(request, own.tries, oldest),
        };
        if !(self.is_cut() && self.is_remote(own.node, engine)) {
            self.at(time, event);
        }
    }
}
