//! Detection of response bodies that have stalled.

use std::time::Duration;
use tokio::time::Instant;

/// The maximum number of bytes between two events. A sender that sends more is faulty.
const MAX_EVENT_BYTES: usize = 512 * 1024;

/// What counts as progress of a streamed body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// Any data. Only the deadline ends such a body.
    Data,
    /// A complete server-sent event with a field `id` or `data`. Single bytes and comments are
    /// none, so that a sender can't keep a stream open with them.
    Event {
        /// The longest time between two events.
        max_gap: Duration,
    },
}

/// Decides how long a streamed body may keep its receiver waiting.
///
/// Only time spent waiting for the sender counts as a gap, because a receiver that reads slowly
/// must not make a sound stream look stalled.
///
/// # Examples
///
/// ```
/// use dogwoodlb_client::{Progress, ProgressMonitor};
/// use std::time::Duration;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let (second, max_gap) = (Duration::from_secs(1), Duration::from_secs(2));
/// let mut monitor = ProgressMonitor::new(Progress::Event { max_gap }, None);
/// monitor.on_data(b"id: 1\nda", second);
/// assert_eq!(monitor.wait_limit(now), Some(second), "the event is not complete");
/// monitor.on_data(b"ta: a\n\n", Duration::ZERO);
/// assert_eq!(monitor.wait_limit(now), Some(max_gap));
/// ```
#[derive(Clone, Debug)]
pub struct ProgressMonitor {
    progress: Progress,
    deadline: Option<Instant>,
    /// The time spent waiting since the last progress.
    waited: Duration,
    /// The number of bytes since the last progress.
    bytes_since_event: usize,
    event: EventScan,
}

/// What is known of the event that is being received.
#[derive(Clone, Copy, Debug, Default)]
struct EventScan {
    /// The first bytes of the current line, at most as many as a field name has.
    line: [u8; 5],
    line_length: usize,
    has_field: bool,
    /// Whether a line other than a comment has followed the last blank line.
    is_open: bool,
    /// Whether the stream has had an event, or needs none.
    has_event: bool,
}

impl EventScan {
    /// Returns whether the byte completes an event.
    fn push(&mut self, byte: u8) -> bool {
        if byte == b'\r' {
            return false;
        }
        if byte != b'\n' {
            if let Some(slot) = self.line.get_mut(self.line_length) {
                *slot = byte;
            }
            self.line_length += 1;
            return false;
        }
        let is_blank = self.line_length == 0;
        let is_event = is_blank && self.has_field;
        self.has_event |= is_event;
        self.has_field = !is_blank && (self.has_field || self.is_field());
        self.is_open = !is_blank && (self.is_open || self.line[0] != b':');
        self.line_length = 0;
        is_event
    }

    /// Returns whether the last event is complete.
    fn is_at_boundary(&self) -> bool {
        self.has_event && !self.is_open && self.line_length == 0
    }

    fn is_field(&self) -> bool {
        let start = &self.line[..self.line_length.min(self.line.len())];
        start == b"data" || start == b"data:" || start.starts_with(b"id:")
    }
}

impl ProgressMonitor {
    /// Creates a monitor of a body that has to end by the deadline, if there is one.
    pub fn new(progress: Progress, deadline: Option<Instant>) -> Self {
        Self {
            progress,
            deadline,
            waited: Duration::ZERO,
            bytes_since_event: 0,
            event: EventScan::default(),
        }
    }

    /// Lets the body end without an event, as that of a resumed stream may.
    pub fn allow_empty(mut self) -> Self {
        self.event.has_event = true;
        self
    }

    /// Returns whether the body may end here. The body of an event stream may do so after a complete
    /// event only, since the connection of a sender that fails can close as if the body were whole.
    pub fn may_end(&self) -> bool {
        self.progress == Progress::Data || self.event.is_at_boundary()
    }

    /// Records data that arrived after waiting for some time.
    pub fn on_data(&mut self, data: &[u8], waited: Duration) {
        if self.progress == Progress::Data {
            return;
        }
        self.waited += waited;
        for byte in data {
            self.bytes_since_event += 1;
            if self.event.push(*byte) {
                self.waited = Duration::ZERO;
                self.bytes_since_event = 0;
            }
        }
    }

    /// Returns how long to wait for more data before the body is given up, or `None` if it may take
    /// any time.
    pub fn wait_limit(&self, now: Instant) -> Option<Duration> {
        let until_deadline = self.deadline.map(|deadline| deadline - now);
        let until_stalled = match self.progress {
            Progress::Data => None,
            Progress::Event { .. } if self.bytes_since_event > MAX_EVENT_BYTES => {
                Some(Duration::ZERO)
            }
            Progress::Event { max_gap } => Some(max_gap.saturating_sub(self.waited)),
        };
        until_deadline.into_iter().chain(until_stalled).min()
    }
}
