use crate::error::Inner;
use crate::{Error, Result};
use dogwoodlb_types::id;
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// The key prefix of the rows of all calls, which the cleanup scans.
pub const ROW_KEY_PREFIX: &str = "call/";

/// The row key of a call, which consists of the caller's name and the idempotency key.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallKey(String);

impl CallKey {
    /// Validates an `Idempotency-Key` and combines it with the caller's name.
    ///
    /// # Errors
    ///
    /// [`Category::InvalidKey`](crate::Category::InvalidKey) if the key is not 1 to 128 visible
    /// ASCII characters without `/`.
    pub fn new(caller: &id::Caller, key: &str) -> Result<Self> {
        let invalid = key.bytes().position(|b| !b.is_ascii_graphic() || b == b'/');
        let offset = match invalid {
            Some(offset) => offset,
            None if key.is_empty() => 0,
            None if key.len() > MAX_IDEMPOTENCY_KEY_BYTES => MAX_IDEMPOTENCY_KEY_BYTES,
            None => return Ok(Self(format!("{ROW_KEY_PREFIX}{caller}/{key}"))),
        };
        Err(Error::from(Inner::Key {
            offset,
            limit: MAX_IDEMPOTENCY_KEY_BYTES,
        }))
    }

    /// Returns the row key as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A digest of a request, which distinguishes a retry from a different request with the same key.
///
/// It is written in the format of an operation id: 128 bits as hexadecimal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct RequestDigest(id::Operation);

impl RequestDigest {
    /// Computes the digest of a request; `path` includes the query.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            // Hashing the length distinguishes `a` + `bc` from `ab` + `c`.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(id::Operation(hash.digest128()))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}
