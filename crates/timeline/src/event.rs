use crate::error::Inner;
use crate::record::Record;
use crate::{Error, Result, Stamp};
use dogwoodlb_types::id;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;

const MAX_KIND_BYTES: usize = 64;
const MAX_DETAILS: usize = 16;
/// Bounds the memory of one event; longer values are truncated.
const MAX_VALUE_BYTES: usize = 256;

/// The kind of an event: a short name in snake case.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Kind(Cow<'static, str>);

impl Kind {
    /// Creates a kind from a static name, which is not validated.
    pub const fn new(name: &'static str) -> Self {
        Self(Cow::Borrowed(name))
    }

    /// Returns the name of the kind.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Kind {
    type Error = Error;

    fn try_from(name: String) -> Result<Self> {
        if name.is_empty() || name.len() > MAX_KIND_BYTES {
            return Err(Inner::Malformed { field: "kind" }.into());
        }
        Ok(Self(Cow::Owned(name)))
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// An event on a node, with the entities that it concerns.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "Record", try_from = "Record")]
pub struct Event {
    /// The time of the event on the node's hybrid logical clock.
    pub stamp: Stamp,
    /// The VM on which the event occurred.
    pub vm: id::Vm,
    /// The kind of the event.
    pub kind: Kind,
    /// The id of the request that it concerns.
    pub request: Option<String>,
    /// The sample that it concerns.
    pub sample: Option<id::Sample>,
    /// The trainer that it concerns.
    pub trainer: Option<id::Trainer>,
    /// The lease that it concerns.
    pub lease: Option<id::Lease>,
    /// Further details, at most 16 entries; see [`with`](Event::with).
    pub detail: BTreeMap<String, String>,
}

impl Event {
    /// Creates an event without details.
    pub const fn new(stamp: Stamp, vm: id::Vm, kind: Kind) -> Self {
        Self {
            stamp,
            vm,
            kind,
            request: None,
            sample: None,
            trainer: None,
            lease: None,
            detail: BTreeMap::new(),
        }
    }

    /// Sets the request that the event concerns.
    #[must_use]
    pub fn request(mut self, request: impl Into<String>) -> Self {
        self.request = Some(truncate(request.into()));
        self
    }

    /// Sets the sample that the event concerns, and its trainer.
    #[must_use]
    pub fn sample(mut self, sample: id::Sample) -> Self {
        self.trainer = Some(sample.trainer.clone());
        self.sample = Some(sample);
        self
    }

    /// Sets the trainer that the event concerns.
    #[must_use]
    pub fn trainer(mut self, trainer: id::Trainer) -> Self {
        self.trainer = Some(trainer);
        self
    }

    /// Sets the lease that the event concerns.
    #[must_use]
    pub fn lease(mut self, lease: id::Lease) -> Self {
        self.lease = Some(lease);
        self
    }

    /// Adds a detail. Entries beyond 16 are dropped, and keys and values are truncated to 256
    /// bytes.
    #[must_use]
    pub fn with(mut self, key: &str, value: impl fmt::Display) -> Self {
        if self.detail.len() < MAX_DETAILS || self.detail.contains_key(key) {
            self.detail
                .insert(truncate(key.to_owned()), truncate(value.to_string()));
        }
        self
    }
}

fn truncate(mut text: String) -> String {
    let fits = |&(start, c): &(usize, char)| start + c.len_utf8() <= MAX_VALUE_BYTES;
    if text.len() > MAX_VALUE_BYTES {
        let kept = text.char_indices().take_while(fits).last();
        text.truncate(kept.map_or(0, |(start, c)| start + c.len_utf8()));
    }
    text
}
