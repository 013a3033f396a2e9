//! Orders replicas of the services that this node leads from the provider.
//!
//! There is one duty for each service with models whose configuration permits orders. The leader of
//! the service performs it, because it knows the waiting and the running items. How many replicas
//! are ordered, and where, is decided by [`dogwoodlb_scaling`]. See docs/design/replica-count.md.

use crate::clock;
use crate::context::NodeContext;
use crate::coordinator::Coordinator;
use crate::duty::{Call, CallOutcome, Driver, Duty, Eligibility, Plan};
use crate::leader::LedServices;
use crate::protocol::ReplicaOrder;
use crate::settings::Provider;
use dogwoodlb_config::{Service, Snapshot};
use dogwoodlb_scaling::{Centre, Order, Planner, View};
use hyper::StatusCode;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The name of the duty in the settings, and the start of the names of its rows.
const NAME: &str = "autoscale";
/// The interval between two looks at the services of the configuration.
const CONFIG_INTERVAL: Duration = Duration::from_millis(500);
/// How long the store must have been reachable before replicas are ordered. After an outage, live
/// replicas take up to 2.2 s to register again, and an order states a number that includes them.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Returns whether the node has the duty to order replicas.
pub(crate) fn is_enabled(provider: &Provider) -> bool {
    provider.duties.iter().any(|duty| duty == NAME)
}

/// Starts a driver for each service whose replicas may be ordered, until the node shuts down. A
/// driver ends by itself once its service is gone.
pub(crate) async fn run(context: Rc<NodeContext>, led_services: Rc<LedServices>, boot: u64) {
    let mut drivers = BTreeMap::new();
    let mut without_models = BTreeSet::new();
    while !context.peers.is_leaving() {
        if let Some(config) = context.cluster.config() {
            drivers.retain(|_, driver: &mut tokio::task::AbortHandle| !driver.is_finished());
            for service in scalable_services(&config) {
                let name = &service.name;
                if drivers.contains_key(name) {
                    continue;
                }
                let duty = Autoscale::new(context.clone(), led_services.clone(), name);
                let driver = Driver::new(context.clone(), duty, boot);
                let task = context.supervisor.spawn("autoscale", driver.run());
                drivers.insert(name.clone(), task);
            }
            log_without_models(&config, &mut without_models);
        }
        sleep(CONFIG_INTERVAL).await;
    }
}

/// Returns the services whose replicas may be ordered. Those without models have no leader.
fn scalable_services(config: &Snapshot) -> impl Iterator<Item = &Service> {
    let services = config.model_services();
    services.filter(|service| service.scaling.is_some())
}

/// Logs each service whose `scaling` has no effect.
fn log_without_models(config: &Snapshot, logged: &mut BTreeSet<String>) {
    let is_ignored = |service: &&Service| service.scaling.is_some() && service.engine.is_none();
    let ignored: BTreeSet<String> = config
        .services()
        .iter()
        .filter(is_ignored)
        .map(|service| service.name.clone())
        .collect();
    for service in ignored.difference(logged) {
        tracing::warn!(service, "scaling_without_models");
    }
    *logged = ignored;
}

/// The duty to order the replicas of one service.
struct Autoscale {
    context: Rc<NodeContext>,
    led_services: Rc<LedServices>,
    service: String,
    name: String,
    /// The term of the leadership to which the planner belongs.
    term: u64,
    planner: Planner,
    /// The planned order and what it is based on.
    planned: Option<(Order, Basis)>,
}

/// What an order is based on.
struct Basis {
    config: Rc<Snapshot>,
    centres: Vec<Centre>,
    slots: u32,
    work: Duration,
}

impl Basis {
    fn view(&self, service: &str) -> Option<View<'_>> {
        Some(View {
            scaling: self.config.service(service)?.scaling.as_ref()?,
            centres: &self.centres,
            slots: self.slots,
            work: self.work,
        })
    }
}

impl Duty for Autoscale {
    fn name(&self) -> &str {
        &self.name
    }

