//! A node: its router, gate, limits and retry budget, as the daemon wires them.

use super::engine::SLOTS;
use super::pick::{Choice, Chooser};
use dogwoodlb_limit::{AdaptiveLimit, AdmissionController, RetryBudget, Signal};
use dogwoodlb_route::{LoadReport, Outcome, Pick, Replica, Router, Settings};
use dogwoodlb_types::prelude::*;
use rand::rngs::StdRng;
use std::collections::HashMap;

/// The bounds and the start of the adaptive limit, as in the daemon.
const LIMIT: (u32, u32, u32) = (2, 64, 16);
const QUEUE: usize = 256;

/// One entry VM.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) centre: usize,
    pub(crate) gate: AdmissionController,
    pub(crate) budget: RetryBudget,
    /// Requests that wait at the gate.
    pub(crate) waiting: HashMap<dogwoodlb_limit::Ticket, u64>,
    /// Admitted requests that found no replica.
    pub(crate) stuck: Vec<u64>,
    router: Router,
    chooser: Chooser,
    limits: HashMap<id::Upstream, AdaptiveLimit>,
    reports: u64,
}

impl Node {
    pub(crate) fn new(
        settings: Settings,
        centre: usize,
        replicas: &[Replica],
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let mut router = Router::new(settings);
        router.update(replicas)?;
        let mut node = Self {
            centre,
            gate: AdmissionController::new(1, QUEUE),
            budget: RetryBudget::full(Instant::default()),
            waiting: HashMap::new(),
            stuck: Vec::new(),
            router,
            chooser: Chooser::default(),
            limits: HashMap::new(),
            reports: 0,
        };
        node.set_capacity();
        Ok(node)
    }

    pub(crate) fn pick(
        &mut self,
        choice: Choice,
        request: (Class, u64),
        exclude: &[id::Upstream],
        now: Instant,
        rng: &mut StdRng,
    ) -> Result<Pick, Refusal> {
        let router = &mut self.router;
        let mut pick = self
            .chooser
            .pick(choice, router, request, exclude, now, rng);
        if pick.is_err() && !exclude.is_empty() {
            pick = self.chooser.pick(choice, router, request, &[], now, rng);
        }
        let pick = pick?;
        // A pick that was just issued can be started.
        let _ = self.router.on_start(pick.ticket);
        Ok(pick)
    }

    /// Ends a pick and adapts the limit of its replica.
    pub(crate) fn on_end(
        &mut self,
        pick: &Pick,
        outcome: Outcome,
        signal: Option<Signal>,
        now: Instant,
    ) {
        if let Some(signal) = signal {
            let in_flight = self.router.in_flight(&pick.upstream);
            let new = || AdaptiveLimit::new(LIMIT.0, LIMIT.1, LIMIT.2);
            let limit = self.limits.entry(pick.upstream.clone()).or_insert_with(new);
            limit.on_end(signal, in_flight, now);
            let value = limit.get();
            let _ = self.router.set_limit(&pick.upstream, value);
            self.set_capacity();
        }
        let _ = self.router.on_end(pick.ticket, outcome, now);
    }

    pub(crate) fn on_load(&mut self, upstream: &id::Upstream, load: (u32, u32), now: Instant) {
        self.reports += 1;
        let load = LoadReport {
            sequence: self.reports,
            running: load.0,
            waiting: load.1,
        };
        let _ = self.router.on_load_report(upstream, load, now);
    }

    /// Returns the replicas whose load has to be read.
    pub(crate) fn idle(&self, now: Instant) -> Vec<id::Upstream> {
        self.router.replicas_to_poll(now).cloned().collect()
    }

    fn set_capacity(&mut self) {
        let limits = self.router.subset().map(|upstream| {
            let limit = self.limits.get(upstream);
            limit.map_or(LIMIT.2, AdaptiveLimit::get).min(SLOTS as u32)
        });
        self.gate.set_capacity(limits.sum::<u32>().max(1));
    }
}
