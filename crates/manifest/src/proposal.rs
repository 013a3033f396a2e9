use dogwoodlb_types::id;
use serde::{Deserialize, Serialize};

/// A manifest that a committing node is about to write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Proposal {
    /// The operation of the commit.
    pub operation: id::Operation,
    /// The operator who commits.
    pub operator: id::Operator,
    /// The revision that the proposal replaces.
    pub base: id::Revision,
    /// The version of the row `manifest/current` that the write depends on.
    pub row_version: u64,
    /// The proposed text.
    pub text: String,
}

/// What a node answers to a [`Proposal`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The node confirms the base revision to nobody until the table shows the outcome.
    Promised,
    /// The row that the write depends on has changed already.
    Stale {
        /// The newest revision that the node knows.
        revision: id::Revision,
    },
    /// The node knows of too many proposals without an outcome.
    Busy,
    /// The node has not read the table since its start.
    Unready,
    /// The text has faults; the programs of the two nodes differ.
    Invalid,
}

/// What a node tells other nodes about its manifest, in the answer to a ping.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The revision that the node holds, 0 for none.
    pub revision: id::Revision,
    /// The operation that committed this revision.
    pub operation: Option<id::Operation>,
    /// The proposals without a known outcome that the node has answered.
    pub pending: Vec<id::Operation>,
    /// Whether no promise that the node gave before a restart can be open.
    pub settled: bool,
}
