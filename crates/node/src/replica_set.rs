//! Admission control and replica selection for one model or plain service.

use crate::lock;
use dogwoodlb_limit::{Action, AdaptiveLimit, Admission, AdmissionController, Signal};
use dogwoodlb_route::{LoadReport, Locality, Outcome, Pick, Replica, Request, Router, Settings};
use dogwoodlb_types::{id, Class, Clock, Code, Instant, Refusal};
use rand::rngs::SmallRng;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Requests that a replica serves concurrently, from all nodes; the usual engine batch size.
pub(crate) const REPLICA_SLOTS: u32 = 32;

/// Bounds and initial value of the adaptive concurrency limit of one node at one replica.
const MIN_IN_FLIGHT: u32 = 2;
const MAX_IN_FLIGHT: u32 = 64;
const INITIAL_IN_FLIGHT: u32 = 16;

/// Requests of one class that may queue for one model or service.
const QUEUE_CAPACITY: usize = 256;

/// Interval at which a waiting request checks again for admission or a free replica.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The replicas of one model or plain service.
pub(crate) struct ReplicaSet {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    /// Notified when waiting requests have to check the state again.
    state_changed: Condvar,
}

struct State {
    router: Router,
    admission: AdmissionController,
    rng: SmallRng,
    addresses: HashMap<id::Upstream, SocketAddr>,
    limits: HashMap<id::Upstream, AdaptiveLimit>,
    /// Decisions on queued requests: `None` if admitted, else the refusal.
    decisions: HashMap<dogwoodlb_limit::Ticket, Option<Refusal>>,
    /// Sequence number of the last load report.
    load_sequence: u64,
    leaving: HashSet<id::Upstream>,
    excluded: HashSet<id::Upstream>,
}

/// A permit to send one request to one replica, released on drop.
pub(crate) struct Permit<'a> {
    replica_set: &'a ReplicaSet,
    ticket: dogwoodlb_limit::Ticket,
    pick: Option<Pick>,
    outcome: Outcome,
    signal: Option<Signal>,
    pub(crate) address: SocketAddr,
}

/// The admission and routing parameters of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitRequest<'a> {
    pub(crate) class: Class,
    pub(crate) prefix_hash: Option<u64>,
    pub(crate) exclude: &'a [id::Upstream],
    pub(crate) deadline: Instant,
}

impl ReplicaSet {
    pub(crate) fn new(settings: Settings, clock: Arc<dyn Clock>, seed: u64) -> Self {
        use rand::SeedableRng;
        let state = State {
            router: Router::new(settings),
            admission: AdmissionController::new(1, QUEUE_CAPACITY),
            rng: SmallRng::seed_from_u64(seed),
            addresses: HashMap::new(),
            limits: HashMap::new(),
            decisions: HashMap::new(),
            load_sequence: 0,
            leaving: HashSet::new(),
            excluded: HashSet::new(),
        };
        Self {
            clock,
            state: Mutex::new(state),
            state_changed: Condvar::new(),
        }
    }

