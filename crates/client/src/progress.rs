//! Detection of response bodies that have stalled.

use std::time::Duration;
use tokio::time::Instant;

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

/// Decides until when a streamed body may continue.
///
/// # Examples
///
/// ```
/// use dogwoodlb_client::{Progress, ProgressMonitor};
/// use std::time::Duration;
/// use tokio::time::Instant;
///
/// let began = Instant::now();
/// let max_gap = Duration::from_secs(2);
/// let mut monitor = ProgressMonitor::new(Progress::Event { max_gap }, None, began);
/// monitor.on_data(b"id: 1\nda", began + Duration::from_secs(1));
/// assert_eq!(monitor.expires_at(), Some(began + max_gap), "the event is not complete");
/// monitor.on_data(b"ta: a\n\n", began + Duration::from_secs(1));
/// assert_eq!(monitor.expires_at(), Some(began + Duration::from_secs(3)));
/// ```
#[derive(Clone, Debug)]
pub struct ProgressMonitor {
    progress: Progress,
    deadline: Option<Instant>,
    last_progress: Instant,
    event: EventScan,
}

/// What is known of the event that is being received.
#[derive(Clone, Copy, Debug, Default)]
struct EventScan {
    /// The first bytes of the current line, at most as many as a field name has.
    line: [u8; 5],
    line_length: usize,
    has_field: bool,
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
        self.has_field = !is_blank && (self.has_field || self.is_field());
        self.line_length = 0;
        is_event
    }

    fn is_field(&self) -> bool {
        let start = &self.line[..self.line_length.min(self.line.len())];
        start == b"data" || start == b"data:" || start.starts_with(b"id:")
    }
}

impl ProgressMonitor {
    /// Creates a monitor of a body whose head arrived at `now`.
    pub fn new(progress: Progress, deadline: Option<Instant>, now: Instant) -> Self {
        Self {
            progress,
            deadline,
            last_progress: now,
            event: EventScan::default(),
        }
    }

    /// Records data that arrived at `now`.
    pub fn on_data(&mut self, data: &[u8], now: Instant) {
        if self.progress == Progress::Data {
            return;
        }
        for byte in data {
            if self.event.push(*byte) {
                self.last_progress = now;
            }
        }
    }

    /// Returns when the body must be given up unless more of it arrives, or `None` if it may take
    /// any time.
    pub fn expires_at(&self) -> Option<Instant> {
        let Progress::Event { max_gap } = self.progress else {
            return self.deadline;
        };
        let stalled_at = self.last_progress + max_gap;
        Some(
            self.deadline
                .map_or(stalled_at, |deadline| deadline.min(stalled_at)),
        )
    }
}
