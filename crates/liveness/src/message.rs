use crate::Heartbeat;
use serde::{Deserialize, Serialize};

/// The maximum size of an encoded message, which fits into one datagram on usual links.
pub const MAX_MESSAGE_BYTES: usize = 1_200;
/// The maximum number of departures in a message.
pub const MAX_DEPARTURES: usize = 4;

/// A replica that has told the sender of a message that it is leaving.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// The id of the replica.
    pub replica: String,
    /// The start of its process, in Unix milliseconds. It tells incarnations under one id apart.
    pub born_ms: i64,
    /// The time since the sender learned of it, in milliseconds.
    pub age_ms: u64,
}

/// What a node sends to the others: a heartbeat, and the departures that it has learned of lately.
///
/// Nodes of different versions work together while a deployment is updated. The departures follow
/// the heartbeat, whose decoder ignores the bytes after it, and are absent if there are none.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// The state of the sender.
    pub heartbeat: Heartbeat,
    /// The departures that the sender has learned of from responses, at most [`MAX_DEPARTURES`].
    pub departures: Vec<Departure>,
}

impl Message {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// Fails if the serialiser does, which a valid message does not cause.
    pub fn encode(&self) -> postcard::Result<Vec<u8>> {
        let bytes = postcard::to_stdvec(&self.heartbeat)?;
        if self.departures.is_empty() {
            return Ok(bytes);
        }
        postcard::to_extend(&self.departures, bytes)
    }

    /// Decodes a message. If the part after the heartbeat is unreadable or too long, it is ignored:
    /// the heartbeat alone is still valid.
    ///
    /// # Errors
    ///
    /// Fails if the heartbeat is malformed.
    pub fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        let (heartbeat, rest) = postcard::take_from_bytes(bytes)?;
        let departures: Option<Vec<Departure>> = postcard::from_bytes(rest).ok();
        let departures = departures.filter(|departures| departures.len() <= MAX_DEPARTURES);
        Ok(Self {
            heartbeat,
            departures: departures.unwrap_or_default(),
        })
    }
}
