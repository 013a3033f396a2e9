use crate::row::to_json;
use crate::Result;
use dogwoodlb_types::{Code, Refusal};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// The largest number of samples in a step; see docs/design.md, section 1.4.
pub const MAX_SAMPLES: usize = 1_024;

/// Samples that share a prompt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// The prompt.
    pub prompt: String,
    /// The number of samples.
    pub size: u32,
}

/// What a trainer asks for with a step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Content {
    /// The groups.
    pub groups: Vec<Group>,
    /// The limit of tokens for each sample.
    pub max_tokens: u32,
}

impl Content {
    /// Reads the content back from the object that [`Ledger::submit`](crate::Ledger::submit)
    /// told to write.
    ///
    /// # Errors
    ///
    /// Fails if the object is malformed.
    pub fn from_slice(object: &[u8]) -> Result<Self> {
        serde_json::from_slice(object).map_err(|error| crate::error::Inner::from(error).into())
    }

    pub(crate) fn to_object(&self) -> Vec<u8> {
        to_json(self).into_bytes()
    }

    pub(crate) fn sizes(&self) -> Vec<u32> {
        self.groups.iter().map(|group| group.size).collect()
    }

    pub(crate) fn check(&self) -> std::result::Result<(), Refusal> {
        let samples: u64 = self.groups.iter().map(|group| u64::from(group.size)).sum();
        if samples > MAX_SAMPLES as u64 {
            let message = format!("a step has at most {MAX_SAMPLES} samples, not {samples}");
            return Err(Refusal::not_run(Code::TooLarge, message));
        }
        if self.groups.is_empty() || self.groups.iter().any(|group| group.size == 0) {
            let message = "a step needs groups of at least one sample";
            return Err(Refusal::not_run(Code::BadRequest, message));
        }
        Ok(())
    }
}

/// Returns the digest that tells a repeated submission from a contradicting one.
pub(crate) fn digest(object: &[u8]) -> String {
    format!("{:032x}", xxh3_128(object))
}

/// Reads the bodies of a batch from its object, in the order of their positions.
///
/// # Errors
///
/// Fails if the object is malformed.
pub fn decode_bodies(object: &[u8]) -> Result<Vec<String>> {
    serde_json::from_slice(object).map_err(|error| crate::error::Inner::from(error).into())
}