    /// Waits for admission and picks a replica.
    pub(crate) fn acquire(
        &self,
        permit_request: &PermitRequest<'_>,
    ) -> Result<Permit<'_>, Refusal> {
        let mut state = lock(&self.state);
        let now = self.clock.now();
        let ticket =
            match state
                .admission
                .admit(permit_request.class, permit_request.deadline, now)?
            {
                Admission::Start(ticket) => ticket,
                Admission::Wait(ticket) => {
                    state.collect_decisions(now);
                    state = self.wait_for_admission(state, ticket)?;
                    ticket
                }
            };
        loop {
            let now = self.clock.now();
            match state.pick(permit_request, now) {
                Ok((pick, address)) => {
                    drop(state);
                    return Ok(Permit {
                        replica_set: self,
                        ticket,
                        pick: Some(pick),
                        outcome: Outcome::Cancelled,
                        signal: None,
                        address,
                    });
                }
                Err(refusal)
                    if refusal.code != Code::Overloaded || now >= permit_request.deadline =>
                {
                    state.end_admission(ticket, now);
                    self.state_changed.notify_all();
                    return Err(refusal);
                }
                Err(_) => state = self.wait_for_change(state, RECHECK_INTERVAL),
            }
        }
    }

    fn wait_for_admission<'a>(
        &self,
        mut state: std::sync::MutexGuard<'a, State>,
        ticket: dogwoodlb_limit::Ticket,
    ) -> Result<std::sync::MutexGuard<'a, State>, Refusal> {
        loop {
            let now = self.clock.now();
            state.collect_decisions(now);
            match state.decisions.remove(&ticket) {
                Some(None) => return Ok(state),
                Some(Some(refusal)) => return Err(refusal),
                None => {}
            }
            let wake = state
                .admission
                .next_poll()
                .map_or(RECHECK_INTERVAL, |wake| wake.saturating_since(now));
            state = self.wait_for_change(state, wake.max(Duration::from_millis(1)));
        }
    }

    fn wait_for_change<'a>(
        &self,
        state: std::sync::MutexGuard<'a, State>,
        wait: Duration,
    ) -> std::sync::MutexGuard<'a, State> {
        let waited = self.state_changed.wait_timeout(state, wait);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }

    /// Replaces the replicas with those of a manifest.
    pub(crate) fn set_replicas(&self, replicas: &[(Replica, SocketAddr)]) {
        let mut state = lock(&self.state);
        let list: Vec<Replica> = replicas
            .iter()
            .map(|(replica, _)| replica.clone())
            .collect();
        if let Err(error) = state.router.update(&list) {
            tracing::error!(%error, "router_replicas_rejected");
            return;
        }
        state.addresses = replicas
            .iter()
            .map(|(replica, address)| (replica.upstream.clone(), *address))
            .collect();
        let known: HashSet<_> = list.iter().map(|replica| &replica.upstream).collect();
        state.limits.retain(|upstream, _| known.contains(upstream));
        state.update_leaving();
        state.set_capacity();
        drop(state);
        self.state_changed.notify_all();
    }

    /// Sets the replicas that are leaving and receive no new requests.
    pub(crate) fn set_leaving(&self, leaving: &HashSet<id::Upstream>) {
        let mut state = lock(&self.state);
        state.leaving.clone_from(leaving);
        state.update_leaving();
    }

    /// Sets the replicas that receive no requests because they can't load the model's weights.
    pub(crate) fn set_excluded(&self, excluded: HashSet<id::Upstream>) {
        let mut state = lock(&self.state);
        state.excluded = excluded;
        state.update_leaving();
    }

    /// Returns the replicas whose load is out of date and has to be polled.
    pub(crate) fn replicas_to_poll(&self) -> Vec<(id::Upstream, SocketAddr)> {
        let state = lock(&self.state);
        let outdated = state.router.replicas_to_poll(self.clock.now());
        outdated
            .filter_map(|name| Some((name.clone(), *state.addresses.get(name)?)))
            .collect()
    }

    /// Applies a load report.
    pub(crate) fn on_load(&self, upstream: &id::Upstream, running: u32, waiting: u32) {
        let mut state = lock(&self.state);
        state.load_sequence += 1;
        let load = LoadReport {
            sequence: state.load_sequence,
            running,
            waiting,
        };
        // Fails if the replica left the subset after the read was sent.
        let _ = state
            .router
            .on_load_report(upstream, load, self.clock.now());
    }
}

