//! What a node knows of the world outside, as one picture that many parts read.

use dogwoodlb_batch::Head;
use dogwoodlb_config::Snapshot;
use dogwoodlb_directory::Directory;
use dogwoodlb_types::Instant;
use std::cell::{Cell, Ref, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::watch;

/// The newest weight version of a model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NewestVersion {
    pub(crate) version: u64,
    pub(crate) row: u64,
}

/// A value with the version of its row.
#[derive(Clone, Debug)]
pub(crate) struct Versioned<T> {
    pub(crate) row: u64,
    pub(crate) value: T,
}

/// What a node knows; written by the part that follows the store, read by all others.
pub(crate) struct ClusterState {
    config: RefCell<Option<Rc<Snapshot>>>,
    pub(crate) versions: RefCell<BTreeMap<String, NewestVersion>>,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) heads: RefCell<BTreeMap<String, Versioned<Head>>>,
    /// The node that leads each service with models.
    pub(crate) leaders: RefCell<BTreeMap<String, Versioned<String>>>,
    changes: watch::Sender<u64>,
    /// The last time at which the configuration was known to be the newest.
    config_confirmed_at: Cell<Option<Instant>>,
}

impl ClusterState {
    pub(crate) fn new() -> Self {
        Self {
            config: RefCell::default(),
            versions: RefCell::default(),
            directory: RefCell::default(),
            heads: RefCell::default(),
            leaders: RefCell::default(),
            changes: watch::Sender::new(0),
            config_confirmed_at: Cell::new(None),
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Option<Rc<Snapshot>> {
        self.config.borrow().clone()
    }

    pub(crate) fn set_config(&self, snapshot: Snapshot) {
        *self.config.borrow_mut() = Some(Rc::new(snapshot));
    }

    /// Notes that the operator's rows are known as of now.
    pub(crate) fn confirm_config(&self, now: Instant) {
        self.config_confirmed_at.set(Some(now));
    }

    pub(crate) fn config_confirmed_at(&self) -> Option<Instant> {
        self.config_confirmed_at.get()
    }

    /// Wakes all who wait for a change.
    pub(crate) fn notify_changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that sees changes from now on.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the head of a batch.
    pub(crate) fn head(&self, batch: &str) -> Option<Versioned<Head>> {
        self.heads.borrow().get(batch).cloned()
    }

    /// Takes in the head of a batch unless a newer one is known.
    pub(crate) fn put_head(&self, batch: &str, row: u64, head: Head) {
        let mut heads = self.heads.borrow_mut();
        if heads.get(batch).is_none_or(|known| known.row < row) {
            heads.insert(batch.to_owned(), Versioned { row, value: head });
        }
    }

    pub(crate) fn leader(&self, service: &str) -> Option<Versioned<String>> {
        self.leaders.borrow().get(service).cloned()
    }

    pub(crate) fn put_leader(&self, service: &str, row: u64, node: &str) {
        let mut leaders = self.leaders.borrow_mut();
        if leaders.get(service).is_none_or(|known| known.row < row) {
            let value = node.to_owned();
            leaders.insert(service.to_owned(), Versioned { row, value });
        }
    }

    pub(crate) fn directory(&self) -> Ref<'_, Directory> {
        self.directory.borrow()
    }

    /// Returns the row of the weight version that was named last, of any model.
    pub(crate) fn newest_version_row(&self) -> u64 {
        let versions = self.versions.borrow();
        versions.values().map(|named| named.row).max().unwrap_or(0)
    }

    /// Returns the newest version of a model's weights.
    pub(crate) fn newest_version(&self, model: &str) -> Option<u64> {
        self.versions.borrow().get(model).map(|named| named.version)
    }
}
