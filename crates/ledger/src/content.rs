use crate::row::to_json;
use crate::Result;
use dogwoodlb_types::{Code, Refusal};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// The maximum number of samples in a step; see docs/design.md, section 1.4.
pub const MAX_SAMPLES: usize = 1_024;

/// A group of samples generated from one prompt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// The prompt.
    pub prompt: String,
    /// The number of samples to generate.
    pub size: u32,
}

/// The content of a step that a trainer submits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Content {
    /// The sample groups.
    pub groups: Vec<Group>,
    /// The maximum number of tokens per sample.
    pub max_tokens: u32,
}

impl Content {
    /// Decodes the content from an object returned by [`Ledger::submit`](crate::Ledger::submit).
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

    pub(crate) fn group_sizes(&self) -> Vec<u32> {
        self.groups.iter().map(|group| group.size).collect()
    }

    pub(crate) fn check(&self) -> std::result::Result<(), Refusal> {
        let sample_count: u64 = self.groups.iter().map(|group| u64::from(group.size)).sum();
        if sample_count > MAX_SAMPLES as u64 {
            let message = format!("step has {sample_count} samples, the maximum is {MAX_SAMPLES}");
            return Err(Refusal::not_run(Code::TooLarge, message));
        }
        if self.groups.is_empty() || self.groups.iter().any(|group| group.size == 0) {
            let message = "step must have at least one group, and each group at least one sample";
            return Err(Refusal::not_run(Code::BadRequest, message));
        }
        Ok(())
    }
}

/// Returns the digest that distinguishes a repeated submission from one with other content.
pub(crate) fn digest(object: &[u8]) -> String {
    format!("{:032x}", xxh3_128(object))
}

/// Decodes the sample bodies of a batch object; [`Sample::position`](crate::Sample::position)
/// is the index into the result.
///
/// # Errors
///
/// Fails if the object is malformed.
pub fn decode_bodies(object: &[u8]) -> Result<Vec<String>> {
    serde_json::from_slice(object).map_err(|error| crate::error::Inner::from(error).into())
}
