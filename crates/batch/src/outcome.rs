use crate::{Error, Result};
use serde::{Deserialize, Serialize};

/// The result of an item, as it is listed at its position.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// The index of the item in the submission.
    pub index: u32,
    /// The id of the item.
    pub item: String,
    /// How it ended.
    pub state: State,
    /// The data of all events in order, separated by line feeds.
    pub text: String,
    /// All weight versions that generated an event, ascending.
    pub versions: Vec<u64>,
    /// The scorer's signature.
    pub score: Option<String>,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// The text is whole and scored.
    #[default]
    Complete,
    /// The item was given up.
    Abandoned,
}

impl Outcome {
    /// Encodes the outcome for the store.
    ///
    /// # Errors
    ///
    /// [`Error::Encode`] if the codec refuses.
    pub fn to_vec(&self) -> Result<Vec<u8>> {
        let what = "outcome";
        postcard::to_stdvec(self).map_err(|cause| Error::Encode { what, cause })
    }

    /// Decodes a stored outcome.
    ///
    /// # Errors
    ///
    /// [`Error::Decode`] if the bytes are not an outcome.
    pub fn from_slice(bytes: &[u8]) -> Result<Self> {
        let what = "outcome";
        postcard::from_bytes(bytes).map_err(|cause| Error::Decode { what, cause })
    }
}
