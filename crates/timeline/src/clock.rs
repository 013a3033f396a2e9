use crate::error::Inner;
use crate::Result;
use dogwoodlb_types::Timestamp;
use std::time::Duration;

/// A stamp of a hybrid logical clock.
///
/// Stamps are ordered by `millis`, then by `logical`.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch: the wall clock, or a later stamp that was observed.
    pub millis: i64,
    /// Counter that orders stamps of the same millisecond.
    pub logical: u32,
}

/// A hybrid logical clock (Kulkarni, Demirbas, Madappa, Avva and Leone 2014).
///
/// Every stamp is later than all stamps that the clock has issued or observed before.
#[derive(Clone, Debug)]
pub struct Clock {
    last: Stamp,
    max_ahead_ms: i64,
}

impl Clock {
    /// Creates a clock that accepts remote stamps at most `max_ahead` ahead of the wall clock.
    ///
    /// Without this limit, one VM with a wrong wall clock would advance the clocks of all nodes.
    pub fn new(max_ahead: Duration) -> Self {
        Self {
            last: Stamp::default(),
            max_ahead_ms: i64::try_from(max_ahead.as_millis()).unwrap_or(i64::MAX),
        }
    }

    /// Advances the clock and returns the stamp for a local event or an outgoing frame.
    pub fn tick(&mut self, wall: Timestamp) -> Stamp {
        self.last = advance(self.last, wall);
        self.last
    }

    /// Merges the stamp of a received frame into the clock and returns the stamp of its receipt.
    ///
    /// # Errors
    ///
    /// [`Category::TooFarAhead`](crate::Category::TooFarAhead) if the stamp is ahead of `wall` by
    /// more than the limit. The clock is then unchanged; the caller should count the frame as
    /// refused.
    pub fn observe(&mut self, remote: Stamp, wall: Timestamp) -> Result<Stamp> {
        let ahead_ms = remote.millis.saturating_sub(wall.as_millis());
        if ahead_ms > self.max_ahead_ms {
            return Err(Inner::TooFarAhead {
                ahead_ms,
                limit_ms: self.max_ahead_ms,
            }
            .into());
        }
        self.last = advance(self.last.max(remote), wall);
        Ok(self.last)
    }
}

fn advance(last: Stamp, wall: Timestamp) -> Stamp {
    if wall.as_millis() > last.millis {
        return Stamp {
            millis: wall.as_millis(),
            logical: 0,
        };
    }
    match last.logical.checked_add(1) {
        Some(logical) => Stamp { logical, ..last },
        None => Stamp {
            millis: last.millis.saturating_add(1),
            logical: 0,
        },
    }
}
