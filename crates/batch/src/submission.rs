use crate::Record;
use serde::{Deserialize, Serialize};

/// A batch as its trainer submitted it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submission {
    /// The id, under which a repeated submission is recognised.
    pub id: String,
    /// The host that selects the route.
    pub host: String,
    /// The path that selects the route.
    pub path: String,
    /// The model that generates the items.
    pub model: String,
    /// The trainer's step.
    pub step: u64,
    /// The oldest weight version that may generate.
    pub min_version: u64,
    /// The complete groups that the trainer waits for.
    pub target_groups: u32,
    /// The items, those of groups carried over from an earlier batch first.
    pub items: Vec<Item>,
}

/// One sample to generate.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    /// The id, which the engine echoes.
    pub id: String,
    /// The path at the engine.
    pub path: String,
    /// The headers for the engine.
    pub headers: Vec<(String, String)>,
    /// The body for the engine.
    pub body: Vec<u8>,
    /// The prompt tokens.
    pub prompt_tokens: u64,
    /// The expected output tokens.
    pub expected_tokens: u64,
    /// The group of items that share a prompt.
    pub group: String,
    /// How the finished text is scored.
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
    const WHAT: &'static str = "submission";
}
