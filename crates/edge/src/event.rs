//! Server-sent events of a replica.

use hyper::header::HeaderName;
use std::ops::Range;

/// An event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Event {
    pub(crate) id: u64,
    pub(crate) data: String,
    /// The weight version that generated the event.
    pub(crate) version: u64,
}

/// The stream contains lines that belong neither to a comment nor to an event with an id, such as
/// an error text that a replica appends to a stream that it can't continue.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the stream contains lines without an event id")]
pub(crate) struct Malformed;

/// An incremental decoder.
///
/// Every event has an id, so that a missing one is noticed. Skipping an event whose id can't be read
/// would go unnoticed if it is the last one.
#[derive(Debug)]
pub(crate) struct Decoder {
    /// The received bytes, of which those before `position` were returned as events.
    buffer: Vec<u8>,
    position: usize,
    /// The number of bytes after `position` that were searched for the end of an event.
    searched: usize,
    /// The number of bytes since the last event, comments included.
    bytes_since_event: usize,
    version_field: HeaderName,
    version: u64,
}

impl Decoder {
    /// Creates a decoder. Events are from `version` until one of them names another in
    /// `version_field`.
    pub(crate) fn new(version_field: HeaderName, version: u64) -> Self {
        Self {
            buffer: Vec::new(),
            position: 0,
            searched: 0,
            bytes_since_event: 0,
            version_field,
            version,
        }
    }

    /// Adds received bytes.
    pub(crate) fn push(&mut self, data: &[u8]) {
        self.buffer.drain(..self.position);
        self.position = 0;
        self.buffer.extend_from_slice(data);
        self.bytes_since_event += data.len();
    }

    /// Returns the number of bytes that do not form a complete event yet.
    pub(crate) fn pending_bytes(&self) -> usize {
        self.buffer.len() - self.position
    }

    /// Returns the number of bytes since the last event, also those of comments.
    pub(crate) fn bytes_since_event(&self) -> usize {
        self.bytes_since_event
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    pub(crate) fn next_event(&mut self) -> Result<Option<Event>, Malformed> {
        while let Some(range) = self.next_block() {
            let block = String::from_utf8_lossy(&self.buffer[range]).into_owned();
            let is_comment = |line: &str| line.is_empty() || line.starts_with(':');
            if !block.lines().all(is_comment) {
                self.bytes_since_event = self.pending_bytes();
                return self.parse(&block).ok_or(Malformed).map(Some);
            }
        }
        Ok(None)
    }

    /// Moves past the next block that ends with a blank line, and returns where it is.
    fn next_block(&mut self) -> Option<Range<usize>> {
        let pending = &self.buffer[self.position..];
        let mut pairs = pending[self.searched..].windows(2);
        let Some(end) = pairs.position(|pair| pair == b"\n\n") else {
            // The last byte may be the first of a pair.
            self.searched = pending.len().saturating_sub(1);
            return None;
        };
        let start = self.position;
        self.position += self.searched + end + 2;
        self.searched = 0;
        Some(start..self.position)
    }

    fn parse(&mut self, block: &str) -> Option<Event> {
        let mut id = None;
        let mut data: Option<String> = None;
        for line in block.lines() {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match name {
                "id" => id = value.parse().ok(),
                "data" => match &mut data {
                    Some(data) => {
                        data.push('\n');
                        data.push_str(value);
                    }
                    None => data = Some(value.to_owned()),
                },
                name if name == self.version_field.as_str() => {
                    self.version = value.trim().parse().unwrap_or(self.version);
                }
                _ => {}
            }
        }
        Some(Event {
            id: id?,
            data: data.unwrap_or_default(),
            version: self.version,
        })
    }
}
