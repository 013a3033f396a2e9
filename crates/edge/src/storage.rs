//! The node's way to the metadata store: contact, clock, tables and keys.

use crate::clock;
use dogwoodlb_external::store::{Change, Outcome, Page, Range, Row, Txn};
use dogwoodlb_external::{Category, Error, Store};
use dogwoodlb_types::Instant;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Rows that all nodes follow: heads of batches, leaders, claims of orders.
pub(crate) const SHARED: &str = "dogwoodlb";
/// The parts of submissions.
pub(crate) const BODIES: &str = "dogwoodlb-body";
/// The outcomes of items, by position.
pub(crate) const OUTCOMES: &str = "dogwoodlb-outcome";
/// Texts of unfinished items, left by a node that gave up a batch.
pub(crate) const TEXTS: &str = "dogwoodlb-text";

/// The rows of one transaction, less a few that callers add.
pub(crate) const TXN_ROWS: usize = 90;
/// The bytes of one transaction before their encoding.
pub(crate) const TXN_BYTES: usize = 600_000;
/// The node counts as cut off after this long without an answer.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1_100);
/// A store that answers within this time stands in the same region.
const SAME_REGION_LATENCY: Duration = Duration::from_millis(14);

/// The key of a batch's head.
pub(crate) fn head_key(batch: &str) -> String {
    format!("batch/{batch}")
}

/// The key of the row that names the leader of a service.
pub(crate) fn leader_key(service: &str) -> String {
    format!("leader/{service}")
}

/// The key of the row that says who orders at a replica.
pub(crate) fn claim_key(replica: &str) -> String {
    format!("claim/{replica}")
}

/// The key of a node's registration.
pub(crate) fn node_key(node: &str) -> String {
    format!("node/{node}")
}

/// The key of a numbered row of a batch.
pub(crate) fn numbered_key(batch: &str, number: u32) -> String {
    format!("{batch}/{number:06}")
}

/// The store as the node uses it.
pub(crate) struct Storage {
    store: Rc<dyn Store>,
    last_contact: Cell<Option<Instant>>,
    /// Since when the store has answered without a gap.
    reachable_since: Cell<Option<Instant>>,
    /// The store's clock minus the node's, at the least and at the most.
    clock_offset: Cell<Option<(i64, i64)>>,
    min_latency: Cell<Duration>,
    pub(crate) calls: Cell<u64>,
    pub(crate) failures: Cell<u64>,
}

impl Storage {
    pub(crate) fn new(store: Rc<dyn Store>) -> Self {
        Self {
            store,
            last_contact: Cell::new(None),
            reachable_since: Cell::new(None),
            clock_offset: Cell::new(None),
            min_latency: Cell::new(Duration::MAX),
            calls: Cell::new(0),
            failures: Cell::new(0),
        }
    }

    /// Returns whether the store has answered lately.
    pub(crate) fn is_reachable(&self, now: Instant) -> bool {
        let last_contact = self.last_contact.get();
        last_contact.is_some_and(|at| now.saturating_since(at) < UNREACHABLE_AFTER)
    }

    /// Returns how long the store has not answered.
    pub(crate) fn unreachable_for(&self, now: Instant) -> Duration {
        let last_contact = self.last_contact.get();
        last_contact.map_or(Duration::ZERO, |at| now.saturating_since(at))
    }

    /// Returns how long the store has answered without a gap.
    pub(crate) fn reachable_for(&self, now: Instant) -> Duration {
        let since = self
            .reachable_since
            .get()
            .filter(|_| self.is_reachable(now));
        since.map_or(Duration::ZERO, |since| now.saturating_since(since))
    }

    /// Returns whether the store stands in the same region.
    pub(crate) fn is_same_region(&self) -> bool {
        self.min_latency.get() <= SAME_REGION_LATENCY
    }

    /// Returns the store's clock, rather too early than too late.
    pub(crate) fn earliest_time_ms(&self) -> Option<u64> {
        let (least, _) = self.clock_offset.get()?;
        u64::try_from(millis(clock::now()) + least).ok()
    }

