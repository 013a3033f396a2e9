//! The transactional table service.

use crate::Result;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A row returned by a read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The number of the transaction that wrote the row; never 0.
    pub version: u64,
    /// The value; dogwoodlb stores JSON text.
    pub value: String,
}

/// A precondition of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Check {
    /// The key of the row.
    pub key: String,
    /// The version that the row must have; 0 means that it must not exist.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Put {
    /// The key of the row.
    pub key: String,
    /// The new value.
    pub value: String,
}

/// A transaction: all writes are applied if all checks hold, otherwise none.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Txn {
    /// The preconditions.
    pub checks: Vec<Check>,
    /// The rows to write.
    pub puts: Vec<Put>,
    /// The keys to delete.
    #[serde(default)]
    pub deletes: Vec<String>,
}

impl Txn {
    /// Creates an empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requires that a row doesn't exist.
    #[must_use]
    pub fn absent(self, key: impl Into<String>) -> Self {
        self.check(key, 0)
    }

    /// Requires that a row has a version, 0 meaning that it doesn't exist.
    #[must_use]
    pub fn check(mut self, key: impl Into<String>, version: u64) -> Self {
        self.checks.push(Check {
            key: key.into(),
            version,
        });
        self
    }

    /// Writes a row.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: impl Into<String>) -> Self {
        self.puts.push(Put {
            key: key.into(),
            value: value.into(),
        });
        self
    }

    /// Deletes a row.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.deletes.push(key.into());
        self
    }
}

/// The outcome of a transaction, as reported by the table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All writes were applied.
    Applied {
        /// The number of the transaction, which is the version of the written rows.
        version: u64,
    },
    /// A check failed and nothing was written.
    Conflict {
        /// The key of the row whose check failed.
        key: String,
        /// The actual version, 0 if the row doesn't exist.
        found: u64,
    },
}

/// The table service.
///
/// A failed [`commit`](Table::commit) of category [`Ambiguous`](crate::Category::Ambiguous)
/// may have taken effect, or may still take effect later. Read the rows back before a retry.
pub trait Table: Send + Sync {
    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Fails if the service is unreachable or doesn't respond within `timeout`.
    fn read(&self, key: &str, timeout: Duration) -> Result<Option<Row>>;

    /// Reads all rows whose keys start with a prefix, in key order.
    ///
    /// # Errors
    ///
    /// Fails if the service is unreachable or doesn't respond within `timeout`.
    fn scan(&self, prefix: &str, timeout: Duration) -> Result<Vec<Row>>;

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Fails if the service is unreachable or doesn't respond within `timeout`.
    fn commit(&self, txn: &Txn, timeout: Duration) -> Result<Outcome>;
}
