//! Watches the tables of the store and applies their changes to the cluster state.

use crate::clock;
use crate::cluster::{ClusterState, NewestVersion};
use crate::departure::{self, Source};
use crate::peers::Peers;
use crate::protocol::{DecodeError, OperatorRow, Protocol};
use crate::storage::{Storage, SHARED};
use dogwoodlb_batch::{BatchHeader, Record as _};
use dogwoodlb_config::Snapshot;
use dogwoodlb_directory::Entry;
use dogwoodlb_duty::Record;
use dogwoodlb_external::store::{KeyRange, Row, WatchResponse};
use dogwoodlb_external::{Category, Error};
use dogwoodlb_mirror::{Mirror, NextRequest};
use dogwoodlb_types::{id, Instant};
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long the store holds a watch request without changes. An empty response counts as a
/// confirmation that the local copy is current, so this bounds the age of an unchanged copy.
const WATCH_TIMEOUT: Duration = Duration::from_millis(500);
/// The minimum delay between two watch requests, so that a burst of changes takes few calls.
const MIN_POLL_DELAY: Duration = Duration::from_millis(15);
/// The maximum rate of watch requests for one continuously changing table, over all nodes. With the
/// minimum delay alone, the load would grow with the number of nodes beyond what a store sustains.
const MAX_POLLS_PER_S: u32 = 1_000;
const MIN_RETRY_DELAY: Duration = Duration::from_millis(60);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The number of consecutive empty responses after which the whole table is read, in case the
/// feed has silently stopped delivering changes.
const EMPTY_POLLS_PER_FULL_READ: u32 = 10;

/// A watched table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Table {
    /// The configuration and weight versions, written by the operator.
    Operator,
    /// The entries of replicas.
    Replicas,
    /// The rows shared by the nodes.
    Shared,
}

/// The local copies of the tables, which other nodes may request.
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

/// Watches the tables of the store.
pub(crate) struct TableWatcher {
    pub(crate) storage: Rc<Storage>,
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) cluster: Rc<ClusterState>,
    pub(crate) mirrors: Rc<Mirrors>,
    pub(crate) peers: Rc<Peers>,
}

