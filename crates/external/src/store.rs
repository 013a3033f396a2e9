//! The platform's metadata store: rows in tables, with transactions and a change feed.
//!
//! Its calls are futures for single-threaded programs, while [`Table`](crate::Table) is the
//! blocking interface for multi-threaded ones.

mod clock;

pub use clock::{Clock, Jump};

use crate::Result;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// The future of a call; it is not `Send`.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + 'a>>;

/// A row returned by a read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Row {
    /// The table.
    pub table: String,
    /// The key.
    pub key: String,
    /// The value; empty if it can't be read.
    pub value: Vec<u8>,
    /// The number of the transaction that last wrote or removed the row; 0 if it never existed.
    pub version: u64,
    /// Whether the row was removed.
    pub removed: bool,
}

/// A transaction: all writes are applied if all checks hold, otherwise none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Txn {
    /// Tables, keys and required versions of rows; 0 means that the row must not exist.
    pub checks: Vec<(String, String, u64)>,
    /// Tables, keys and values of the rows to write.
    pub puts: Vec<(String, String, Vec<u8>)>,
    /// Tables and keys of the rows to remove.
    pub removals: Vec<(String, String)>,
}

impl Txn {
    /// Requires that a row has a version, 0 meaning that it doesn't exist.
    #[must_use]
    pub fn check(mut self, table: &str, key: &str, version: u64) -> Self {
        self.checks
            .push((table.to_owned(), key.to_owned(), version));
        self
    }

    /// Writes a row.
    #[must_use]
    pub fn put(mut self, table: &str, key: &str, value: Vec<u8>) -> Self {
        self.puts.push((table.to_owned(), key.to_owned(), value));
        self
    }

    /// Removes a row.
    #[must_use]
    pub fn remove(mut self, table: &str, key: &str) -> Self {
        self.removals.push((table.to_owned(), key.to_owned()));
        self
    }
}

/// The outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The writes were applied.
    Done {
        /// The number of the transaction, which is the version of the written rows.
        version: u64,
        /// The time of the store's clock, in milliseconds.
        now_ms: u64,
    },
    /// A check failed and nothing was written.
    Conflict {
        /// The current state of the checked rows.
        rows: Vec<Row>,
        /// The newest version of the store.
        version: u64,
    },
}

/// A range of rows of one table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyRange {
    /// The table.
    pub table: String,
    /// The first key of the range.
    pub from: String,
    /// The exclusive upper bound; empty for an unbounded range.
    pub to: String,
}

/// A consistent snapshot of rows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// The rows, in key order.
    pub rows: Vec<Row>,
    /// Whether the range has further rows.
    pub more: bool,
    /// The newest version of the store.
    pub version: u64,
    /// The time of the store's clock, in milliseconds.
    pub now_ms: u64,
}

/// The response to a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchResponse {
    /// The changed rows, in order; empty if the wait timed out.
    Rows(Page),
    /// The history since the requested version is no longer available; all rows must be read again.
    HistoryLost,
}

/// The metadata store.
pub trait MetadataStore {
    /// Commits a transaction.
    fn commit<'a>(&'a self, txn: &'a Txn) -> StoreFuture<'a, Outcome>;

    /// Reads the rows of a range.
    fn read<'a>(&'a self, range: &'a KeyRange) -> StoreFuture<'a, Page>;

    /// Waits up to `wait` for changes of a table after version `after`.
    fn watch<'a>(
        &'a self,
        table: &'a str,
        after: u64,
        wait: Duration,
    ) -> StoreFuture<'a, WatchResponse>;
}
