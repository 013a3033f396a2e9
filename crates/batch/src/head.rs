use crate::Record;
use serde::{Deserialize, Serialize};

/// The row that says how far a batch is; every write about the batch is conditional on it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The node that runs the batch.
    pub owner: String,
    /// The host that selects the route.
    pub host: String,
    /// The path that selects the route.
    pub path: String,
    /// The service that runs the items.
    pub service: String,
    /// The number of items.
    pub items: u32,
    /// The parts of the stored body.
    pub parts: u32,
    /// The positions that hold a result.
    pub listed: u32,
    /// Whether the trainer ended the batch.
    pub ended: bool,
    /// The store's steady clock at the submission, in milliseconds.
    pub submitted_ms: u64,
}

impl Head {
    /// Returns whether results are still to come.
    pub fn is_open(&self) -> bool {
        !self.ended && self.listed < self.items
    }
}

impl Record for Head {
    const WHAT: &'static str = "head of a batch";
}
