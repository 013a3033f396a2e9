use crate::Record;
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

impl Record for Outcome {
    const WHAT: &'static str = "outcome";
}
