//! Leader election of services.
//!
//! The leader of a service runs its batches and orders weight loads on its replicas. A row in the
//! store names the leader, without a lease: every action of a leader is either conditional on
//! rows in the store or idempotent. Another node can therefore take over as soon as the leader's
//! heartbeats stop. The version of that row is the term of the leader: it differs between two
//! leaderships of one node.

use crate::candidacy::Candidacy;
use crate::clock;
use crate::context::NodeContext;
use crate::coordinator::Coordinator;
use crate::retention;
use crate::storage::{self, SHARED};
use dogwoodlb_batch::ItemText;
use dogwoodlb_external::store::{Outcome, Row, Txn};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// The interval between two rounds of the election.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// The time-out for clearing the leader row.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(500);
/// The interval between attempts to hand over services while the store can't be reached.
const HANDOVER_RETRY: Duration = Duration::from_millis(300);

/// The services that this node leads, with their coordinators.
#[derive(Default)]
pub(crate) struct LedServices(RefCell<BTreeMap<String, Rc<Coordinator>>>);

impl LedServices {
    /// Returns whether this node leads no service.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Stops running a service that another node leads since a term, and returns its unfinished
    /// texts. They are empty if the service has been relinquished before. A term older than that of
    /// this node's leadership stops nothing: the request was late.
    pub(crate) fn relinquish(&self, service: &str, term: u64) -> Vec<ItemText> {
        match self.get(service) {
            Some(coordinator) if coordinator.term < term => coordinator.relinquish(),
            _ => Vec::new(),
        }
    }

    /// Returns the coordinator of a service that this node leads.
    pub(crate) fn get(&self, service: &str) -> Option<Rc<Coordinator>> {
        self.0.borrow().get(service).cloned()
    }
}

/// Decides which services this node leads.
pub(crate) struct LeaderElection {
    context: Rc<NodeContext>,
    led_services: Rc<LedServices>,
    tasks: BTreeMap<String, AbortHandle>,
    /// The unfinished texts received from previous leaders, by service.
    inherited: BTreeMap<String, Vec<ItemText>>,
    candidacy: Candidacy,
}

impl LeaderElection {
    pub(crate) fn new(context: Rc<NodeContext>, led_services: Rc<LedServices>) -> Self {
        let candidacy = Candidacy::new(context.peers.clone(), context.storage.clone());
        Self {
            context,
            led_services,
            tasks: BTreeMap::new(),
            inherited: BTreeMap::new(),
            candidacy,
        }
    }

    /// Leads services until the node shuts down, then hands them over.
    pub(crate) async fn run(mut self) {
        while !self.context.peers.is_leaving() {
            self.run_round().await;
            self.context.peers.set_leading(!self.tasks.is_empty());
            sleep(ROUND_INTERVAL).await;
        }
        while !self.tasks.is_empty() {
            self.hand_over_all().await;
            sleep(HANDOVER_RETRY).await;
        }
    }

    /// Hands over every service for which this is currently possible.
    async fn hand_over_all(&mut self) {
        let services: Vec<String> = self.tasks.keys().cloned().collect();
        for service in services {
            let leader = self.context.cluster.leader(&service);
            if leader.is_some_and(|leader| leader.value != self.context.settings.node) {
                self.stop_leading(&service);
                continue;
            }
            if let Some(coordinator) = self.led_services.get(&service) {
                if coordinator.hand_over().await {
                    self.resign(&service, coordinator.term).await;
                    self.stop_leading(&service);
                }
            }
        }
    }

    async fn run_round(&mut self) {
        let Some(config) = self.context.cluster.config() else {
            return;
        };
        let services: Vec<String> = config
            .model_services()
            .map(|service| service.name.clone())
            .collect();
        for service in &services {
            let leader = self.context.cluster.leader(service);
            let name = leader.as_ref().map_or("", |leader| leader.value.as_str());
            let row_version = leader.as_ref().map_or(0, |leader| leader.row_version);
            if name == self.context.settings.node {
                self.lead(service, row_version);
                self.restart_relinquished(service).await;
                continue;
            }
            self.stop_leading(service);
            if self.candidacy.is_claim_due(service, name) {
                self.claim(service, name, row_version).await;
            }
        }
        let removed: Vec<String> = self
            .tasks
            .keys()
            .filter(|led| !services.contains(led))
            .cloned()
            .collect();
        for service in removed {
            self.stop_leading(&service);
        }
    }

