//! The replicas of plain services: which one gets a request, and the calls to them.

use crate::clock;
use crate::known::Known;
use crate::settings::Settings;
use dogwoodlb_config::Snapshot;
use dogwoodlb_directory::Entry;
use dogwoodlb_route::{Outcome, Replica, Request, Router, Ticket};
use dogwoodlb_types::{id, Class};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// A replica that was picked for a request; dropping it counts the request as cancelled.
pub(crate) struct Picked {
    pub(crate) replica: id::Upstream,
    pub(crate) address: SocketAddr,
    ticket: Option<Ticket>,
    service: String,
    fleet: Rc<Fleet>,
}

impl Picked {
    /// Ends the request; only the first call counts.
    pub(crate) fn end(&mut self, outcome: Outcome) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let mut routers = self.fleet.routers.borrow_mut();
        if let Some(router) = routers.get_mut(&self.service) {
            if let Err(error) = router.on_end(ticket, outcome, clock::now()) {
                tracing::debug!(replica = %self.replica, %error, "ticket_unknown");
            }
        }
    }
}

impl Drop for Picked {
    fn drop(&mut self) {
        self.end(Outcome::Cancelled);
    }
}

/// The routers of all plain services.
pub(crate) struct Fleet {
    place: dogwoodlb_route::Settings,
    centres: BTreeMap<String, String>,
    known: Rc<Known>,
    routers: RefCell<HashMap<String, Router>>,
    /// The replicas that can't be used, which are logged once.
    misplaced: RefCell<BTreeSet<String>>,
    /// The directory and the configuration that the routers know.
    seen: RefCell<Option<(u64, Rc<Snapshot>)>>,
}

impl Fleet {
    /// Creates the routers of a node.
    ///
    /// # Errors
    ///
    /// If a name in the settings is not a name.
    pub(crate) fn new(
        settings: &Settings,
        known: Rc<Known>,
    ) -> Result<Self, dogwoodlb_types::Error> {
        let place = dogwoodlb_route::Settings {
            vm: settings.node.parse()?,
            region: settings.region.parse()?,
            centre: settings.centre.parse()?,
        };
        Ok(Self {
            place,
            centres: settings.centres.clone(),
            known,
            routers: RefCell::default(),
            misplaced: RefCell::default(),
            seen: RefCell::default(),
        })
    }

    /// Takes in what the directory says now.
    pub(crate) fn update(&self) {
        let Some(config) = self.known.config() else {
            return;
        };
        let directory = self.known.directory();
        let revision = directory.revision();
        let is_seen =
            |(known, old): &(u64, Rc<Snapshot>)| *known == revision && Rc::ptr_eq(old, &config);
        if self.seen.borrow().as_ref().is_some_and(is_seen) {
            return;
        }
        let is_known = |id: &String| directory.get(id).is_some();
        self.misplaced.borrow_mut().retain(is_known);
        let mut routers = self.routers.borrow_mut();
        for service in config.services() {
            let listed = directory.ready_replicas(&service.name);
            let replicas: Vec<Replica> = listed
                .filter_map(|(id, entry)| self.replica(id, entry))
                .collect();
            let router = routers
                .entry(service.name.clone())
                .or_insert_with(|| Router::new(self.place.clone()));
            if let Err(error) = router.update(&replicas) {
                tracing::error!(service = service.name, %error, "replicas_refused");
            }
        }
        *self.seen.borrow_mut() = Some((revision, config.clone()));
    }

    fn replica(&self, id: &str, entry: &Entry) -> Option<Replica> {
        let upstream = id.parse().ok();
        let centre = entry.centre.parse().ok();
        let region = self.centres.get(&entry.centre);
        let region = region.and_then(|region| region.parse().ok());
        let (Some(upstream), Some(centre), Some(region)) = (upstream, centre, region) else {
            if self.misplaced.borrow_mut().insert(id.to_owned()) {
                tracing::warn!(replica = id, centre = entry.centre, "replica_misplaced");
            }
            return None;
        };
        Some(Replica {
            upstream,
            region,
            centre,
            slots: entry.slots.max(1),
            leaving: false,
        })
    }

    /// Picks a replica of a service.
    pub(crate) fn pick(self: &Rc<Self>, service: &str, tried: &[id::Upstream]) -> Option<Picked> {
        let mut routers = self.routers.borrow_mut();
        let router = routers.get_mut(service)?;
        let request = Request::new(Class::Customer).exclude(tried);
        let pick = router.pick(&request, clock::now(), &mut rand::rng()).ok()?;
        // Errors concern tickets that this router did not issue.
        let _ = router.on_start(pick.ticket);
        let directory = self.known.directory();
        let address = directory
            .get(pick.upstream.as_str())
            .map(|entry| entry.address);
        let Some(address) = address else {
            let _ = router.on_end(pick.ticket, Outcome::Cancelled, clock::now());
            return None;
        };
        Some(Picked {
            replica: pick.upstream,
            address,
            ticket: Some(pick.ticket),
            service: service.to_owned(),
            fleet: self.clone(),
        })
    }
}
