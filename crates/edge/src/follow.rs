//! Follows the tables of the store and keeps what the node knows up to date.

use crate::clock;
use crate::known::{Known, Named};
use crate::peers::Peers;
use crate::protocol::{OperatorRow, Protocol};
use crate::storage::{Storage, SHARED};
use dogwoodlb_batch::{BatchHeader, Record};
use dogwoodlb_external::store::{Change, Range, Row};
use dogwoodlb_mirror::{Mirror, Next};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long the store holds a question for changes; it bounds the age of a silent feed.
const WATCH_WAIT: Duration = Duration::from_millis(500);
/// The pause after an answer, so that a burst of changes costs few calls.
const PAUSE: Duration = Duration::from_millis(15);
/// The calls a second that all nodes together may make for one table while it changes all the
/// time; with the short pause alone the calls would grow with the nodes past what a store takes.
const CALLS_PER_S: u32 = 1_000;
const FIRST_RETRY: Duration = Duration::from_millis(60);
const LAST_RETRY: Duration = Duration::from_millis(200);
/// The number of quiet answers after which a table is read whole, in case the feed is deaf.
const READ_EVERY: u32 = 10;

/// One followed table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Table {
    /// What the operator wrote.
    Operator,
    /// The entries of replicas.
    Replicas,
    /// The rows that the nodes share.
    Shared,
}

/// The copies of the tables, which other nodes may ask for.
#[derive(Default)]
pub(crate) struct Mirrors {
    operator: RefCell<Mirror>,
    replicas: RefCell<Mirror>,
    shared: RefCell<Mirror>,
}

impl Mirrors {
    pub(crate) fn of(&self, table: Table) -> &RefCell<Mirror> {
        match table {
            Table::Operator => &self.operator,
            Table::Replicas => &self.replicas,
            Table::Shared => &self.shared,
        }
    }
}

/// Follows the tables.
pub(crate) struct Follower {
    pub(crate) storage: Rc<Storage>,
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) known: Rc<Known>,
    pub(crate) mirrors: Rc<Mirrors>,
    pub(crate) peers: Rc<Peers>,
}

impl Follower {
    /// Follows one table for ever.
    pub(crate) async fn run(self: Rc<Self>, table: Table) {
        let mut retry = FIRST_RETRY;
        let mut quiet = 0;
        loop {
            let reached = self.storage.is_reached(clock::now());
            match self.step(table, &mut quiet).await {
                Ok(()) => {
                    retry = FIRST_RETRY;
                    sleep(self.pause()).await;
                }
                Err(error) => {
                    if reached && !self.storage.is_reached(clock::now()) {
                        tracing::warn!(%error, "store_lost");
                    }
                    // What the store said while it refuses can't be told from a lapse.
                    self.known.directory.borrow_mut().on_refusal(clock::now());
                    sleep(retry).await;
                    retry = (retry * 2).min(LAST_RETRY);
                }
            }
        }
    }

    /// Returns the pause after an answer: the share of this node in the calls of all, but a
    /// leader sees changes at once.
    fn pause(&self) -> Duration {
        if self.peers.has_duty() {
            return PAUSE;
        }
        let nodes = u32::try_from(self.peers.count()).unwrap_or(u32::MAX);
        PAUSE.max(Duration::from_secs(1) * nodes / CALLS_PER_S)
    }

    async fn step(&self, table: Table, quiet: &mut u32) -> Result<(), dogwoodlb_external::Error> {
        let name = self.name(table).to_owned();
        let next = self.mirrors.of(table).borrow().next();
        match next {
            Next::Read => {
                let range = Range {
                    table: name,
                    ..Range::default()
                };
                let page = self.storage.read(&range).await?;
                *quiet = 0;
                self.on_whole(table, page.rows, page.version);
            }
            Next::Watch(after) => match self.storage.watch(&name, after, WATCH_WAIT).await? {
                Change::Rows(page) => {
                    *quiet = if page.rows.is_empty() { *quiet + 1 } else { 0 };
                    let mirror = self.mirrors.of(table);
                    let changed = mirror.borrow_mut().apply(page.rows, page.version);
                    self.on_rows(table, changed);
                    if *quiet >= READ_EVERY {
                        mirror.borrow_mut().mark_stale();
                    }
                }
                Change::Lost => {
                    tracing::info!(table = name, after, "feed_lost");
                    self.mirrors.of(table).borrow_mut().mark_stale();
                }
            },
        }
        Ok(())
    }

