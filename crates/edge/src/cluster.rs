//! The node's in-memory view of the cluster: configuration, weight versions, replicas, batches
//! and leaders.

use crate::identity::Caller;
use crate::metrics::Metrics;
use crate::storage;
use dogwoodlb_batch::BatchHeader;
use dogwoodlb_config::Snapshot;
use dogwoodlb_directory::Directory;
use dogwoodlb_duty::Record;
use dogwoodlb_liveness::Outbox;
use dogwoodlb_mirror::{Mirror, Versioned, VersionedMap};
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

    /// Stores the header of a batch, as shown by the store at version `as_of`, unless a newer state of
    /// its row is known.
    pub(crate) fn put_batch_header(
        &self,
        batch: &str,
        row_version: u64,
        header: BatchHeader,
        as_of: u64,
    ) {
        let mut headers = self.batch_headers.borrow_mut();
        headers.put(batch, row_version, header, as_of);
    }

    /// Forgets a batch whose header was removed at a version, unless its header is newer.
    pub(crate) fn remove_batch_header(&self, batch: &str, removed_at: u64) {
        let mut headers = self.batch_headers.borrow_mut();
        headers.remove(batch, removed_at);
    }

    pub(crate) fn leader(&self, service: &str) -> Option<Versioned<String>> {
        self.leaders.borrow().get(service).cloned()
    }

    /// Stores the leader of a service, as shown by the store at version `as_of`, unless a newer state
    /// of its row is known.
    pub(crate) fn put_leader(&self, service: &str, row_version: u64, node: &str, as_of: u64) {
        let mut leaders = self.leaders.borrow_mut();
        leaders.put(service, row_version, node.to_owned(), as_of);
    }

    /// Forgets the leader of a service whose row was removed at a version, unless a newer one is
    /// known. Without a row, any eligible node may claim the service.
    pub(crate) fn remove_leader(&self, service: &str, removed_at: u64) {
        let mut leaders = self.leaders.borrow_mut();
        leaders.remove(service, removed_at);
    }

    /// Forgets what a complete copy of the shared rows doesn't contain, unless it is newer than the
    /// copy. Rows that the node read or wrote itself may have been removed before it ever copied them.
    pub(crate) fn remove_absent_rows(&self, copy: &Mirror) {
        let version = copy.version();
        let batches = |batch: &str| copy.contains(&storage::header_key(batch));
        let mut headers = self.batch_headers.borrow_mut();
        headers.remove_absent(version, batches);
        let services = |service: &str| copy.contains(&storage::leader_key(service));
        self.leaders.borrow_mut().remove_absent(version, services);
        let duties = |duty: &str| copy.contains(&storage::duty_key(duty));
        self.duties.borrow_mut().remove_absent(version, duties);
    }

    /// Records that all changes of the shared rows up to a version have been applied.
    pub(crate) fn advance_shared_rows(&self, version: u64) {
        self.batch_headers.borrow_mut().advance(version);
        self.leaders.borrow_mut().advance(version);
        self.duties.borrow_mut().advance(version);
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
