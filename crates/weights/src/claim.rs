use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The time after the write of its claim within which a node may send the order.
pub const ORDER_WINDOW: Duration = Duration::from_millis(900);

/// The stored right of a node to order a load on a replica.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Claim {
    /// The node that may send the order.
    pub node: String,
    /// An upper bound on the time of the store's clock at which the claim was sent, in
    /// milliseconds.
    pub at_ms: u64,
}

/// What a node knows of the store's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreTime {
    /// A lower bound on the current time of the store's clock, in milliseconds.
    pub earliest_ms: u64,
    /// For how long the node has seen the clock run steadily, by its own clock.
    pub steady_for: Duration,
    /// The time by which the clock may have jumped ahead before that.
    pub max_jump: Duration,
}

/// The claim of another node is still in effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimHeld {
    /// The time until the claim expires.
    pub wait: Duration,
}

impl Claim {
    /// Checks whether a node may write its own claim at a time of the store's clock.
    ///
    /// A claim seems to be older than it is if the store's clock has jumped ahead since its write.
    /// Only that part of its age counts which no jump can explain.
    ///
    /// # Errors
    ///
    /// [`ClaimHeld`] until the order window of the other node, and the lease of an order that it sent
    /// at the end of the window, have passed.
    pub fn check_available(
        &self,
        node: &str,
        now: StoreTime,
        lease: Duration,
    ) -> Result<(), ClaimHeld> {
        if self.node == node {
            return Ok(());
        }
        let reserved = ORDER_WINDOW + lease;
        let age = Duration::from_millis(now.earliest_ms.saturating_sub(self.at_ms));
        let steady_age = age.min(now.steady_for);
        let certain_age = steady_age.max(age.saturating_sub(now.max_jump));
        let wait = reserved.saturating_sub(certain_age);
        if wait.is_zero() {
            Ok(())
        } else {
            Err(ClaimHeld { wait })
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
