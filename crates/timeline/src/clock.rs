use crate::error::Inner;
use crate::Result;
use dogwoodlb_types::Timestamp;
use std::time::Duration;

/// A stamp of a hybrid logical clock.
///
/// Stamps are ordered by the civil milliseconds, then by the logical counter.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Stamp {
    /// The milliseconds since the Unix epoch, or of a later stamp that was observed.
    pub millis: i64,
    /// Orders stamps of the same millisecond.
    pub logical: u32,
}

/// A hybrid logical clock (Kulkarni, Demirbas, Madappa, Avva and Leone 2014).
///
/// Every stamp is later than all stamps that the clock has given out or observed before.
#[derive(Clone, Debug)]
pub struct Clock {
    last: Stamp,
    max_ahead_ms: i64,
}

impl Clock {
    /// Creates a clock that accepts remote stamps at most `max_ahead` ahead of the civil time.
    ///
    /// Without the limit one VM with a wrong civil clock would carry the stamps of all nodes
    /// with it.
    pub fn new(max_ahead: Duration) -> Self {
        Self {
            last: Stamp::default(),
            max_ahead_ms: i64::try_from(max_ahead.as_millis()).unwrap_or(i64::MAX),
        }
    }

    /// Returns the stamp of a local event or of a frame about to be sent.
    pub fn tick(&mut self, wall: Timestamp) -> Stamp {
        self.last = advance(self.last, wall);
        self.last
    }

    /// Takes in the stamp of a received frame and returns the stamp of its receipt.
    ///
    /// # Errors
    ///
    /// [`Category::TooFarAhead`](crate::Category::TooFarAhead) if the stamp runs ahead of `wall` by more
    /// than the limit; the clock is then unchanged and the caller counts the frame.
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
