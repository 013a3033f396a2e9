//! What a node knows of the world outside, as one picture that many parts read.

use dogwoodlb_batch::BatchHeader;
use dogwoodlb_config::Snapshot;
use dogwoodlb_directory::Directory;
use dogwoodlb_types::Instant;
use std::cell::{Cell, Ref, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::watch;

/// The newest weight version of a model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Named {
    pub(crate) version: u64,
    pub(crate) row: u64,
}

/// A value with the version of its row.
#[derive(Clone, Debug)]
pub(crate) struct Stored<T> {
    pub(crate) row: u64,
    pub(crate) value: T,
}

/// What a node knows; written by the part that follows the store, read by all others.
pub(crate) struct Known {
    config: RefCell<Option<Rc<Snapshot>>>,
    pub(crate) versions: RefCell<BTreeMap<String, Named>>,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) heads: RefCell<BTreeMap<String, Stored<BatchHeader>>>,
    /// The node that leads each service with models.
    pub(crate) leaders: RefCell<BTreeMap<String, Stored<String>>>,
    changes: watch::Sender<u64>,
    /// The last time at which the configuration was known to be the newest.
    config_seen: Cell<Option<Instant>>,
}

impl Known {
    pub(crate) fn new() -> Self {
        Self {
            config: RefCell::default(),
            versions: RefCell::default(),
            directory: RefCell::default(),
            heads: RefCell::default(),
            leaders: RefCell::default(),
            changes: watch::Sender::new(0),
            config_seen: Cell::new(None),
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
    pub(crate) fn see_config(&self, now: Instant) {
        self.config_seen.set(Some(now));
    }

    pub(crate) fn config_seen(&self) -> Option<Instant> {
        self.config_seen.get()
    }

    /// Wakes all who wait for a change.
    pub(crate) fn announce(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that sees changes from now on.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the head of a batch.
    pub(crate) fn head(&self, batch: &str) -> Option<Stored<BatchHeader>> {
        self.heads.borrow().get(batch).cloned()
    }

    /// Takes in the head of a batch unless a newer one is known.
    pub(crate) fn put_head(&self, batch: &str, row: u64, head: BatchHeader) {
        let mut heads = self.heads.borrow_mut();
        if heads.get(batch).is_none_or(|known| known.row < row) {
            heads.insert(batch.to_owned(), Stored { row, value: head });
        }
    }

    pub(crate) fn leader(&self, service: &str) -> Option<Stored<String>> {
        self.leaders.borrow().get(service).cloned()
    }

    pub(crate) fn put_leader(&self, service: &str, row: u64, node: &str) {
        let mut leaders = self.leaders.borrow_mut();
        if leaders.get(service).is_none_or(|known| known.row < row) {
            let value = node.to_owned();
            leaders.insert(service.to_owned(), Stored { row, value });
        }
    }

    pub(crate) fn directory(&self) -> Ref<'_, Directory> {
        self.directory.borrow()
    }

    /// Returns the row of the weight version that was named last, of any model.
    pub(crate) fn named_row(&self) -> u64 {
        let versions = self.versions.borrow();
        versions.values().map(|named| named.row).max().unwrap_or(0)
    }

    /// Returns the newest version of a model's weights.
    pub(crate) fn version(&self, model: &str) -> Option<u64> {
        self.versions.borrow().get(model).map(|named| named.version)
    }
}
