//! The object store.

use crate::Result;
use std::time::Duration;

/// The object store.
///
/// Each name is written with one content only: the writer includes its operation id in the name,
/// so a retried [`put`](ObjectStore::put) writes the same bytes.
pub trait ObjectStore: Send + Sync {
    /// Stores an object.
    ///
    /// # Errors
    ///
    /// Fails if the store is unreachable or doesn't respond within `timeout`. The object may
    /// have been stored nevertheless.
    fn put(&self, name: &str, body: &[u8], timeout: Duration) -> Result<()>;

    /// Reads an object; returns `None` if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails if the store is unreachable or doesn't respond within `timeout`.
    fn get(&self, name: &str, timeout: Duration) -> Result<Option<Vec<u8>>>;
}
