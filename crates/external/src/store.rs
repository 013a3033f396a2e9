//! The platform's metadata store: rows in tables, with transactions and a feed of changes.
//!
//! Unlike [`Table`](crate::Table), which serves the blocking parts, its calls are futures for
//! programs of one thread.

use crate::Result;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// A call that is under way.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + 'a>>;

/// A row as it was read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Row {
    /// The table.
    pub table: String,
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The transaction that wrote or removed the row last; 0 if there was never a row.
    pub version: u64,
    /// Whether the row was removed.
    pub removed: bool,
}

/// A transaction: all writes happen if all checks hold, else none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Txn {
    /// Tables, keys and the versions that the rows must have; 0 means that there is no row.
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

/// The answer to a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The writes happened, in the transaction of this number.
    Done {
        /// The version that the written rows have.
        version: u64,
        /// The store's clock in milliseconds.
        now_ms: u64,
    },
    /// A check failed, and nothing happened.
    Conflict {
        /// The rows that were checked, as they are.
        rows: Vec<Row>,
    },
}

/// A range of rows of one table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyRange {
    /// The table.
    pub table: String,
    /// The first key.
    pub from: String,
    /// The key after the last one; empty for no bound.
    pub to: String,
}

/// Rows as of one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// The rows, by key.
    pub rows: Vec<Row>,
    /// Whether the range has more rows.
    pub more: bool,
    /// The newest version of the store.
    pub version: u64,
    /// The store's clock in milliseconds.
    pub now_ms: u64,
}

/// The answer to a question for changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchResponse {
    /// The rows that changed, in order; none if the wait ended.
    Rows(Page),
    /// The history after the version is gone; all rows have to be read.
    HistoryLost,
}

/// The metadata store.
pub trait MetadataStore {
    /// Carries out a transaction.
    fn commit<'a>(&'a self, txn: &'a Txn) -> StoreFuture<'a, Outcome>;

    /// Reads a range.
    fn read<'a>(&'a self, range: &'a KeyRange) -> StoreFuture<'a, Page>;

    /// Waits for changes of a table after a version.
    fn watch<'a>(
        &'a self,
        table: &'a str,
        after: u64,
        wait: Duration,
    ) -> StoreFuture<'a, WatchResponse>;
}
