//! The thread that rolls out new weights to the replicas of a model.

use crate::lease_manager::LeaseManager;
use crate::lock;
use crate::shared::Shared;
use dogwoodlb_external::engine::{Order, Weights};
use dogwoodlb_external::Cause;
use dogwoodlb_lease::LeaseName;
use dogwoodlb_ledger::PublishedWeights;
use dogwoodlb_manifest::{quiet, Manifest};
use dogwoodlb_swap::{Action, LeaseGrant, Outcome, Replica, Settings, Swap, Target};
use dogwoodlb_types::{id, Instant};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval between polls of the swap core.
const TICK: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Interval between reads of the published version.
const TARGET_INTERVAL: Duration = Duration::from_millis(500);

/// The result of a call to an engine.
enum EngineReport {
    Ordered(id::Upstream, id::Operation, Outcome),
    Weights(id::Upstream, Instant, Option<Vec<Weights>>),
}

/// Starts a swapper thread for each model of the manifest that doesn't have one.
pub(crate) fn start(shared: &Arc<Shared>, manifest: &Manifest) {
    let mut running = lock(&shared.swappers);
    running.retain(|name, lease| {
        let is_listed = manifest.models.iter().any(|entry| entry.model == *name);
        if !is_listed {
            lease.retire();
        }
        is_listed
    });
    for model in &manifest.models {
        let name = model.model.clone();
        if running.contains_key(&name) {
            continue;
        }
        let Ok(lease) = LeaseManager::new(shared, LeaseName::Model(name.clone())) else {
            continue;
        };
        let lease = Arc::new(lease);
        running.insert(name.clone(), lease.clone());
        shared.start_lease(&lease);
        let shared = shared.clone();
        let spawned = thread::Builder::new()
            .name("swap".to_owned())
            .spawn(move || {
                Swapper::new(shared, name, lease).run();
            });
        if let Err(error) = spawned {
            tracing::error!(%error, "thread_spawn_failed");
        }
    }
}

struct Swapper {
    shared: Arc<Shared>,
    model: id::Model,
    lease: Arc<LeaseManager>,
    swap: Swap,
    settings: Settings,
    rng: SmallRng,
    addresses: HashMap<id::Upstream, SocketAddr>,
    reports: (Sender<EngineReport>, Receiver<EngineReport>),
    next_target_read_at: Instant,
    /// The manifest whose replicas are in use.
    applied_manifest: Option<Arc<Manifest>>,
    excluded: HashSet<id::Upstream>,
}

impl Swapper {
    fn new(shared: Arc<Shared>, model: id::Model, lease: Arc<LeaseManager>) -> Self {
        let seed = rand::Rng::next_u64(&mut *lock(&shared.rng));
        let settings = Settings::default();
        Self {
            swap: Swap::new(model.clone(), settings.clone()),
            settings,
            rng: SmallRng::seed_from_u64(seed),
            addresses: HashMap::new(),
            reports: channel(),
            next_target_read_at: Instant::default(),
            applied_manifest: None,
            excluded: HashSet::new(),
            shared,
            model,
            lease,
        }
    }

    fn run(mut self) {
        while !self.shared.is_stopped() && !self.lease.is_retired() {
            while let Ok(report) = self.reports.1.try_recv() {
                self.on_report(report);
            }
            self.poll();
            thread::sleep(TICK);
        }
    }

    fn poll(&mut self) {
        let now = self.shared.now();
        let Ok(manifest) = self.shared.manifest() else {
            self.swap.set_lease(None, now);
            return;
        };
        let held = self.lease.guard(now);
        let grant = held.map(|held| LeaseGrant {
            fence: held.fence,
            until: held.expires_at,
        });
        self.swap.set_lease(grant, now);
        self.apply_manifest(&manifest);
        if grant.is_none() {
            return;
        }
        if now >= self.next_target_read_at {
            self.next_target_read_at = now + TARGET_INTERVAL;
            self.read_target(&manifest);
        }
        let model = self.model.clone();
        let allows =
            |start, max_duration| quiet::allows_change(&manifest, &model, start, max_duration);
        let wall = self.shared.timestamp();
        let actions = self
            .swap
            .poll(self.shared.now(), wall, &allows, &mut self.rng);
        for action in actions {
            self.execute(action);
        }
        self.apply_exclusions();
    }

    /// Replaces the replicas with those of the manifest, if it changed.
    fn apply_manifest(&mut self, manifest: &Arc<Manifest>) {
        let is_known = |known: &Arc<Manifest>| Arc::ptr_eq(known, manifest);
        if self.applied_manifest.as_ref().is_some_and(is_known) {
            return;
        }
        self.applied_manifest = Some(manifest.clone());
        let engines = manifest.engines.iter();
        let engines = engines.filter(|entry| entry.models.contains(&self.model) && !entry.leaving);
        let engines: Vec<_> = engines.collect();
        self.addresses = engines
            .iter()
            .map(|entry| (entry.upstream.clone(), entry.address))
            .collect();
        let replicas: Vec<Replica> = engines
            .iter()
            .map(|entry| Replica {
                upstream: entry.upstream.clone(),
                checks_fencing: entry.checks_fencing,
            })
            .collect();
        if let Err(error) = self.swap.set_replicas(&replicas) {
            tracing::error!(%error, "swap_replicas_rejected");
        }
    }