    /// Returns the store's clock, rather too late than too early.
    pub(crate) fn latest_time_ms(&self) -> Option<u64> {
        let (_, most) = self.clock_offset.get()?;
        u64::try_from(millis(clock::now()) + most).ok()
    }

    /// Carries out a transaction.
    pub(crate) async fn commit(&self, txn: &Txn) -> Result<Outcome, Error> {
        let sent = clock::now();
        let outcome = self.store.commit(txn).await;
        let now_ms = match &outcome {
            Ok(Outcome::Done { now_ms, .. }) => Some(*now_ms),
            _ => None,
        };
        self.record_call(sent, outcome, now_ms)
    }

    /// Reads all rows of a range.
    pub(crate) async fn read(&self, range: &Range) -> Result<Page, Error> {
        let mut result = Page::default();
        let mut range = range.clone();
        loop {
            let sent = clock::now();
            let page = self.store.read(&range).await;
            let now_ms = page.as_ref().ok().map(|page| page.now_ms);
            let page = self.record_call(sent, page, now_ms)?;
            let first = result.version == 0;
            // Rows that change between two pages come again with the changes after the first.
            result.version = if first { page.version } else { result.version };
            result.now_ms = page.now_ms;
            let last = page.rows.last().map(|row| row.key.clone());
            result.rows.extend(page.rows);
            match last {
                Some(last) if page.more => range.from = format!("{last}\0"),
                _ => return Ok(result),
            }
        }
    }

    /// Reads one row.
    pub(crate) async fn get(&self, table: &str, key: &str) -> Result<Option<Row>, Error> {
        let range = Range {
            table: table.to_owned(),
            from: key.to_owned(),
            to: format!("{key}\0"),
        };
        let page = self.read(&range).await?;
        Ok(page.rows.into_iter().next())
    }

    /// Reads the rows whose keys begin with a prefix that ends with a slash.
    pub(crate) async fn list(&self, table: &str, prefix: &str) -> Result<Vec<Row>, Error> {
        let range = Range {
            table: table.to_owned(),
            from: prefix.to_owned(),
            // `0` follows the slash in ASCII.
            to: format!("{}0", prefix.trim_end_matches('/')),
        };
        Ok(self.read(&range).await?.rows)
    }

    /// Waits for changes of a table.
    pub(crate) async fn watch(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Change, Error> {
        let change = self.store.watch(table, after, wait).await;
        self.record_call(clock::now(), change, None)
    }

    fn record_call<T>(
        &self,
        sent: Instant,
        outcome: Result<T, Error>,
        now_ms: Option<u64>,
    ) -> Result<T, Error> {
        let now = clock::now();
        self.calls.set(self.calls.get() + 1);
        if outcome.is_err() {
            self.failures.set(self.failures.get() + 1);
            return outcome;
        }
        if !self.is_reachable(now) {
            let away = self.last_contact.get().map(|at| now.saturating_since(at));
            tracing::info!(away_ms = away.map(|away| away.as_millis()), "store_reached");
            self.reachable_since.set(Some(now));
        }
        self.last_contact.set(Some(now));
        if let Some(store_ms) = now_ms {
            self.min_latency
                .set(self.min_latency.get().min(now.saturating_since(sent)));
            // The store read its clock between the sending and the answer.
            let store_ms = i64::try_from(store_ms).unwrap_or_default();
            let least = store_ms - millis(now);
            let most = store_ms - millis(sent);
            let (old_least, old_most) = self.clock_offset.get().unwrap_or((least, most));
            // Narrows the bounds, unless the node's own clock jumped.
            let bounds = (least.max(old_least), most.min(old_most));
            let is_sound = bounds.0 <= bounds.1 + 1;
            self.clock_offset
                .set(Some(if is_sound { bounds } else { (least, most) }));
        }
        outcome
    }
}

fn millis(instant: Instant) -> i64 {
    i64::try_from(instant.as_millis()).unwrap_or(i64::MAX)
}

/// Returns whether a failed transaction certainly did not happen and will not happen.
pub(crate) fn is_not_applied(error: &Error) -> bool {
    matches!(error.classify(), Category::NotSent | Category::Refused)
}
