use dogwoodlb_types::{Class, Code, Instant, Refusal};
use std::time::Duration;

/// Background work leaves this share of a second's bytes to the other classes.
const BACKGROUND_FLOOR: i64 = 4;
/// The shortest wait worth a timer.
const SHORTEST_WAIT: Duration = Duration::from_millis(5);

/// Whether bytes may be sent over the link between regions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LinkDecision {
    /// Send now; the bytes are counted.
    Send,
    /// Ask again after this time; nothing is counted.
    Wait(Duration),
    /// Don't send; nothing is counted.
    Refuse(Refusal),
}

/// A node's share of the link between regions, by class and second.
///
/// Customers always go on. Trainers' samples and weights wait while the share is used up, and
/// background work is refused before that. See docs/design.md, section 4.12.
///
/// # Examples
///
/// ```
/// use dogwoodlb_limit::{LinkLimiter, LinkDecision};
/// use dogwoodlb_types::prelude::*;
///
/// let now = Instant::from_millis(0);
/// let mut link = LinkLimiter::new(1_000_000, now);
/// assert_eq!(link.admit(Class::Trainer, 1_000_000, now), LinkDecision::Send);
/// assert!(matches!(link.admit(Class::Trainer, 1, now), LinkDecision::Wait(_)));
/// assert_eq!(link.admit(Class::Customer, 1, now), LinkDecision::Send);
/// ```
#[derive(Clone, Debug)]
pub struct LinkLimiter {
    bytes_per_second: i64,
    /// The bytes that may be sent now; negative while the share is overdrawn.
    level: i64,
    /// The rest of the last refill, in thousandths of a byte.
    rest: i64,
    at: Instant,
    sent: [u64; 3],
}

impl LinkLimiter {
    /// Creates a link with this share, at least 1 byte a second.
    pub fn new(bytes_per_second: u64, now: Instant) -> Self {
        // The bound keeps the products below far from overflow.
        let bytes = bytes_per_second.clamp(1, 1 << 40) as i64;
        Self {
            bytes_per_second: bytes,
            level: bytes,
            rest: 0,
            at: now,
            sent: [0; 3],
        }
    }

    /// Asks whether `bytes` may be sent for a class.
    ///
    /// A trainer's message goes as soon as the share isn't overdrawn, whatever its size, so
    /// that small messages can't hold up a large one forever.
    pub fn admit(&mut self, class: Class, bytes: u64, now: Instant) -> LinkDecision {
        self.refill(now);
        let size = i64::try_from(bytes).unwrap_or(i64::MAX);
        match class {
            Class::Customer => {}
            Class::Trainer if self.level > 0 => {}
            Class::Trainer => return LinkDecision::Wait(self.time_to(1)),
            Class::Background => {
                let floor = self.bytes_per_second / BACKGROUND_FLOOR;
                if self.level.saturating_sub(size) < floor {
                    let wanted = size.saturating_add(floor).min(self.bytes_per_second);
                    return LinkDecision::Refuse(
                        Refusal::not_run(Code::Overloaded, "the link between regions is full")
                            .retry_after(self.time_to(wanted)),
                    );
                }
            }
        }
        // Customers can overdraw the share for long; a bounded debt lets trainers go on soon
        // after.
        self.level = self
            .level
            .saturating_sub(size)
            .max(-2 * self.bytes_per_second);
        self.sent[class.rank()] = self.sent[class.rank()].saturating_add(bytes);
        LinkDecision::Send
    }

    /// Returns the bytes sent for a class since the start.
    pub fn sent(&self, class: Class) -> u64 {
        self.sent[class.rank()]
    }

    fn refill(&mut self, now: Instant) {
        // After three seconds the share is full, whatever the debt was.
        let passed = now.saturating_since(self.at).as_millis().min(3_000) as i64;
        self.at = self.at.max(now);
        let gained = self.bytes_per_second * passed + self.rest;
        self.rest = gained % 1_000;
        self.level = (self.level + gained / 1_000).min(self.bytes_per_second);
    }

    fn time_to(&self, level: i64) -> Duration {
        let missing = level.saturating_sub(self.level).max(0);
        let millis = (missing * 1_000 + self.bytes_per_second - 1) / self.bytes_per_second;
        Duration::from_millis(millis as u64).max(SHORTEST_WAIT)
    }
}
