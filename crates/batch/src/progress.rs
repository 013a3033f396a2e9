use crate::Record;
use serde::{Deserialize, Serialize};

/// What has been generated of an item.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// The id of the last event, 0 before the first.
    pub last_event: u64,
    /// The data of the events, separated by line feeds.
    pub text: String,
    /// The weight versions that generated the events, ascending.
    pub versions: Vec<u64>,
}

impl Progress {
    /// Appends an event; returns whether it was the next one.
    pub fn push(&mut self, event: u64, data: &str, version: u64) -> bool {
        if event != self.last_event + 1 {
            return false;
        }
        if self.last_event > 0 {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.last_event = event;
        if let Err(place) = self.versions.binary_search(&version) {
            self.versions.insert(place, version);
        }
        true
    }

    /// Returns whether a batch with these bounds may use the text.
    pub fn satisfies(&self, min_version: u64, single_version: bool) -> bool {
        let fresh = self
            .versions
            .first()
            .is_none_or(|first| *first >= min_version);
        fresh && (!single_version || self.versions.len() < 2)
    }
}

/// What one node tells another about an unfinished item.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemText {
    /// The batch.
    pub batch: String,
    /// The index of the item.
    pub index: u32,
    /// Whether the text has its end.
    pub is_complete: bool,
    /// The text so far.
    pub progress: Progress,
}

impl Record for ItemText {
    const WHAT: &'static str = "text";
}
