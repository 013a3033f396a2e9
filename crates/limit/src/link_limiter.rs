use dogwoodlb_types::{Class, Code, Instant, Refusal};
use std::time::Duration;

/// Share of the bucket that background traffic must leave unused, as a divisor: a quarter is kept
/// for the other classes.
const BACKGROUND_RESERVE_DIVISOR: i64 = 4;
/// Minimum wait returned by [`LinkLimiter::admit`]; shorter waits would only cause repeated
/// wake-ups.
const MIN_WAIT: Duration = Duration::from_millis(5);

/// The decision on sending bytes over the link between regions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LinkDecision {
    /// Send now; the bytes have been deducted.
    Send,
    /// Retry after this time; nothing has been deducted.
    Wait(Duration),
    /// Do not send; nothing has been deducted.
    Refuse(Refusal),
}

/// A token bucket for a node's share of the link between regions.
///
/// Customer traffic is always sent. Samples and weights of trainers wait while the share is
/// exhausted, and background traffic is refused before that point. See docs/design.md,
/// section 4.12.
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
    available: i64,
    /// The remainder of the last refill, in thousandths of a byte.
    remainder: i64,
    refilled_at: Instant,
    /// The bytes sent so far, by class.
    sent: [u64; 3],
}

impl LinkLimiter {
    /// Creates a limiter for the given share, at least 1 byte per second.
    pub fn new(bytes_per_second: u64, now: Instant) -> Self {
        // The upper bound keeps the products computed below from overflowing.
        let bytes = bytes_per_second.clamp(1, 1 << 40) as i64;
        Self {
            bytes_per_second: bytes,
            available: bytes,
            remainder: 0,
            refilled_at: now,
            sent: [0; 3],
        }
    }

    /// Decides whether `bytes` may be sent for a class.
    ///
    /// A trainer's message is sent as soon as the share is not overdrawn, whatever its size;
    /// otherwise small messages could starve a large one.
    pub fn admit(&mut self, class: Class, bytes: u64, now: Instant) -> LinkDecision {
        self.refill(now);
        let size = i64::try_from(bytes).unwrap_or(i64::MAX);
        match class {
            Class::Customer => {}
            Class::Trainer if self.available > 0 => {}
            Class::Trainer => return LinkDecision::Wait(self.time_to(1)),
            Class::Background => {
                let reserve = self.bytes_per_second / BACKGROUND_RESERVE_DIVISOR;
                if self.available.saturating_sub(size) < reserve {
                    let target = size.saturating_add(reserve).min(self.bytes_per_second);
                    return LinkDecision::Refuse(
                        Refusal::not_run(
                            Code::Overloaded,
                            "the link between regions is at capacity",
                        )
                        .retry_after(self.time_to(target)),
                    );
                }
            }
        }
        // Customers can overdraw the share for a long time; limiting the debt lets trainers
        // resume soon afterwards.
        self.available = self
            .available
            .saturating_sub(size)
            .max(-2 * self.bytes_per_second);
        self.sent[class.rank()] = self.sent[class.rank()].saturating_add(bytes);
        LinkDecision::Send
    }

    /// Returns the total bytes sent for a class.
    pub fn sent(&self, class: Class) -> u64 {
        self.sent[class.rank()]
    }

    fn refill(&mut self, now: Instant) {
        // Three seconds refill the bucket from the maximum debt.
        let elapsed_ms = now
            .saturating_since(self.refilled_at)
            .as_millis()
            .min(3_000) as i64;
        self.refilled_at = self.refilled_at.max(now);
        let gained = self.bytes_per_second * elapsed_ms + self.remainder;
        self.remainder = gained % 1_000;
        self.available = (self.available + gained / 1_000).min(self.bytes_per_second);
    }

    fn time_to(&self, target: i64) -> Duration {
        let missing = target.saturating_sub(self.available).max(0);
        let millis = (missing * 1_000 + self.bytes_per_second - 1) / self.bytes_per_second;
        Duration::from_millis(millis as u64).max(MIN_WAIT)
    }
}
