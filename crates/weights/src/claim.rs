use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The time after the write of its claim within which a node may send the order.
pub const ORDER_WINDOW: Duration = Duration::from_millis(900);

/// The stored right of a node to order a load on a replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The node that may send the order.
    pub node: String,
    /// An upper bound on the time of the store's clock at which the claim was sent, in
    /// milliseconds.
    pub at_ms: u64,
}

/// The claim of another node is still in effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimHeld {
    /// The time until the claim expires.
    pub wait: Duration,
}

impl Claim {
    /// Checks whether a node may write its own claim at `now_ms` of the store's clock.
    ///
    /// # Errors
    ///
    /// [`ClaimHeld`] until the order window of the other node, and the lease of an order that it sent
    /// at the end of the window, have passed.
    pub fn check_available(
        &self,
        node: &str,
        now_ms: u64,
        lease: Duration,
    ) -> Result<(), ClaimHeld> {
        if self.node == node {
            return Ok(());
        }
        let reserved = ORDER_WINDOW + lease;
        let since = Duration::from_millis(now_ms.saturating_sub(self.at_ms));
        match reserved.checked_sub(since) {
            Some(wait) if !wait.is_zero() => Err(ClaimHeld { wait }),
            _ => Ok(()),
        }
    }

    /// Encodes the claim for the store.
    ///
    /// # Errors
    ///
    /// The error of the codec if it fails.
    pub fn to_vec(&self) -> postcard::Result<Vec<u8>> {
        postcard::to_stdvec(self)
    }

    /// Decodes a stored claim.
    ///
    /// # Errors
    ///
    /// The error of the codec if the bytes are not a valid encoding of a claim.
    pub fn from_slice(bytes: &[u8]) -> postcard::Result<Self> {
        postcard::from_bytes(bytes)
    }
}
