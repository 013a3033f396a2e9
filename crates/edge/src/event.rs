//! Server-sent events of a replica.

use hyper::header::HeaderName;

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
    /// The received bytes that do not form a complete event yet.
    buffer: Vec<u8>,
    version_field: HeaderName,
    version: u64,
}

impl Decoder {
    /// Creates a decoder. Events are from `version` until one of them names another in
    /// `version_field`.
    pub(crate) fn new(version_field: HeaderName, version: u64) -> Self {
        Self {
            buffer: Vec::new(),
            version_field,
            version,
        }
    }

    /// Adds received bytes.
    pub(crate) fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Returns the number of bytes that do not form a complete event yet.
    pub(crate) fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    pub(crate) fn next_event(&mut self) -> Result<Option<Event>, Malformed> {
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let block: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let block = String::from_utf8_lossy(&block);
            let is_comment = |line: &str| line.is_empty() || line.starts_with(':');
            if !block.lines().all(is_comment) {
                return self.parse(&block).ok_or(Malformed).map(Some);
            }
        }
        Ok(None)
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