    /// Starts running a service in a term, unless it already runs in that term.
    fn lead(&mut self, service: &str, term: u64) {
        match self.led_services.get(service) {
            Some(coordinator) if coordinator.term == term => return,
            // Another node led the service in between.
            Some(_) => self.stop_leading(service),
            None => {}
        }
        let inherited = self.inherited.remove(service).unwrap_or_default();
        tracing::info!(
            service,
            term,
            inherited = inherited.len(),
            "leading_started"
        );
        let context = self.context.clone();
        let coordinator = Rc::new(Coordinator::new(service, term, context, inherited));
        let retention = retention::run(self.context.clone(), service.to_owned());
        let run = coordinator.clone().run();
        let task = self.context.supervisor.spawn("coordinator", async move {
            tokio::join!(run, retention);
        });
        self.tasks.insert(service.to_owned(), task);
        let mut led_services = self.led_services.0.borrow_mut();
        led_services.insert(service.to_owned(), coordinator);
    }

    /// Starts running a service again that was relinquished although this node is still its leader:
    /// while the node was isolated, no other one took over.
    async fn restart_relinquished(&mut self, service: &str) {
        let Some(coordinator) = self.led_services.get(service) else {
            return;
        };
        let storage = &self.context.storage;
        if !coordinator.is_relinquished() || !storage.is_reachable(clock::now()) {
            return;
        }
        match storage.get(SHARED, &storage::leader_key(service)).await {
            Ok(Some(row)) if row.version == coordinator.term => {
                self.stop_leading(service);
                self.lead(service, row.version);
            }
            // The change feed will name the new leader.
            Ok(_) => {}
            Err(error) => tracing::info!(service, %error, "leader_not_read"),
        }
    }

    fn stop_leading(&mut self, service: &str) {
        let Some(task) = self.tasks.remove(service) else {
            return;
        };
        tracing::info!(service, "leading_ended");
        task.abort();
        let coordinator = self.led_services.0.borrow_mut().remove(service);
        if let Some(coordinator) = coordinator {
            coordinator.relinquish();
        }
    }

    async fn claim(&mut self, service: &str, previous: &str, row_version: u64) {
        let node = &self.context.settings.node;
        let key = storage::leader_key(service);
        let txn = Txn::default().check(SHARED, &key, row_version);
        let txn = txn.put(SHARED, &key, node.clone().into_bytes());
        match self.context.storage.commit(&txn).await {
            Ok(Outcome::Done { version, .. }) => {
                tracing::info!(
                    service,
                    before = previous,
                    row = version,
                    outcome = "won",
                    "leader_claimed"
                );
                let cluster = &self.context.cluster;
                cluster.put_leader(service, version, node, version);
                self.candidacy.on_claimed(service);
                let texts = self.request_texts(previous, service, version).await;
                self.inherited.insert(service.to_owned(), texts);
                self.lead(service, version);
            }
            Ok(Outcome::Conflict { rows, version }) => {
                tracing::info!(
                    service,
                    before = previous,
                    outcome = "lost",
                    "leader_claimed"
                );
                let is_present = |row: &&Row| row.version > 0 && !row.removed;
                for row in rows.iter().filter(is_present) {
                    let name = String::from_utf8_lossy(&row.value);
                    let cluster = &self.context.cluster;
                    cluster.put_leader(service, row.version, &name, version);
                }
            }
            Err(error) => {
                tracing::info!(service, before = previous, %error, outcome = "unknown", "leader_claimed");
            }
        }
    }

    /// Asks the previous leader for its unfinished texts, which makes it stop its runs. A node
    /// without heartbeats is asked, too, because it may only be cut off from this one, but not
    /// waited for: it is probably dead, and items wait.
    async fn request_texts(&self, previous: &str, service: &str, term: u64) -> Vec<ItemText> {
        if self.context.peers.is_live(previous) {
            let peers = &self.context.peers;
            return peers.fetch_texts(previous, service, term).await;
        }
        let (context, previous) = (self.context.clone(), previous.to_owned());
        let service = service.to_owned();
        self.context.supervisor.spawn("texts_request", async move {
            let texts = context.peers.fetch_texts(&previous, &service, term).await;
            if !texts.is_empty() {
                let count = texts.len();
                tracing::info!(service, before = previous, count, "late_texts_dropped");
            }
        });
        Vec::new()
    }

    /// Clears the leader row of a term, so that the next leader need not wait until heartbeats of
    /// this node are missed. If another node leads by now, nothing changes.
    async fn resign(&self, service: &str, term: u64) {
        let key = storage::leader_key(service);
        let txn = Txn::default().check(SHARED, &key, term);
        let txn = txn.put(SHARED, &key, Vec::new());
        let written = timeout(RESIGN_TIMEOUT, self.context.storage.commit(&txn)).await;
        let is_written = matches!(written, Ok(Ok(Outcome::Done { .. })));
        tracing::info!(service, term, is_written, "resigned");
    }
}
