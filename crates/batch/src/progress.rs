use crate::Record;
use serde::{Deserialize, Serialize};

/// The maximum size of a text. A longer one is that of a faulty replica.
pub const MAX_TEXT_BYTES: usize = 512 * 1024;

/// The text generated for an item so far.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// The id of the last event, 0 before the first.
    pub last_event: u64,
    /// The data of the events, separated by line feeds.
    pub text: String,
    /// The weight versions that generated the events, in ascending order.
    pub versions: Vec<u64>,
    /// What the last event added. It is not stored or sent to other nodes.
    #[serde(skip)]
    last_added: Option<Added>,
}

/// What an event added to a text.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Added {
    /// The length of the text before the event.
    text_bytes_before: usize,
    /// The weight version of the event, if no earlier event has it.
    version: Option<u64>,
}

impl Progress {
    /// Appends an event. Returns `false`, and changes nothing, if it is not the next in sequence.
    pub fn push(&mut self, event: u64, data: &str, version: u64) -> bool {
        if event != self.last_event + 1 {
            return false;
        }
        let text_bytes_before = self.text.len();
        if self.last_event > 0 {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.last_event = event;
        let known = self.versions.binary_search(&version);
        if let Err(index) = known {
            self.versions.insert(index, version);
        }
        self.last_added = Some(Added {
            text_bytes_before,
            version: known.is_err().then_some(version),
        });
        true
    }

    /// Removes the last event, so that the next run generates it again. If this node did not receive
    /// that event itself, its length is not known, and all events are removed.
    pub fn pop(&mut self) {
        let Some(added) = self.last_added.take() else {
            *self = Self::default();
            return;
        };
        self.text.truncate(added.text_bytes_before);
        self.versions
            .retain(|version| Some(*version) != added.version);
        self.last_event -= 1;
    }

    /// Returns whether the text can become a result of a batch: it meets the version constraints and
    /// has at most [`MAX_TEXT_BYTES`].
    pub fn satisfies(&self, min_version: u64, single_version: bool) -> bool {
        let is_recent = self
            .versions
            .first()
            .is_none_or(|first| *first >= min_version);
        let is_single = !single_version || self.versions.len() < 2;
        is_recent && is_single && !self.is_too_long()
    }

    /// Returns whether the text exceeds [`MAX_TEXT_BYTES`].
    pub fn is_too_long(&self) -> bool {
        self.text.len() > MAX_TEXT_BYTES
    }
}

/// The text of an item without an outcome, as nodes exchange and store it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemText {
    /// The id of the batch.
    pub batch: String,
    /// The index of the item in the submission.
    pub index: u32,
    /// Whether generation has finished.
    pub is_complete: bool,
    /// The text so far.
    pub progress: Progress,
}

impl Record for ItemText {
    const TYPE_NAME: &'static str = "text";
}
