use crate::{Error, Record, Result};
use serde::{Deserialize, Serialize};

/// The state of a batch, stored in one row. Every write for the batch is conditional on the
/// version of this row.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BatchHeader {
    /// The node that runs the batch.
    pub owner: String,
    /// A random number that identifies the task that wrote last. A task whose write got no response
    /// compares it with its own. The owner is not sufficient, because a node can own a batch a
    /// second time after another node owned it.
    pub writer_id: u64,
    /// The host that selects the route.
    pub host: String,
    /// The path that selects the route.
    pub path: String,
    /// The service that runs the items.
    pub service: String,
    /// The number of items.
    pub item_count: u32,
    /// The number of parts of the stored body.
    pub part_count: u32,
    /// The number of positions that hold a result.
    pub result_count: u32,
    /// Whether the trainer ended the batch.
    pub ended: bool,
    /// An upper bound of the time of the submission by the monotonic clock of the store, in
    /// milliseconds. Nodes compute the age of a batch from a lower bound of the current time.
    pub submitted_ms: u64,
    /// The organisation that submitted the batch, if any. Only its callers may read or end the
    /// batch. It follows the other fields in the encoded header, see [`BatchHeader::to_vec`].
    #[serde(skip)]
    pub organisation: Option<String>,
}

/// The effect of a write, determined from the header that the writer knows afterwards: the written
/// one after a success, the stored one after a conflict, and the previous one after an error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect.
    Applied,
    /// The header is unchanged; the write can be repeated.
    NotApplied,
    /// The trainer ended the batch.
    Ended,
    /// Another writer has changed the header, or another node owns the batch.
    Superseded,
}

/// The relation of a node to a batch, as far as a header tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ownership {
    /// The batch is open and the node runs it.
    Held,
    /// The batch is not open any more, so that nothing may be done for it.
    Ended,
    /// Another node runs the batch.
    Lost,
}

impl Ownership {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Held => "held",
            Self::Ended => "ended",
            Self::Lost => "lost",
        }
    }
}

impl BatchHeader {
    /// Compares the stored header with its value before a write and with the value written.
    pub fn resolve_write(&self, before: &Self, written: &Self) -> WriteOutcome {
        let is_written =
            self.writer_id == written.writer_id && self.result_count == written.result_count;
        // `ended` is not compared: the end of a batch by the trainer is a result of its own.
        let is_unchanged = self.owner == before.owner
            && self.writer_id == before.writer_id
            && self.result_count == before.result_count;
        match (is_written, is_unchanged) {
            (true, _) => WriteOutcome::Applied,
            (false, false) => WriteOutcome::Superseded,
            (false, true) if self.ended => WriteOutcome::Ended,
            (false, true) => WriteOutcome::NotApplied,
        }
    }

    /// Returns the relation of a node to the batch.
    pub fn ownership(&self, node: &str) -> Ownership {
        match (self.is_open(), self.owner == node) {
            (false, _) => Ownership::Ended,
            (true, true) => Ownership::Held,
            (true, false) => Ownership::Lost,
        }
    }

    /// Returns whether the batch still expects results.
    pub fn is_open(&self) -> bool {
        !self.ended && self.result_count < self.item_count
    }
}

impl Record for BatchHeader {
    const TYPE_NAME: &'static str = "batch header";

    /// Encodes the header. The organisation follows the other fields and is absent if there is
    /// none, so that nodes of the previous version, which ignore the bytes after a header, read it.
    fn to_vec(&self) -> Result<Vec<u8>> {
        let encode = || {
            let bytes = postcard::to_stdvec(self)?;
            match &self.organisation {
                Some(_) => postcard::to_extend(&self.organisation, bytes),
                None => Ok(bytes),
            }
        };
        let type_name = Self::TYPE_NAME;
        encode().map_err(|cause| Error::Encode { type_name, cause })
    }

    /// Decodes a header. An unreadable organisation is an error: without it, any organisation could
    /// read the batch.
    fn from_slice(bytes: &[u8]) -> Result<Self> {
        let decode = || {
            let (header, rest): (Self, _) = postcard::take_from_bytes(bytes)?;
            let organisation = match rest {
                [] => None,
                rest => postcard::from_bytes(rest)?,
            };
            Ok(Self {
                organisation,
                ..header
            })
        };
        let type_name = Self::TYPE_NAME;
        decode().map_err(|cause| Error::Decode { type_name, cause })
    }
}
