//! The node's in-memory view of the cluster: configuration, weight versions, replicas, batches
//! and leaders.

use crate::identity::Caller;
use crate::metrics::Metrics;
use dogwoodlb_batch::BatchHeader;
use dogwoodlb_config::Snapshot;
use dogwoodlb_directory::Directory;
use dogwoodlb_duty::Record;
use dogwoodlb_liveness::Outbox;
use dogwoodlb_mirror::{Versioned, VersionedMap};
use dogwoodlb_types::Instant;
use std::cell::{Cell, Ref, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::watch;

/// The newest weight version of a model and the version of the row that announced it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NewestVersion {
    pub(crate) version: u64,
    pub(crate) row_version: u64,
}

/// The node's view of the cluster. The table watcher and the writers of rows update it; all other
/// parts read it.
pub(crate) struct ClusterState {
    config: RefCell<Option<Rc<Snapshot>>>,
    pub(crate) versions: RefCell<BTreeMap<String, NewestVersion>>,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) batch_headers: RefCell<VersionedMap<BatchHeader>>,
    /// The leader of each service that has models.
    leaders: RefCell<VersionedMap<String>>,
    /// The rows of the duties.
    pub(crate) duties: RefCell<VersionedMap<Record>>,
    /// The departures that the other nodes are told of.
    pub(crate) outbox: RefCell<Outbox>,
    pub(crate) metrics: Rc<Metrics>,
    changes: watch::Sender<u64>,
    /// The last time at which the configuration was confirmed to be current.
    config_confirmed_at: Cell<Option<Instant>>,
}

impl ClusterState {
    pub(crate) fn new(metrics: Rc<Metrics>) -> Self {
        Self {
            config: RefCell::default(),
            versions: RefCell::default(),
            directory: RefCell::default(),
            batch_headers: RefCell::default(),
            leaders: RefCell::default(),
            duties: RefCell::default(),
            outbox: RefCell::default(),
            metrics,
            changes: watch::Sender::new(0),
            config_confirmed_at: Cell::new(None),
        }
    }

    /// Returns the current configuration.
    pub(crate) fn config(&self) -> Option<Rc<Snapshot>> {
        self.config.borrow().clone()
    }

    /// Returns whether the configuration has organisations.
    pub(crate) fn has_organisations(&self) -> bool {
        let config = self.config.borrow();
        let config = config.as_ref();
        config.is_some_and(|config| config.organisations().is_some())
    }

    /// Returns the caller of a request that another node relays, and whether it can be relied on. A
    /// node that does not tell callers apart, because it has no configuration with organisations
    /// yet, has not checked their keys; here its callers count as those without a key.
    pub(crate) fn verify_relayed(&self, caller: &Caller) -> (Caller, bool) {
        match caller {
            Caller::Unrestricted if self.has_organisations() => (Caller::Anonymous, false),
            caller => (caller.clone(), true),
        }
    }

    pub(crate) fn set_config(&self, snapshot: Snapshot) {
        *self.config.borrow_mut() = Some(Rc::new(snapshot));
    }

    /// Records that the operator's table was up to date at a time.
    pub(crate) fn confirm_config(&self, as_of: Instant) {
        self.config_confirmed_at.set(Some(as_of));
    }

    pub(crate) fn config_confirmed_at(&self) -> Option<Instant> {
        self.config_confirmed_at.get()
    }

    /// Wakes all tasks that wait for a change.
    pub(crate) fn notify_changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified of all later changes.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    pub(crate) fn batch_header(&self, batch: &str) -> Option<Versioned<BatchHeader>> {
        self.batch_headers.borrow().get(batch).cloned()
    }

    /// Stores the header of a batch unless a newer one is present.
    pub(crate) fn put_batch_header(&self, batch: &str, row_version: u64, header: BatchHeader) {
        let mut headers = self.batch_headers.borrow_mut();
        headers.put(batch, row_version, header);
    }

    /// Forgets a batch whose header was removed at a version, unless its header is newer.
    pub(crate) fn remove_batch_header(&self, batch: &str, row_version: u64) {
        let mut headers = self.batch_headers.borrow_mut();
        headers.remove(batch, row_version);
    }

    pub(crate) fn leader(&self, service: &str) -> Option<Versioned<String>> {
        self.leaders.borrow().get(service).cloned()
    }

    pub(crate) fn put_leader(&self, service: &str, row_version: u64, node: &str) {
        let mut leaders = self.leaders.borrow_mut();
        leaders.put(service, row_version, node.to_owned());
    }

    /// Forgets the leader of a service whose row was removed at a version, unless a newer one is
    /// known. Without a row, any eligible node may claim the service.
    pub(crate) fn remove_leader(&self, service: &str, row_version: u64) {
        let mut leaders = self.leaders.borrow_mut();
        leaders.remove(service, row_version);
    }

    pub(crate) fn directory(&self) -> Ref<'_, Directory> {
        self.directory.borrow()
    }

    /// Returns whether new work may be sent to an incarnation of a replica.
    pub(crate) fn accepts_work(&self, replica: &str, born_ms: i64) -> bool {
        self.directory().accepts_work(replica, born_ms)
    }

    /// Returns the highest version of the rows that announced weight versions, over all models.
    pub(crate) fn newest_row_version(&self) -> u64 {
        let versions = self.versions.borrow();
        versions
            .values()
            .map(|newest| newest.row_version)
            .max()
            .unwrap_or(0)
    }

    /// Returns the newest announced weight version of a model.
    pub(crate) fn newest_version(&self, model: &str) -> Option<u64> {
        self.versions
            .borrow()
            .get(model)
            .map(|newest| newest.version)
    }
}