    fn name(&self, table: Table) -> &str {
        match table {
            Table::Operator => self.protocol.operator_table(),
            Table::Replicas => self.protocol.replica_table(),
            Table::Shared => SHARED,
        }
    }

    /// Takes in all rows of a table as of a version, from the store or from another node.
    pub(crate) fn on_whole(&self, table: Table, rows: Vec<Row>, version: u64) {
        let changed = self.mirrors.of(table).borrow_mut().replace(rows, version);
        self.on_rows(table, changed);
    }

    fn on_rows(&self, table: Table, rows: Vec<Row>) {
        let now = clock::now();
        match table {
            Table::Operator => self.known.see_config(now),
            Table::Replicas => self.known.directory.borrow_mut().on_contact(now),
            Table::Shared => {}
        }
        if rows.is_empty() {
            return;
        }
        for row in rows {
            match table {
                Table::Operator => self.on_directive(&row),
                Table::Replicas => self.on_entry(&row),
                Table::Shared => self.on_shared(&row),
            }
        }
        self.known.announce();
    }

    fn on_directive(&self, row: &Row) {
        if row.removed {
            return;
        }
        match self.protocol.decode_operator_row(&row.key, &row.value) {
            Ok(Some(OperatorRow::Configuration(snapshot))) => {
                let version = snapshot.version();
                tracing::info!(version, row = row.version, "configuration_adopted");
                self.known.set_config(snapshot);
            }
            Ok(Some(OperatorRow::Version { model, version })) => {
                tracing::info!(model, version, row = row.version, "version_named");
                let named = Named {
                    version,
                    row: row.version,
                };
                let mut versions = self.known.versions.borrow_mut();
                let old = versions.get(&model).map_or(0, |old| old.row);
                if row.version > old {
                    versions.insert(model, named);
                }
            }
            Ok(None) => {}
            Err(error) => tracing::error!(key = row.key, row = row.version, %error, "row_refused"),
        }
    }

    fn on_entry(&self, row: &Row) {
        let now = clock::now();
        let mut directory = self.known.directory.borrow_mut();
        let replica = row.key.as_str();
        if row.removed {
            if directory.remove(replica, row.version, now) {
                tracing::info!(replica, row = row.version, "replica_gone");
            }
            return;
        }
        match self.protocol.decode_replica_entry(&row.value) {
            Ok(entry) => {
                let stage = format!("{:?}", entry.stage);
                let (service, address) = (entry.service.clone(), entry.address);
                if directory.put(replica, row.version, entry, now) {
                    let row = row.version;
                    tracing::info!(replica, service, %address, stage, row, "replica_entry");
                }
            }
            Err(error) => {
                // An entry that names no replica takes its earlier one out of use.
                directory.remove(replica, row.version, now);
                tracing::warn!(replica, row = row.version, %error, "entry_refused");
            }
        }
    }

    fn on_shared(&self, row: &Row) {
        let Some((kind, name)) = row.key.split_once('/') else {
            return;
        };
        match (kind, row.removed) {
            ("batch", true) => {
                self.known.heads.borrow_mut().remove(name);
            }
            ("batch", false) => match BatchHeader::from_slice(&row.value) {
                Ok(head) => self.known.put_head(name, row.version, head),
                Err(error) => tracing::error!(key = row.key, %error, "row_refused"),
            },
            ("leader", false) => {
                let node = String::from_utf8_lossy(&row.value);
                tracing::info!(service = name, %node, row = row.version, "leader_known");
                self.known.put_leader(name, row.version, &node);
            }
            ("node", false) => {
                let address = std::str::from_utf8(&row.value).ok();
                match address.and_then(|address| address.parse().ok()) {
                    Some(peer) => self.peers.add_contact(peer),
                    None => tracing::error!(key = row.key, "row_refused"),
                }
            }
            _ => {}
        }
    }
}
