//! The rows of the table that store the manifest.
//!
//! `manifest/<n>` contains the text of revision n and is immutable; `manifest/current` names the
//! revision in force. Both contain the operation that wrote them, so that a committing node that
//! lost the response recognises its own write.

use dogwoodlb_external::table::{Row, Txn};
use dogwoodlb_types::id;
use serde::{Deserialize, Serialize};

/// The key of the row that names the revision in force.
pub const CURRENT: &str = "manifest/current";

/// Returns the key of the row that holds the text of a revision.
pub fn key(revision: id::Revision) -> String {
    format!("manifest/{revision}")
}

/// The value of the row [`CURRENT`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pointer {
    /// The revision in force.
    pub revision: id::Revision,
    /// The operation that committed it.
    pub operation: id::Operation,
    /// The operator who committed it.
    pub operator: id::Operator,
}

/// The value of the row of one revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The revision.
    pub revision: id::Revision,
    /// The operation that committed it.
    pub operation: id::Operation,
    /// The operator who committed it.
    pub operator: id::Operator,
    /// The document as sent by the operator, including comments.
    pub text: String,
}

impl Pointer {
    /// Decodes the value of a row; `None` if it is malformed.
    pub fn from_row(row: &Row) -> Option<Self> {
        serde_json::from_str(&row.value).ok()
    }
}

impl Record {
    /// Decodes the value of a row; `None` if it is malformed.
    pub fn from_row(row: &Row) -> Option<Self> {
        serde_json::from_str(&row.value).ok()
    }

    /// Returns a transaction that commits the record on condition that `manifest/current` has
    /// version `row_version`.
    pub fn commit(&self, row_version: u64) -> Txn {
        let pointer = Pointer {
            revision: self.revision,
            operation: self.operation,
            operator: self.operator.clone(),
        };
        // Serialization cannot fail: both values are plain data with string keys.
        let write = |value: serde_json::Result<String>| value.unwrap_or_default();
        Txn::new()
            .check(CURRENT, row_version)
            .absent(key(self.revision))
            .put(key(self.revision), write(serde_json::to_string(self)))
            .put(CURRENT, write(serde_json::to_string(&pointer)))
    }
}