impl TableWatcher {
    /// Watches one table until the task is aborted.
    pub(crate) async fn run(self: Rc<Self>, table: Table) {
        let mut retry = MIN_RETRY_DELAY;
        let mut empty_polls = 0;
        loop {
            let was_reachable = self.storage.is_reachable(clock::now());
            match self.poll(table, WATCH_TIMEOUT, &mut empty_polls).await {
                Ok(_) => {
                    retry = MIN_RETRY_DELAY;
                    sleep(self.poll_delay()).await;
                }
                Err(error) => {
                    if was_reachable && !self.storage.is_reachable(clock::now()) {
                        tracing::warn!(%error, "store_lost");
                    }
                    // An entry that disappears while the store rejects requests may have expired
                    // only because its replica could not renew it.
                    self.cluster.directory.borrow_mut().on_failure(clock::now());
                    sleep(retry).await;
                    retry = (retry * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    /// Returns the delay before the next watch request: this node's share of the rate limit of
    /// all nodes. A leader uses the minimum delay, so that it sees changes at once.
    fn poll_delay(&self) -> Duration {
        if self.peers.is_leading() {
            return MIN_POLL_DELAY;
        }
        let nodes = u32::try_from(self.peers.node_count()).unwrap_or(u32::MAX);
        MIN_POLL_DELAY.max(Duration::from_secs(1) * nodes / MAX_POLLS_PER_S)
    }

    /// Applies the changes that the operator's table has in the store by now. The watch may not have
    /// delivered them yet, for instance because its connection is unresponsive.
    pub(crate) async fn refresh_configuration(&self) -> Result<(), Error> {
        while !self.poll(Table::Operator, Duration::ZERO, &mut 0).await? {}
        Ok(())
    }

    /// Sends one request to the store and applies the response. Returns whether the copy of the table
    /// is now as recent as the request. Otherwise the store has further changes, or the whole table
    /// must be read.
    async fn poll(
        &self,
        table: Table,
        wait: Duration,
        empty_polls: &mut u32,
    ) -> Result<bool, Error> {
        let name = self.name(table).to_owned();
        // A response shows the table as it was at some time after the request was sent. It may have
        // been waiting for this node, for instance while the process was suspended.
        let asked_at = clock::now();
        let next = self.mirrors.of(table).borrow().next_request();
        match next {
            NextRequest::Read => {
                let range = KeyRange {
                    table: name,
                    ..KeyRange::default()
                };
                let page = self.storage.read(&range).await?;
                *empty_polls = 0;
                self.confirm(table, asked_at);
                self.apply_snapshot(table, page.rows, page.version);
                Ok(true)
            }
            NextRequest::Watch(after) => {
                let response = self.storage.watch(&name, after, wait).await;
                match response.inspect_err(|error| self.on_watch_error(table, error))? {
                    WatchResponse::Rows(page) => {
                        self.confirm(table, asked_at);
                        *empty_polls = if page.rows.is_empty() {
                            *empty_polls + 1
                        } else {
                            0
                        };
                        let mirror = self.mirrors.of(table);
                        let changed = mirror.borrow_mut().apply(page.rows, page.version);
                        self.apply_rows(table, changed);
                        if *empty_polls >= EMPTY_POLLS_PER_FULL_READ {
                            mirror.borrow_mut().mark_stale();
                        }
                        Ok(!page.more)
                    }
                    WatchResponse::HistoryLost => {
                        tracing::info!(table = name, after, "change_feed_lost");
                        self.mirrors.of(table).borrow_mut().mark_stale();
                        Ok(false)
                    }
                }
            }
        }
    }

    /// Records that the store has shown the table as of a time. A copy from another node confirms
    /// nothing, since that node may have lost the store too.
    fn confirm(&self, table: Table, as_of: Instant) {
        if table == Table::Operator {
            self.cluster.confirm_config(as_of);
        }
    }

    /// Handles a failed watch. One whose response is too large or malformed would fail again, but
    /// the table can be read in pages of a bounded size.
    fn on_watch_error(&self, table: Table, error: &Error) {
        if error.classify() == Category::InvalidResponse {
            tracing::warn!(?table, %error, "change_feed_unreadable");
            self.mirrors.of(table).borrow_mut().mark_stale();
        }
    }

    fn name(&self, table: Table) -> &str {
        match table {
            Table::Operator => self.protocol.operator_table(),
            Table::Replicas => self.protocol.replica_table(),
            Table::Shared => SHARED,
        }
    }

    /// Applies a full copy of a table at a version, from the store or from another node.
    pub(crate) fn apply_snapshot(&self, table: Table, rows: Vec<Row>, version: u64) {
        let mirror = self.mirrors.of(table);
        let changed = mirror.borrow_mut().replace(rows, version);
        self.apply_rows(table, changed);
        if table == Table::Shared {
            self.cluster.remove_absent_rows(&mirror.borrow());
        }
    }

    fn apply_rows(&self, table: Table, rows: Vec<Row>) {
        let now = clock::now();
        match table {
            Table::Replicas => self.cluster.directory.borrow_mut().on_contact(now),
            Table::Operator | Table::Shared => {}
        }
        let as_of = self.mirrors.of(table).borrow().version();
        let has_changed = !rows.is_empty();
        for row in rows {
            match table {
                Table::Operator => self.apply_operator_row(&row),
                Table::Replicas => self.apply_replica_row(&row),
                Table::Shared => self.apply_shared_row(&row, as_of),
            }
        }
        if table == Table::Shared {
            self.cluster.advance_shared_rows(as_of);
        }
        if has_changed {
            self.cluster.notify_changed();
        }
    }

    fn apply_operator_row(&self, row: &Row) {
        if row.removed {
            return;
        }
        match self.protocol.decode_operator_row(&row.key, &row.value) {
            Ok(Some(OperatorRow::Configuration(snapshot))) => {
                log_configuration(&snapshot, row.version);
                self.cluster.set_config(snapshot);
            }
            Ok(Some(OperatorRow::Version { model, version })) => {
                tracing::info!(
                    model,
                    version,
                    row = row.version,
                    "weight_version_announced"
                );
                let newest = NewestVersion {
                    version,
                    row_version: row.version,
                };
                let mut versions = self.cluster.versions.borrow_mut();
                let old = versions.get(&model).map_or(0, |old| old.row_version);
                if row.version > old {
                    versions.insert(model, newest);
                }
            }
            Ok(None) => {}
            Err(error) => {
                tracing::error!(key = row.key, row = row.version, %error, "row_not_decoded")
            }
        }
    }

    fn apply_replica_row(&self, row: &Row) {
        let now = clock::now();
        let mut directory = self.cluster.directory.borrow_mut();
        let replica = row.key.as_str();
        if row.removed {
            if directory.remove(replica, row.version, now) {
                tracing::info!(replica, row = row.version, "replica_removed");
            }
            return;
        }
        match self.decode_replica_row(row) {
            Ok(entry) => {
                let stage = format!("{:?}", entry.stage);
                let (service, address) = (entry.service.clone(), entry.address);
                let born_ms = entry.born_ms;
                let was_ready = directory.accepts_work(replica, born_ms);
                if directory.put(replica, row.version, entry, now) {
                    let row = row.version;
                    tracing::info!(replica, service, %address, stage, row, "replica_updated");
                }
                if was_ready && !directory.accepts_work(replica, born_ms) {
                    departure::record(&self.cluster, replica, &service, Source::Directory);
                }
            }
            Err(error) => {
                // An entry that can't be decoded invalidates the previous entry of the replica.
                directory.invalidate(replica, row.version);
                self.mirrors.replicas.borrow_mut().clear_value(replica);
                tracing::warn!(replica, row = row.version, %error, "replica_entry_not_decoded");
            }
        }
    }

    /// Decodes the entry of a replica. Its key has to be an id that requests can name.
    fn decode_replica_row(&self, row: &Row) -> Result<Entry, DecodeError> {
        if let Err(error) = row.key.parse::<id::Upstream>() {
            return Err(DecodeError::new("id of a replica", error));
        }
        self.protocol.decode_replica_entry(&row.value)
    }

    /// Applies a shared row, as copied at version `as_of` of the table.
    fn apply_shared_row(&self, row: &Row, as_of: u64) {
        let Some((kind, name)) = row.key.split_once('/') else {
            return;
        };
        match (kind, row.removed) {
            ("batch", true) => {
                self.cluster.remove_batch_header(name, row.version);
            }
            ("batch", false) => match BatchHeader::from_slice(&row.value) {
                Ok(header) => self
                    .cluster
                    .put_batch_header(name, row.version, header, as_of),
                Err(error) => tracing::error!(key = row.key, %error, "row_not_decoded"),
            },
            ("leader", true) => {
                tracing::warn!(service = name, row = row.version, "leader_removed");
                self.cluster.remove_leader(name, row.version);
            }
            ("leader", false) => {
                let node = String::from_utf8_lossy(&row.value);
                tracing::info!(service = name, %node, row = row.version, "leader_known");
                self.cluster.put_leader(name, row.version, &node, as_of);
            }
            ("duty", _) => self.apply_duty_row(name, row, as_of),
            ("node", false) => {
                let address = std::str::from_utf8(&row.value).ok();
                match address.and_then(|address| address.parse().ok()) {
                    Some(peer) => self.peers.add_contact(peer),
                    None => tracing::error!(key = row.key, "row_not_decoded"),
                }
            }
            _ => {}
        }
    }

    fn apply_duty_row(&self, duty: &str, row: &Row, as_of: u64) {
        let mut duties = self.cluster.duties.borrow_mut();
        if row.removed {
            tracing::warn!(duty, row = row.version, "duty_removed");
            duties.remove(duty, row.version);
            return;
        }
        match Record::from_slice(&row.value) {
            Ok(record) => {
                duties.put(duty, row.version, record, as_of);
            }
            Err(error) => tracing::error!(key = row.key, %error, "row_not_decoded"),
        }
    }
}

fn log_configuration(snapshot: &Snapshot, row: u64) {
    let organisations = snapshot.organisations();
    let key_count = organisations.map_or(0, |organisations| organisations.key_count());
    let all = organisations.into_iter().flat_map(|all| all.iter());
    let all: Vec<&str> = all.map(|organisation| &*organisation.name).collect();
    tracing::info!(
        version = snapshot.version(),
        row,
        organisations = all.len(),
        keys = key_count,
        "configuration_adopted"
    );
    for name in all {
        if let Err(error) = HeaderValue::from_bytes(name.as_bytes()) {
            // Replicas get its requests without the name.
            tracing::warn!(organisation = ?name, %error, "header_invalid");
        }
    }
}
