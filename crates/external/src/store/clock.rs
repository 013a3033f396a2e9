use dogwoodlb_types::Instant;
use std::time::Duration;

/// Readings that differ by less from what the earlier ones imply are explained by drift.
const MAX_DRIFT_MS: i64 = 50;
/// The clock is assumed not to have jumped further than this before its first reading. Without a
/// limit, a node that has just started could not trust any time that others stored.
const MAX_UNSEEN_JUMP: Duration = Duration::from_secs(5);

/// The store's clock as a node knows it from the times in the store's responses.
///
/// The store may read its clock at any time between a request and its response, so that each
/// response yields bounds. All responses together narrow them. The clock is expected to be steady,
/// and a node that relies on this asks for how long it has seen it so.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    bounds: Option<Bounds>,
}

/// A forward or backward jump of the store's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Jump {
    /// The least time by which the clock is ahead of its earlier readings, in milliseconds.
    /// Negative if it is behind them.
    pub ahead_ms: i64,
}

#[derive(Clone, Copy, Debug)]
struct Bounds {
    /// The lower bound of the store's clock minus the node's clock, in milliseconds.
    lower_ms: i64,
    /// The upper bound of that difference.
    upper_ms: i64,
    /// Since when no reading has contradicted earlier ones.
    steady_since: Instant,
    /// The time by which the clock may have jumped ahead before `steady_since`.
    max_jump: Duration,
}

impl Clock {
    /// Takes in the time `store_ms` of a response that was received at `received` to a request that
    /// was sent at `sent`. Returns the jump if it contradicts earlier readings.
    pub fn record(&mut self, sent: Instant, received: Instant, store_ms: u64) -> Option<Jump> {
        let store_ms = i64::try_from(store_ms).unwrap_or(i64::MAX);
        let read = Bounds {
            lower_ms: store_ms.saturating_sub(millis(received)),
            upper_ms: store_ms.saturating_sub(millis(sent)),
            steady_since: received,
            max_jump: MAX_UNSEEN_JUMP,
        };
        let Some(known) = self.bounds else {
            self.bounds = Some(read);
            return None;
        };
        let ahead_ms = read.ahead_of(&known);
        if ahead_ms.abs() > MAX_DRIFT_MS {
            self.bounds = Some(Bounds {
                max_jump: Duration::MAX,
                ..read
            });
            return Some(Jump { ahead_ms });
        }
        let narrowed = Bounds {
            lower_ms: read.lower_ms.max(known.lower_ms),
            upper_ms: read.upper_ms.min(known.upper_ms),
            ..known
        };
        self.bounds = Some(if narrowed.is_sound() {
            narrowed
        } else {
            Bounds {
                lower_ms: read.lower_ms,
                upper_ms: read.upper_ms,
                ..known
            }
        });
        None
    }

    /// Returns a lower bound of the store's time, or `None` before the first reading.
    pub fn earliest_ms(&self, now: Instant) -> Option<u64> {
        u64::try_from(millis(now).saturating_add(self.bounds?.lower_ms)).ok()
    }

    /// Returns an upper bound of the store's time, or `None` before the first reading.
    pub fn latest_ms(&self, now: Instant) -> Option<u64> {
        u64::try_from(millis(now).saturating_add(self.bounds?.upper_ms)).ok()
    }

    /// Returns for how long the readings of the clock have agreed with each other, or zero before
    /// the first one.
    pub fn steady_for(&self, now: Instant) -> Duration {
        let bounds = self.bounds.as_ref();
        bounds.map_or(Duration::ZERO, |bounds| {
            now.saturating_since(bounds.steady_since)
        })
    }

    /// Returns the time by which the clock may have jumped ahead before it was
    /// [steady](Self::steady_for).
    pub fn max_jump(&self) -> Duration {
        let bounds = self.bounds.as_ref();
        bounds.map_or(MAX_UNSEEN_JUMP, |bounds| bounds.max_jump)
    }
}

impl Bounds {
    /// Returns whether some difference of the clocks lies within the bounds.
    fn is_sound(&self) -> bool {
        // Times are truncated to whole milliseconds, which alone can put the lower bound one above
        // the upper bound.
        self.lower_ms <= self.upper_ms + 1
    }

    /// Returns by how much these bounds are above or, if negative, below others. Zero if they
    /// overlap.
    fn ahead_of(&self, other: &Self) -> i64 {
        let above_ms = self.lower_ms.saturating_sub(other.upper_ms).max(0);
        let below_ms = other.lower_ms.saturating_sub(self.upper_ms).max(0);
        above_ms - below_ms
    }
}

fn millis(instant: Instant) -> i64 {
    i64::try_from(instant.as_millis()).unwrap_or(i64::MAX)
}
