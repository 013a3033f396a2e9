//! Access to the metadata store: reachability, clock, tables and keys.

use crate::clock;
use dogwoodlb_duty::Moment;
use dogwoodlb_external::store::{Clock, KeyRange, Outcome, Page, Row, Txn, WatchResponse};
use dogwoodlb_external::{Category, Error, MetadataStore};
use dogwoodlb_types::Instant;
use dogwoodlb_weights::StoreTime;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// The rows that all nodes watch: headers of batches, leaders, claims and registrations.
pub(crate) const SHARED: &str = "dogwoodlb";
/// The parts of submissions.
pub(crate) const BODIES: &str = "dogwoodlb-body";
/// The outcomes of items by position.
pub(crate) const OUTCOMES: &str = "dogwoodlb-outcome";
/// The texts of unfinished items, stored by checkpoints and at handover.
pub(crate) const TEXTS: &str = "dogwoodlb-text";

/// The counts of requests by reporting window and node, and the decided usage reports.
pub(crate) const USAGE: &str = "dogwoodlb-usage";

/// The maximum number of rows in a transaction, with a margin for rows that the caller adds.
pub(crate) const MAX_TXN_ROWS: usize = 90;
/// The maximum number of bytes in a transaction before encoding.
pub(crate) const MAX_TXN_BYTES: usize = 600_000;
/// The store counts as unreachable after this long without a response.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1_100);
/// A store whose fastest response took at most this long is in the same region.
const SAME_REGION_LATENCY: Duration = Duration::from_millis(14);

/// Returns the key of a batch's header.
pub(crate) fn header_key(batch: &str) -> String {
    format!("batch/{batch}")
}

/// Returns the key of the row that names the leader of a service.
pub(crate) fn leader_key(service: &str) -> String {
    format!("leader/{service}")
}

/// Returns the key of the row that holds the claim to send orders to a replica.
pub(crate) fn claim_key(replica: &str) -> String {
    format!("claim/{replica}")
}

/// Returns the key of a duty's row.
pub(crate) fn duty_key(duty: &str) -> String {
    format!("duty/{duty}")
}

/// Returns the key of the decided report of a window.
pub(crate) fn report_key(window: u64) -> String {
    format!("report/{window}")
}

/// Returns the start of the keys of the counts of a window.
pub(crate) fn tally_prefix(window: u64) -> String {
    format!("{window}/")
}

/// Returns the key of the counts of a window by one process of a node.
pub(crate) fn tally_key(window: u64, node: &str, boot: u64) -> String {
    format!("{window}/{node}/{boot}")
}

/// Returns the key of a node's registration.
pub(crate) fn node_key(node: &str) -> String {
    format!("node/{node}")
}

/// Returns the key of a numbered row of a batch.
pub(crate) fn numbered_key(batch: &str, number: u32) -> String {
    format!("{batch}/{number:06}")
}

/// The metadata store, with the state of the connection to it.
pub(crate) struct Storage {
    store: Rc<dyn MetadataStore>,
    last_contact: Cell<Option<Instant>>,
    /// Since when the store has been reachable without interruption.
    reachable_since: Cell<Option<Instant>>,
    clock: RefCell<Clock>,
    min_latency: Cell<Duration>,
    pub(crate) calls: Cell<u64>,
    pub(crate) failures: Cell<u64>,
}

impl Storage {
    pub(crate) fn new(store: Rc<dyn MetadataStore>) -> Self {
        Self {
            store,
            last_contact: Cell::new(None),
            reachable_since: Cell::new(None),
            clock: RefCell::default(),
            min_latency: Cell::new(Duration::MAX),
            calls: Cell::new(0),
            failures: Cell::new(0),
        }
    }

    /// Returns whether the store has responded recently.
    pub(crate) fn is_reachable(&self, now: Instant) -> bool {
        let last_contact = self.last_contact.get();
        last_contact.is_some_and(|at| now.saturating_since(at) < UNREACHABLE_AFTER)
    }

