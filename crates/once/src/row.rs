use crate::error::Inner;
use crate::{Error, RequestDigest, Result};
use dogwoodlb_external::service::Reply;
use dogwoodlb_types::{id, Timestamp};
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::time::Duration;

/// The time for which a key is valid; a later use of the key is a new request.
pub const KEY_TTL: Duration = Duration::from_secs(24 * 60 * 60);

/// The maximum size of a reply body that is stored for replay. The table is meant for small rows.
/// A larger reply is returned to the first caller but not stored, so a retry is refused as "may
/// have run".
pub const MAX_STORED_REPLY_BYTES: usize = 64 * 1_024;

/// The row of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Row {
    /// The operation that last wrote the row.
    pub(crate) operation: id::Operation,
    pub(crate) digest: RequestDigest,
    pub(crate) created_ms: Timestamp,
    #[serde(flatten)]
    pub(crate) state: State,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub(crate) enum State {
    /// The operation may dispatch the call or has dispatched it.
    Started,
    /// The operation did not reach the upstream; another operation may claim the key.
    Open,
    /// The upstream replied; `answer` is absent if the reply is too large to store.
    Done { answer: Option<StoredReply> },
    /// The upstream may have executed the call.
    Unknown,
}

/// A stored reply. The body is stored as text, or as hexadecimal if it is not valid UTF-8.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct StoredReply {
    status: u16,
    content_type: Option<String>,
    #[serde(flatten)]
    body: Body,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Body {
    Hex(String),
    Text(String),
}

impl State {
    pub(crate) fn done(reply: &Reply) -> Self {
        let fits = reply.body.len() <= MAX_STORED_REPLY_BYTES;
        Self::Done {
            answer: fits.then(|| StoredReply::from(reply)),
        }
    }
}

impl Row {
    pub(crate) fn from_str(value: &str) -> Result<Self> {
        Ok(serde_json::from_str(value)?)
    }

    /// Serialises the row as JSON.
    ///
    /// Serialising strings and numbers cannot fail. An empty value would be read as a malformed
    /// row, on which no call is dispatched.
    pub(crate) fn to_value(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl From<&Reply> for StoredReply {
    fn from(reply: &Reply) -> Self {
        let body = match std::str::from_utf8(&reply.body) {
            Ok(text) => Body::Text(text.to_owned()),
            Err(_) => Body::Hex(to_hex(&reply.body)),
        };
        Self {
            status: reply.status,
            content_type: reply.content_type.clone(),
            body,
        }
    }
}

impl TryFrom<StoredReply> for Reply {
    type Error = Error;

    fn try_from(stored: StoredReply) -> Result<Self> {
        Ok(Self {
            status: stored.status,
            content_type: stored.content_type,
            body: match stored.body {
                Body::Text(text) => text.into_bytes(),
                Body::Hex(hex) => from_hex(&hex)?,
            },
        })
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut hex, byte| {
        // Writing to a `String` cannot fail.
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}

fn from_hex(hex: &str) -> Result<Vec<u8>> {
    let pairs = hex.as_bytes().chunks(2).enumerate();
    let bytes = pairs.map(|(index, pair)| {
        let digit = |index: usize| char::from(*pair.get(index)?).to_digit(16);
        let byte = digit(0).zip(digit(1));
        let byte = byte.and_then(|(high, low)| u8::try_from(high * 16 + low).ok());
        byte.ok_or_else(|| Error::from(Inner::Body { offset: index * 2 }))
    });
    bytes.collect()
}

/// Returns whether the key of a stored row has expired, so that the cleanup may delete the row.
///
/// # Errors
///
/// [`Category::MalformedRow`](crate::Category::MalformedRow) if the row is malformed.
pub fn is_expired(value: &str, now: Timestamp) -> Result<bool> {
    let row = Row::from_str(value)?;
    Ok(now > row.created_ms + KEY_TTL)
}
