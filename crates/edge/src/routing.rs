//! Selection of replicas of plain services.

use crate::clock;
use crate::cluster::ClusterState;
use crate::departure;
use crate::hedge::Hedger;
use crate::protocol::HeaderNames;
use crate::settings::Settings;
use dogwoodlb_config::{Service, Snapshot};
use dogwoodlb_directory::Entry;
use dogwoodlb_route::{Outcome, Replica, Request, Router, Ticket};
use dogwoodlb_types::{id, Class};
use hyper::http::response::Parts;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// A replica selected for a request. If it is dropped before [`finish`](Self::finish), the
/// request counts as cancelled.
pub(crate) struct Selection {
    pub(crate) replica: id::Upstream,
    pub(crate) address: SocketAddr,
    /// The start of the replica's process, which tells its incarnations apart.
    pub(crate) born_ms: i64,
    ticket: Cell<Option<Ticket>>,
    service: String,
    routers: Rc<ServiceRouters>,
}

impl Selection {
    /// Returns whether the request may be sent: the replica may have begun to leave since it was
    /// selected.
    pub(crate) fn may_send(&self) -> bool {
        let cluster = &self.routers.cluster;
        cluster.accepts_work(self.replica.as_str(), self.born_ms)
    }

    /// Returns whether the directory still has the incarnation that was selected.
    pub(crate) fn is_registered(&self) -> bool {
        let directory = self.routers.cluster.directory();
        let entry = directory.get(self.replica.as_str());
        entry.is_some_and(|entry| entry.born_ms == self.born_ms)
    }

    /// Reads from a response to the request whether the replica is leaving.
    pub(crate) fn observe(&self, names: &HeaderNames, response: &Parts) {
        let cluster = &self.routers.cluster;
        let replica = self.replica.as_str();
        departure::observe(cluster, names, replica, self.born_ms, response);
    }

    /// Reports the outcome of the request to the router. Only the first call has an effect.
    pub(crate) fn finish(&self, outcome: Outcome) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let mut routers = self.routers.by_service.borrow_mut();
        let Some(router) = routers.get_mut(&self.service) else {
            return;
        };
        let now = clock::now();
        let was_ejected = router.is_ejected(&self.replica, now);
        if let Err(error) = router.on_end(ticket, outcome, now) {
            tracing::debug!(replica = %self.replica, %error, "ticket_unknown");
        }
        if !was_ejected && router.is_ejected(&self.replica, now) {
            tracing::info!(replica = %self.replica, service = self.service, "replica_ejected");
        }
    }
}

impl Drop for Selection {
    fn drop(&mut self) {
        self.finish(Outcome::Cancelled);
    }
}

/// The routers of all plain services.
pub(crate) struct ServiceRouters {
    pub(crate) hedger: Hedger,
    location: dogwoodlb_route::Settings,
    centres: BTreeMap<String, String>,
    cluster: Rc<ClusterState>,
    by_service: RefCell<HashMap<String, Router>>,
    /// The replicas with an invalid id or location, kept so that each is logged only once.
    invalid_replicas: RefCell<BTreeSet<String>>,
    /// The directory revision and the configuration that the routers were last updated with.
    applied: RefCell<Option<(u64, Rc<Snapshot>)>>,
}

impl ServiceRouters {
    /// Creates the routers of a node.
    ///
    /// # Errors
    ///
    /// If the name, region or data centre in the settings is invalid.
    pub(crate) fn new(
        settings: &Settings,
        cluster: Rc<ClusterState>,
    ) -> Result<Self, dogwoodlb_types::Error> {
        let location = dogwoodlb_route::Settings {
            vm: settings.node.parse()?,
            region: settings.region.parse()?,
            centre: settings.centre.parse()?,
        };
        Ok(Self {
            hedger: Hedger::new(&cluster.metrics),
            location,
            centres: settings.centres.clone(),
            cluster,
            by_service: RefCell::default(),
            invalid_replicas: RefCell::default(),
            applied: RefCell::default(),
        })
    }

    /// Updates the routers if the directory or the configuration has changed.
    pub(crate) fn update(&self) {
        let Some(config) = self.cluster.config() else {
            return;
        };
        let directory = self.cluster.directory();
        let revision = directory.revision();
        let is_applied =
            |(applied, old): &(u64, Rc<Snapshot>)| *applied == revision && Rc::ptr_eq(old, &config);
        if self.applied.borrow().as_ref().is_some_and(is_applied) {
            return;
        }
        let is_known = |id: &String| directory.get(id).is_some();
        self.invalid_replicas.borrow_mut().retain(is_known);
        let mut routers = self.by_service.borrow_mut();
        for service in config.services() {
            let ready = directory.ready_replicas(&service.name);
            let replicas: Vec<Replica> = ready
                .filter_map(|(id, entry)| self.route_replica(service, id, entry))
                .collect();
            let router = routers.entry(service.name.clone()).or_insert_with(|| {
                let mut router = Router::new(self.location.clone());
                router.set_pooled(true);
                router
            });
            if let Err(error) = router.update(&replicas) {
                tracing::error!(service = service.name, %error, "router_update_failed");
            }
        }
        *self.applied.borrow_mut() = Some((revision, config.clone()));
    }

    fn route_replica(&self, service: &Service, id: &str, entry: &Entry) -> Option<Replica> {
        let upstream = id.parse().ok();
        let centre = entry.centre.parse().ok();
        let region = self.centres.get(&entry.centre);
        let region = region.and_then(|region| region.parse().ok());
        let (Some(upstream), Some(centre), Some(region)) = (upstream, centre, region) else {
            if self.invalid_replicas.borrow_mut().insert(id.to_owned()) {
                tracing::warn!(
                    replica = id,
                    centre = entry.centre,
                    "replica_location_invalid"
                );
            }
            return None;
        };
        Some(Replica {
            upstream,
            region,
            centre,
            slots: service.usable_slots(entry.slots),
            leaving: false,
        })
    }

    /// Returns whether a service has replicas, and all of them are leaving. None can serve until
    /// another one registers.
    pub(crate) fn has_only_leaving(&self, service: &str) -> bool {
        let directory = self.cluster.directory();
        let mut replicas = directory.replicas(service);
        replicas.next().is_some() && directory.ready_replicas(service).next().is_none()
    }

    /// Selects a replica of a service.
    pub(crate) fn select(
        self: &Rc<Self>,
        service: &str,
        tried: &[id::Upstream],
    ) -> Option<Selection> {
        self.update();
        let mut routers = self.by_service.borrow_mut();
        let router = routers.get_mut(service)?;
        let request = Request::new(Class::Customer).exclude(tried);
        let pick = router.pick(&request, clock::now(), &mut rand::rng()).ok()?;
        // Fails only for a ticket that this router did not issue.
        let _ = router.on_start(pick.ticket);
        let directory = self.cluster.directory();
        let replica = pick.upstream.as_str();
        let entry = directory.get(replica);
        // The router of a service that the configuration has dropped since is not updated.
        let ready = entry.filter(|entry| directory.accepts_work(replica, entry.born_ms));
        let Some(entry) = ready else {
            let _ = router.on_end(pick.ticket, Outcome::Cancelled, clock::now());
            return None;
        };
        Some(Selection {
            replica: pick.upstream,
            address: entry.address,
            born_ms: entry.born_ms,
            ticket: Cell::new(Some(pick.ticket)),
            service: service.to_owned(),
            routers: self.clone(),
        })
    }
}