    fn kind(&self) -> &'static str {
        NAME
    }

    fn eligibility(&self) -> Eligibility {
        Eligibility::Designated(self.coordinator().is_some())
    }

    fn driver_count(&self) -> usize {
        let config = self.context.cluster.config();
        let count = config.map_or(1, |config| scalable_services(&config).count());
        count.max(1)
    }

    fn is_over(&self) -> bool {
        let config = self.context.cluster.config();
        config.is_some_and(|config| {
            let mut services = scalable_services(&config);
            !services.any(|service| service.name == self.service)
        })
    }

    fn is_answered(&self, outcome: &CallOutcome) -> bool {
        matches!(outcome, CallOutcome::Acknowledged) || is_unavailable(outcome)
    }

    async fn plan(&mut self, progress: Option<&[u8]>) -> Option<Plan> {
        self.planned = None;
        let now = clock::now();
        let coordinator = self.coordinator()?;
        if self.context.storage.reachable_for(now) < SETTLE_TIME {
            return None;
        }
        if self.term != coordinator.term {
            // Another leader may have ordered in between.
            self.term = coordinator.term;
            self.planner = Planner::default();
        }
        let basis = self.observe(&coordinator)?;
        let orders = self.planner.plan(&basis.view(&self.service)?, now);
        // The next plan takes the outcome of this order into account.
        let order = orders.into_iter().next()?;
        let call = self.encode(&order);
        self.planned = Some((order, basis));
        Some(Plan {
            progress: progress.unwrap_or_default().to_vec(),
            txn: coordinator.new_txn(),
            call: Some(call),
        })
    }

    fn on_outcome(&mut self, fence: u64, outcome: &CallOutcome) {
        let Some((order, basis)) = self.planned.take() else {
            return;
        };
        let Some(view) = basis.view(&self.service) else {
            return;
        };
        let label = label(outcome);
        tracing::info!(
            service = self.service,
            centre = order.centre,
            is_spot = order.is_spot,
            count = order.count,
            needed = self.planner.needed(&view),
            available = self.planner.available(&view),
            work_ms = basis.work.as_millis() as u64,
            token = fence,
            outcome = label,
            cause = outcome.cause(),
            "replicas_ordered"
        );
        let orders = &self.context.metrics.replica_orders;
        orders.with_label_values(&[label]).inc();
        match outcome {
            CallOutcome::Acknowledged => self.planner.on_ordered(&order, &view, clock::now()),
            CallOutcome::Expired => {}
            _ => self.planner.on_unavailable(&order, clock::now()),
        }
    }
}

impl Autoscale {
    fn new(context: Rc<NodeContext>, led_services: Rc<LedServices>, service: &str) -> Self {
        Self {
            context,
            led_services,
            service: service.to_owned(),
            name: format!("{NAME}.{service}"),
            term: 0,
            planner: Planner::default(),
            planned: None,
        }
    }

    /// Returns the coordinator of the service while this node leads it.
    fn coordinator(&self) -> Option<Rc<Coordinator>> {
        let coordinator = self.led_services.get(&self.service);
        coordinator.filter(|coordinator| !coordinator.is_relinquished())
    }

    fn observe(&self, coordinator: &Coordinator) -> Option<Basis> {
        let config = self.context.cluster.config()?;
        let service = config.service(&self.service)?;
        let slots = service.usable_slots(service.engine.as_ref()?.slots);
        if slots == 0 {
            return None;
        }
        let names = self.context.settings.centres.keys();
        let mut centres: Vec<Centre> = names.map(|name| Centre::new(name, 0, 0)).collect();
        let directory = self.context.cluster.directory();
        for (_, entry) in directory.ready_replicas(&self.service) {
            let mut known = centres.iter_mut();
            match known.find(|centre| centre.name == entry.centre) {
                Some(centre) if entry.is_spot => centre.spot += 1,
                Some(centre) => centre.regular += 1,
                // Another writer's entry: nothing can be ordered there.
                None => {}
            }
        }
        drop(directory);
        let work = coordinator.open_work(slots);
        Some(Basis {
            config,
            centres,
            slots,
            work,
        })
    }

    fn encode(&self, order: &Order) -> Call {
        let protocol = &self.context.protocol;
        let (path, body) = protocol.encode_replica_order(&ReplicaOrder {
            service: &self.service,
            centre: &order.centre,
            count: order.count,
            is_spot: order.is_spot,
        });
        Call {
            path: path.to_owned(),
            body,
        }
    }
}

/// Returns whether the provider has no replicas in the data centre now.
fn is_unavailable(outcome: &CallOutcome) -> bool {
    matches!(outcome, CallOutcome::Refused(StatusCode::CONFLICT))
}

/// Returns the name of the outcome in metrics and log lines.
fn label(outcome: &CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::Acknowledged => "ordered",
        CallOutcome::Expired => "expired",
        _ if is_unavailable(outcome) => "unavailable",
        _ => "failed",
    }
}
