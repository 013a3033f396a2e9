//! The object store.

use crate::Result;
use std::time::Duration;

/// The object store.
///
/// Names are written once: whoever stores an object puts its operation id into the name, so a
/// repeated [`put`](ObjectStore::put) writes the same bytes.
pub trait ObjectStore: Send + Sync {
    /// Stores an object.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached or doesn't answer in time; the object may exist.
    fn put(&self, name: &str, body: &[u8], timeout: Duration) -> Result<()>;

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached or doesn't answer in time.
    fn get(&self, name: &str, timeout: Duration) -> Result<Option<Vec<u8>>>;
}
