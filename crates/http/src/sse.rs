//! Server-sent events.

use crate::error::Inner;
use crate::{Error, Result};
use std::io::{BufRead, BufReader, Read};

/// The data of the final event of a complete stream.
pub const DONE: &str = "[DONE]";

/// Encodes an event; `data` must be a single line.
pub fn encode_event(data: &str) -> Vec<u8> {
    format!("data: {data}\n\n").into_bytes()
}

/// Reads the data of server-sent events as they arrive.
///
/// # Examples
///
/// ```
/// use dogwoodlb_http::sse::EventReader;
///
/// let mut events = EventReader::new(&b"data: one\n\n: comment\ndata: two\n\n"[..], 1024);
/// assert_eq!(events.next_event()?.as_deref(), Some("one"));
/// assert_eq!(events.next_event()?.as_deref(), Some("two"));
/// assert_eq!(events.next_event()?, None);
/// # Ok::<(), dogwoodlb_http::Error>(())
/// ```
#[derive(Debug)]
pub struct EventReader<R> {
    reader: BufReader<R>,
    max_event_bytes: usize,
    events_read: usize,
}

impl<R: Read> EventReader<R> {
    /// Creates a reader that fails on events larger than `max_event_bytes`.
    pub fn new(reader: R, max_event_bytes: usize) -> Self {
        Self {
            reader: BufReader::new(reader),
            max_event_bytes,
            events_read: 0,
        }
    }

    /// Returns the next event's data, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// [`Category::Io`](crate::Category::Io) if reading fails, and
    /// [`Category::Malformed`](crate::Category::Malformed) if an event is too large or not
    /// UTF-8.
    pub fn next_event(&mut self) -> Result<Option<String>> {
        let mut data = String::new();
        loop {
            let remaining_bytes = self.max_event_bytes.saturating_sub(data.len());
            let Some(line) = self.read_line(remaining_bytes)? else {
                // The standard requires an event without a terminating blank line to be discarded.
                return Ok(None);
            };
            if line.is_empty() && !data.is_empty() {
                self.events_read += 1;
                data.pop();
                return Ok(Some(data));
            }
            if let Some(text) = line.strip_prefix("data:") {
                data.push_str(text.strip_prefix(' ').unwrap_or(text));
                data.push('\n');
            }
        }
    }

    /// Reads a line of at most `limit` bytes, the rest of the event's limit; returns `None` at the end
    /// of the stream.
    fn read_line(&mut self, limit: usize) -> Result<Option<String>> {
        let mut line = Vec::new();
        let mut limited = self.reader.by_ref().take(limit as u64 + 1);
        limited.read_until(b'\n', &mut line).map_err(Inner::Io)?;
        if line.len() > limit {
            return Err(Error::from(Inner::EventTooLarge {
                event: self.events_read,
                limit: self.max_event_bytes,
            }));
        }
        if line.pop() != Some(b'\n') {
            return Ok(None);
        }
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        let line = String::from_utf8(line);
        line.map(Some).map_err(|_| {
            Error::from(Inner::Encoding {
                event: self.events_read,
            })
        })
    }
}