    /// Sets the target to the newest version in the manifest or published by a trainer.
    fn read_target(&mut self, manifest: &Manifest) {
        let Some(model) = manifest
            .models
            .iter()
            .find(|entry| entry.model == self.model)
        else {
            return;
        };
        let mut target = Target {
            version: model.version,
            object: model.object.clone(),
        };
        for trainer in manifest
            .trainers
            .iter()
            .filter(|entry| entry.model == self.model)
        {
            let key = PublishedWeights::key(&trainer.trainer);
            let row = self.shared.platform.table.read(&key, CALL_TIMEOUT);
            self.shared.count_store_failure(&row);
            // If the read fails, keep rolling out the previous target.
            let Ok(row) = row else { return };
            match row.as_ref().map(PublishedWeights::from_row) {
                Some(Ok(Some(published))) if published.version > target.version => {
                    target = Target {
                        version: published.version,
                        object: published.object,
                    };
                }
                Some(Err(error)) => drop(self.shared.invariant_violated("published", error)),
                _ => {}
            }
        }
        if let Err(error) = self.swap.set_target(target) {
            tracing::debug!(%error, "swap_target_rejected");
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Order {
                upstream,
                order,
                start_by,
            } => self.submit_order(upstream, order, start_by),
            Action::Read { upstream } => self.submit_weights_read(upstream),
            Action::Excluded {
                upstream,
                version,
                attempts,
            } => {
                self.shared.metrics.count("swap.excluded");
                self.shared
                    .recorder
                    .record(self.shared.timestamp(), "swap_excluded", |event| {
                        event
                            .with("upstream", upstream)
                            .with("version", version)
                            .with("attempts", attempts)
                    });
            }
            Action::Newer { upstream, version } => {
                self.shared
                    .recorder
                    .record(self.shared.timestamp(), "swap_newer", |event| {
                        event.with("upstream", upstream).with("version", version)
                    });
            }
        }
    }

    fn submit_order(&self, upstream: id::Upstream, order: Order, start_by: Instant) {
        let Some(address) = self.addresses.get(&upstream).copied() else {
            return;
        };
        let (shared, reports) = (self.shared.clone(), self.reports.0.clone());
        let timeout = self.settings.order_timeout;
        let (target, operation) = (upstream.clone(), order.order);
        let accepted = self.shared.workers.run(move || {
            let outcome = send_order(&shared, address, &upstream, &order, start_by, timeout);
            // Fails only if the swapper has terminated.
            let _ = reports.send(EngineReport::Ordered(upstream, order.order, outcome));
        });
        if !accepted {
            let _ = self
                .reports
                .0
                .send(EngineReport::Ordered(target, operation, Outcome::NotSent));
        }
    }

    fn submit_weights_read(&self, upstream: id::Upstream) {
        let Some(address) = self.addresses.get(&upstream).copied() else {
            return;
        };
        let (shared, reports) = (self.shared.clone(), self.reports.0.clone());
        // If the worker queue is full, the read is repeated at the next interval.
        self.shared.workers.run(move || {
            let sent_at = shared.now();
            let weights = shared
                .platform
                .engine
                .read_weights(address, CALL_TIMEOUT)
                .ok();
            let _ = reports.send(EngineReport::Weights(upstream, sent_at, weights));
        });
    }

    fn on_report(&mut self, report: EngineReport) {
        let now = self.shared.now();
        match report {
            EngineReport::Ordered(upstream, operation, outcome) => {
                self.swap
                    .on_order_result(&upstream, operation, outcome, now);
            }
            EngineReport::Weights(upstream, sent_at, Some(weights)) => {
                let model_weights = weights.iter().find(|entry| entry.model == self.model);
                self.swap.on_weights(&upstream, sent_at, model_weights, now);
            }
            EngineReport::Weights(_, _, None) => {}
        }
    }

    /// Excludes replicas that can't load the weights from routing.
    fn apply_exclusions(&mut self) {
        let excluded: HashSet<_> = self.swap.excluded().cloned().collect();
        if excluded != self.excluded {
            if let Ok(replica_set) = self.shared.upstreams.model(&self.model) {
                replica_set.set_excluded(excluded.clone());
            }
            self.excluded = excluded;
        }
    }
}

fn send_order(
    shared: &Shared,
    address: SocketAddr,
    upstream: &id::Upstream,
    order: &Order,
    start_by: Instant,
    timeout: Duration,
) -> Outcome {
    // `start_by` may have passed while the job was queued.
    if shared.now() >= start_by {
        return Outcome::NotSent;
    }
    shared.metrics.count("swap.ordered");
    let result = shared.platform.engine.send_order(address, order, timeout);
    let outcome = match &result {
        Ok(()) => Outcome::Accepted,
        Err(error) => match error.cause() {
            Cause::StaleFence => Outcome::Fenced,
            _ => Outcome::from(error),
        },
    };
    shared
        .recorder
        .record(shared.timestamp(), "order_sent", |event| {
            event
                .with("upstream", upstream)
                .with("order", order.order)
                .with("fence", order.fence)
                .with("outcome", format!("{outcome:?}"))
        });
    outcome
}

/// The models that have a swapper thread on this node, with the leases of the threads.
pub(crate) type RunningSwappers = Mutex<HashMap<id::Model, Arc<LeaseManager>>>;
