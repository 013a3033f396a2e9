use crate::Record;
use serde::{Deserialize, Serialize};

/// A batch as its trainer submitted it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submission {
    /// The id, which identifies repeated submissions.
    pub id: String,
    /// The host that selects the route.
    pub host: String,
    /// The path that selects the route.
    pub path: String,
    /// The model that generates the items.
    pub model: String,
    /// The training step.
    pub step: u64,
    /// The oldest weight version that may generate the items.
    pub min_version: u64,
    /// The number of complete groups that the trainer needs.
    pub target_groups: u32,
    /// The items; those of groups carried over from an earlier batch come first.
    pub items: Vec<Item>,
}

/// One sample to generate.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    /// The id, which the engine echoes in its response.
    pub id: String,
    /// The path of the request to the engine.
    pub path: String,
    /// The headers of the request to the engine.
    pub headers: Vec<(String, String)>,
    /// The body of the request to the engine.
    pub body: Vec<u8>,
    /// The number of prompt tokens.
    pub prompt_tokens: u64,
    /// The expected number of output tokens.
    pub expected_tokens: u64,
    /// The group of items that share a prompt.
    pub group: String,
    /// The request that scores the finished text, if any.
    pub scorer: Option<Scorer>,
}

/// The request that scores a finished text.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Scorer {
    /// The id of the request.
    pub id: String,
    /// The host that selects its route.
    pub host: String,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Record for Submission {
    const TYPE_NAME: &'static str = "submission";
}
