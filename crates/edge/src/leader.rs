//! Decides which services this node leads.
//!
//! The leader of a service runs its batches and orders its replicas. The store names it; nobody
//! holds a lease, because whatever a leader does is conditional on rows in the store or may be
//! done twice. So another node takes over as soon as the leader's heartbeats stop.

use crate::clock;
use crate::coordinator::Coordinator;
use crate::storage::{self, SHARED};
use crate::sweep;
use crate::tools::Tools;
use dogwoodlb_batch::ItemText;
use dogwoodlb_external::store::{Outcome, Txn};
use dogwoodlb_types::Instant;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

const TICK: Duration = Duration::from_millis(100);
/// How long a leader has to be unfit before another node takes over.
const UNFIT: Duration = Duration::from_millis(100);
/// The time between two tries to hand over without the store.
const HAND_OVER_RETRY: Duration = Duration::from_millis(300);
/// How long a candidate must have had the store.
const SETTLE: Duration = Duration::from_millis(1_300);
/// The time between the claims of two candidates, so that they do not all write.
const RANK_STEP: Duration = Duration::from_millis(250);

/// The services that a node leads, with what runs them.
#[derive(Default)]
pub(crate) struct Duties(RefCell<BTreeMap<String, Rc<Coordinator>>>);

impl Duties {
    /// Returns whether the node leads nothing.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Gives up a service that another node leads by now, and returns its unfinished texts.
    pub(crate) fn surrender(&self, service: &str) -> Vec<ItemText> {
        let coordinator = self.0.borrow().get(service).cloned();
        coordinator.map_or_else(Vec::new, |coordinator| coordinator.surrender())
    }
}

/// Decides what a node leads.
pub(crate) struct Leader {
    tools: Rc<Tools>,
    duties: Rc<Duties>,
    tasks: BTreeMap<String, AbortHandle>,
    /// What former leaders told of unfinished items.
    inherited: BTreeMap<String, Vec<ItemText>>,
    /// Since when each service has had no fit leader.
    unfit: BTreeMap<String, Instant>,
}

impl Leader {
    pub(crate) fn new(tools: Rc<Tools>, duties: Rc<Duties>) -> Self {
        Self {
            tools,
            duties,
            tasks: BTreeMap::new(),
            inherited: BTreeMap::new(),
            unfit: BTreeMap::new(),
        }
    }

    /// Leads services until the node leaves, then hands them over.
    pub(crate) async fn run(mut self) {
        while !self.tools.peers.is_leaving() {
            self.step().await;
            self.tools.peers.set_duty(!self.tasks.is_empty());
            sleep(TICK).await;
        }
        while !self.tasks.is_empty() {
            self.leave().await;
            sleep(HAND_OVER_RETRY).await;
        }
    }

    /// Hands over what can be handed over now.
    async fn leave(&mut self) {
        let services: Vec<String> = self.tasks.keys().cloned().collect();
        for service in services {
            let leader = self.tools.known.leader(&service);
            if leader.is_some_and(|leader| leader.value != self.tools.settings.node) {
                self.follow(&service);
                continue;
            }
            let coordinator = self.duties.0.borrow().get(&service).cloned();
            if let Some(coordinator) = coordinator {
                if coordinator.hand_over().await {
                    self.resign(&service).await;
                    self.follow(&service);
                }
            }
        }
    }

    async fn step(&mut self) {
        let Some(config) = self.tools.known.config() else {
            return;
        };
        let services: Vec<String> = config.engines().map(|one| one.name.clone()).collect();
        for service in &services {
            let leader = self.tools.known.leader(service);
            let name = leader.as_ref().map_or("", |leader| leader.value.as_str());
            if name == self.tools.settings.node {
                self.lead(service);
                continue;
            }
            self.follow(service);
            let row = leader.as_ref().map_or(0, |leader| leader.row);
            if self.is_due(service, name) {
                self.claim(service, name, row).await;
            }
        }
        let gone: Vec<String> = self
            .tasks
            .keys()
            .filter(|led| !services.contains(led))
            .cloned()
            .collect();
        for service in gone {
            self.follow(&service);
        }
    }

    fn lead(&mut self, service: &str) {
        if self.tasks.contains_key(service) {
            return;
        }
        let inherited = self.inherited.remove(service).unwrap_or_default();
        tracing::info!(service, inherited = inherited.len(), "leading");
        let coordinator = Rc::new(Coordinator::new(service, self.tools.clone(), inherited));
        let sweep = sweep::run(self.tools.clone(), service.to_owned());
        let run = coordinator.clone().run();
        let task = tokio::task::spawn_local(async move {
            tokio::join!(run, sweep);
        });
        self.tasks.insert(service.to_owned(), task.abort_handle());
        let mut duties = self.duties.0.borrow_mut();
        duties.insert(service.to_owned(), coordinator);
    }

    fn follow(&mut self, service: &str) {
        let Some(task) = self.tasks.remove(service) else {
            return;
        };
        tracing::info!(service, "following");
        task.abort();
        let coordinator = self.duties.0.borrow_mut().remove(service);
        if let Some(coordinator) = coordinator {
            coordinator.surrender();
        }
    }

    /// Returns whether it is this node's turn to replace the leader of a service.
    fn is_due(&mut self, service: &str, leader: &str) -> bool {
        let now = clock::now();
        let peers = &self.tools.peers;
        // A store that has just returned may not have reached the leader yet.
        let is_settled = self.tools.storage.reached_for(now) >= SETTLE;
        if peers.is_fit(leader) || !peers.can_lead() || !is_settled {
            self.unfit.remove(service);
            return false;
        }
        let since = *self.unfit.entry(service.to_owned()).or_insert(now);
        let rank = u32::try_from(peers.rank(service)).unwrap_or(u32::MAX);
        let wait = UNFIT.saturating_add(RANK_STEP.saturating_mul(rank));
        now.saturating_since(since) >= wait
    }

    async fn claim(&mut self, service: &str, before: &str, row: u64) {
        let node = &self.tools.settings.node;
        let key = storage::leader_key(service);
        let txn = Txn::default().check(SHARED, &key, row);
        let txn = txn.put(SHARED, &key, node.clone().into_bytes());
        match self.tools.storage.commit(&txn).await {
            Ok(Outcome::Done { version, .. }) => {
                tracing::info!(
                    service,
                    before,
                    row = version,
                    outcome = "won",
                    "leader_claimed"
                );
                self.tools.known.put_leader(service, version, node);
                self.unfit.remove(service);
                let texts = self.tools.peers.ask_texts(before, service).await;
                self.inherited.insert(service.to_owned(), texts);
                self.lead(service);
            }
            Ok(Outcome::Conflict { rows }) => {
                tracing::info!(service, before, outcome = "lost", "leader_claimed");
                for row in rows {
                    let name = String::from_utf8_lossy(&row.value);
                    self.tools.known.put_leader(service, row.version, &name);
                }
            }
            Err(error) => {
                tracing::info!(service, before, %error, outcome = "unknown", "leader_claimed");
            }
        }
    }

    /// Leaves the place of a leader empty, so that the next one need not wait.
    async fn resign(&self, service: &str) {
        let Some(leader) = self.tools.known.leader(service) else {
            return;
        };
        let key = storage::leader_key(service);
        let txn = Txn::default().check(SHARED, &key, leader.row);
        let txn = txn.put(SHARED, &key, Vec::new());
        let written = timeout(TICK * 5, self.tools.storage.commit(&txn)).await;
        tracing::info!(service, is_written = written.is_ok(), "resigned");
    }
}
