use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long after the writing of its claim a node may send the order.
pub const ORDER_WINDOW: Duration = Duration::from_millis(900);

/// The row that says who ordered last at a replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The node that may order.
    pub node: String,
    /// The store's clock when the claim was sent, in milliseconds, rather too late than too
    /// early.
    pub at_ms: u64,
}

/// Another node may still be ordering.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Error {
    /// How long it may still take.
    pub wait: Duration,
}

impl Claim {
    /// Checks whether a node may write a claim of its own at `now_ms` of the store's clock.
    ///
    /// # Errors
    ///
    /// [`Error`] while the window of another node, and the lease time after it, is not over.
    pub fn check_available(&self, node: &str, now_ms: u64, lease: Duration) -> Result<(), Error> {
        if self.node == node {
            return Ok(());
        }
        let closed = ORDER_WINDOW + lease;
        let since = Duration::from_millis(now_ms.saturating_sub(self.at_ms));
        match closed.checked_sub(since) {
            Some(wait) if !wait.is_zero() => Err(Error { wait }),
            _ => Ok(()),
        }
    }

    /// Encodes the claim for the store.
    ///
    /// # Errors
    ///
    /// The codec's error if it refuses.
    pub fn to_vec(&self) -> postcard::Result<Vec<u8>> {
        postcard::to_stdvec(self)
    }

    /// Decodes a stored claim.
    ///
    /// # Errors
    ///
    /// The codec's error if the bytes are not a claim.
    pub fn from_slice(bytes: &[u8]) -> postcard::Result<Self> {
        postcard::from_bytes(bytes)
    }
}
