use dogwoodlb_types::Instant;
use std::time::Duration;

/// A change of the offset up to this much is the correction of drift. A larger one is a step.
const MAX_CORRECTION_MS: i64 = 500;
/// How long a step has to last until it is believed.
const STEP_CONFIRMATION: Duration = Duration::from_secs(60);

/// The wall clock of a machine, steadied by its monotonic clock.
///
/// It addresses clocks that are set wrong for a while: a request counted by such a clock would be
/// reported in a window that has no other requests, and missed in its own.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WallClock {
    /// The wall clock minus the monotonic clock, in milliseconds.
    offset_ms: Option<i64>,
    /// An offset that differs by a step, with the time at which it was first seen.
    candidate: Option<(i64, Instant)>,
}

impl WallClock {
    /// Takes in a reading of the wall clock, and returns the steadied Unix time in milliseconds.
    pub fn read(&mut self, wall_ms: u64, now: Instant) -> u64 {
        let read_ms = signed(wall_ms) - signed_millis(now);
        let Some(known_ms) = self.offset_ms else {
            self.offset_ms = Some(read_ms);
            return wall_ms;
        };
        if is_close(read_ms, known_ms) {
            self.offset_ms = Some(read_ms);
            self.candidate = None;
        } else {
            let held = self.candidate.filter(|(step, _)| is_close(read_ms, *step));
            let since = held.map_or(now, |(_, since)| since);
            if now.saturating_since(since) >= STEP_CONFIRMATION {
                self.offset_ms = Some(read_ms);
                self.candidate = None;
            } else {
                self.candidate = Some((read_ms, since));
            }
        }
        self.at(now)
    }

    /// Returns the Unix time in milliseconds of a time near the last reading.
    pub fn at(&self, time: Instant) -> u64 {
        let offset_ms = self.offset_ms.unwrap_or(0);
        u64::try_from(signed_millis(time).saturating_add(offset_ms)).unwrap_or(0)
    }
}

fn is_close(a_ms: i64, b_ms: i64) -> bool {
    a_ms.abs_diff(b_ms) <= MAX_CORRECTION_MS.unsigned_abs()
}

fn signed(millis: u64) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}

fn signed_millis(time: Instant) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
