use crate::Record;
use serde::{Deserialize, Serialize};

/// The result of an item, stored at its position in the list of results.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// The index of the item in the submission.
    pub index: u32,
    /// The id of the item.
    pub item: String,
    /// How the item ended.
    pub state: OutcomeState,
    /// The data of all events, separated by line feeds.
    pub text: String,
    /// The weight versions that generated the events, in ascending order.
    pub versions: Vec<u64>,
    /// The signature returned by the scorer.
    pub score: Option<String>,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum OutcomeState {
    /// The text is complete and scored.
    #[default]
    Complete,
    /// The item failed or was not completed in time, and has no text.
    Abandoned,
}

impl Record for Outcome {
    const TYPE_NAME: &'static str = "outcome";
}