impl State {
    fn pick(
        &mut self,
        permit_request: &PermitRequest<'_>,
        now: Instant,
    ) -> Result<(Pick, SocketAddr), Refusal> {
        let mut request = Request::new(permit_request.class);
        if let Some(hash) = permit_request.prefix_hash {
            request = request.prefix_hash(hash);
        }
        let preferred = request.exclude(permit_request.exclude);
        let mut pick = self.router.pick(&preferred, now, &mut self.rng);
        if pick.is_err() && !permit_request.exclude.is_empty() {
            // All other replicas are unavailable: retry on one that failed before.
            pick = self.router.pick(&request, now, &mut self.rng);
        }
        let pick = pick?;
        let address = self.addresses.get(&pick.upstream).copied();
        let Some(address) = address else {
            self.end_pick(&pick, Outcome::Cancelled, now);
            let message = format!("replica {} has no address", pick.upstream);
            return Err(Refusal::not_run(Code::Invariant, message));
        };
        if let Err(error) = self.router.on_start(pick.ticket) {
            tracing::error!(%error, "invariant");
        }
        Ok((pick, address))
    }

    fn update_leaving(&mut self) {
        for upstream in self.addresses.keys() {
            let unavailable = self.leaving.contains(upstream) || self.excluded.contains(upstream);
            // Can't fail: the router has the same replicas as `addresses`.
            let _ = self.router.set_leaving(upstream, unavailable);
        }
    }

    fn end_pick(&mut self, pick: &Pick, outcome: Outcome, now: Instant) {
        if let Err(error) = self.router.on_end(pick.ticket, outcome, now) {
            tracing::error!(%error, "invariant");
        }
    }

    fn end_admission(&mut self, ticket: dogwoodlb_limit::Ticket, now: Instant) {
        if let Err(error) = self.admission.on_end(ticket, now) {
            tracing::error!(%error, "invariant");
        }
        self.collect_decisions(now);
    }

    /// Collects the admission decisions on queued requests.
    fn collect_decisions(&mut self, now: Instant) {
        for action in self.admission.poll(now) {
            match action {
                Action::Start(ticket) => self.decisions.insert(ticket, None),
                Action::Refuse(ticket, refusal) => self.decisions.insert(ticket, Some(refusal)),
            };
        }
    }

    fn set_capacity(&mut self) {
        let limits = self.router.subset().map(|upstream| {
            self.limits
                .get(upstream)
                .map_or(INITIAL_IN_FLIGHT, AdaptiveLimit::get)
                .min(REPLICA_SLOTS)
        });
        let capacity = limits.fold(0, u32::saturating_add);
        self.admission.set_capacity(capacity.max(1));
    }

    fn update_limit(&mut self, upstream: &id::Upstream, signal: Signal, now: Instant) {
        let in_flight = self.router.in_flight(upstream);
        let limit = self
            .limits
            .entry(upstream.clone())
            .or_insert_with(|| AdaptiveLimit::new(MIN_IN_FLIGHT, MAX_IN_FLIGHT, INITIAL_IN_FLIGHT));
        limit.on_end(signal, in_flight, now);
        let value = limit.get();
        // Fails if the replica has left the subset; it needs no limit then.
        let _ = self.router.set_limit(upstream, value);
        self.set_capacity();
    }
}

impl Permit<'_> {
    pub(crate) fn locality(&self) -> Locality {
        self.pick
            .as_ref()
            .map_or(Locality::Centre, |pick| pick.locality)
    }

    pub(crate) fn upstream(&self) -> Option<&id::Upstream> {
        self.pick.as_ref().map(|pick| &pick.upstream)
    }

    /// Sets the outcome of the request; without one, the request counts as cancelled.
    pub(crate) fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Sets the congestion signal that the request observed.
    pub(crate) fn set_signal(&mut self, signal: Signal) {
        self.signal = Some(signal);
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.replica_set.state);
        let now = self.replica_set.clock.now();
        if let Some(pick) = self.pick.take() {
            if let Some(signal) = self.signal.take() {
                state.update_limit(&pick.upstream, signal, now);
            }
            state.end_pick(&pick, self.outcome, now);
        }
        state.end_admission(self.ticket, now);
        drop(state);
        self.replica_set.state_changed.notify_all();
    }
}