    /// Returns the time since the last successful call, also while the store is reachable, or zero
    /// if no call has succeeded yet.
    pub(crate) fn unreachable_for(&self, now: Instant) -> Duration {
        let last_contact = self.last_contact.get();
        last_contact.map_or(Duration::ZERO, |at| now.saturating_since(at))
    }

    /// Returns how long the store has been reachable without interruption.
    pub(crate) fn reachable_for(&self, now: Instant) -> Duration {
        let since = self
            .reachable_since
            .get()
            .filter(|_| self.is_reachable(now));
        since.map_or(Duration::ZERO, |since| now.saturating_since(since))
    }

    /// Returns whether the store is in the same region.
    pub(crate) fn is_same_region(&self) -> bool {
        self.min_latency.get() <= SAME_REGION_LATENCY
    }

    /// Returns a lower bound of the store's current time.
    pub(crate) fn earliest_time_ms(&self) -> Option<u64> {
        self.clock.borrow().earliest_ms(clock::now())
    }

    /// Returns an upper bound of the store's current time.
    pub(crate) fn latest_time_ms(&self) -> Option<u64> {
        self.clock.borrow().latest_ms(clock::now())
    }

    /// Returns the time by which claims of other nodes expire.
    pub(crate) fn claim_time(&self) -> Option<StoreTime> {
        let now = clock::now();
        let clock = self.clock.borrow();
        Some(StoreTime {
            earliest_ms: clock.earliest_ms(now)?,
            steady_for: clock.steady_for(now),
            max_jump: clock.max_jump(),
        })
    }

    /// Returns the time by the clocks on which a duty's claim depends, or `None` before the first
    /// reading of the store's clock.
    pub(crate) fn moment(&self) -> Option<Moment> {
        Some(Moment {
            local: clock::now(),
            store: self.claim_time()?,
            store_latest_ms: self.latest_time_ms()?,
        })
    }

    /// Commits a transaction.
    pub(crate) async fn commit(&self, txn: &Txn) -> Result<Outcome, Error> {
        let sent = clock::now();
        let outcome = self.store.commit(txn).await;
        let now_ms = match &outcome {
            Ok(Outcome::Done { now_ms, .. }) => Some(*now_ms),
            _ => None,
        };
        self.record_call(sent, outcome, now_ms)
    }

    /// Reads all pages of a range.
    pub(crate) async fn read(&self, range: &KeyRange) -> Result<Page, Error> {
        let mut result = Page::default();
        let mut range = range.clone();
        loop {
            let sent = clock::now();
            let page = self.store.read(&range).await;
            let now_ms = page.as_ref().ok().map(|page| page.now_ms);
            let page = self.record_call(sent, page, now_ms)?;
            let first = result.version == 0;
            // Keep the version of the first page: rows that change between two pages are reported
            // again as changes after it.
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
        Ok(self.get_as_of(table, key).await?.0)
    }

    /// Reads one row, and returns the version of the store as of which it was read.
    pub(crate) async fn get_as_of(
        &self,
        table: &str,
        key: &str,
    ) -> Result<(Option<Row>, u64), Error> {
        let range = KeyRange {
            table: table.to_owned(),
            from: key.to_owned(),
            to: format!("{key}\0"),
        };
        let page = self.read(&range).await?;
        Ok((page.rows.into_iter().next(), page.version))
    }

    /// Reads the rows whose keys begin with a prefix that ends with a slash.
    pub(crate) async fn list(&self, table: &str, prefix: &str) -> Result<Vec<Row>, Error> {
        let range = KeyRange {
            table: table.to_owned(),
            from: prefix.to_owned(),
            // `0` is the successor of `/` in ASCII.
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
    ) -> Result<WatchResponse, Error> {
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
            let jump = self.clock.borrow_mut().record(sent, now, store_ms);
            if let Some(jump) = jump {
                tracing::warn!(ahead_ms = jump.ahead_ms, "store_clock_jumped");
            }
        }
        outcome
    }
}

/// Returns whether a failed transaction was certainly not applied and will not be applied later.
pub(crate) fn is_not_applied(error: &Error) -> bool {
    matches!(error.classify(), Category::NotSent | Category::Refused)
}
