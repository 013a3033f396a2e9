use dogwoodlb_types::id;
use serde::{Deserialize, Serialize};

/// A manifest that a node is about to commit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Proposal {
    /// The operation of the commit.
    pub operation: id::Operation,
    /// The operator who commits.
    pub operator: id::Operator,
    /// The revision that the proposal replaces.
    pub base: id::Revision,
    /// The version of the row `manifest/current` on which the write is conditional.
    pub row_version: u64,
    /// The proposed document.
    pub text: String,
}

/// The answer of a node to a [`Proposal`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The node will not confirm the base revision to any node until the table shows the outcome.
    Promised,
    /// The row on which the write is conditional has already changed.
    Stale {
        /// The newest revision that the node knows.
        revision: id::Revision,
    },
    /// The node already has the maximum number of proposals without an outcome.
    Busy,
    /// The node has not read the table since its start.
    Unready,
    /// The node considers the document invalid, so the two nodes run different program versions.
    Invalid,
}

/// The state of a node's manifest, sent to other nodes in the answer to a ping.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The revision that the node holds, 0 for none.
    pub revision: id::Revision,
    /// The operation that committed this revision.
    pub operation: Option<id::Operation>,
    /// The proposals that the node has promised and whose outcome it does not know.
    pub pending: Vec<id::Operation>,
    /// Whether no promise from before a restart of the node can still be open.
    pub settled: bool,
}
