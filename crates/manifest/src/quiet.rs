//! Quiet hours: when no disruptive change may happen.
//!
//! The windows are computed piece by piece between the transitions of the time zone, so that
//! an hour that occurs twice is quiet both times, and a start that a transition skips moves to
//! the end of the gap. See docs/design.md, section 4.9.

use crate::section::{Day, QuietHours, Time};
use crate::Manifest;
use dogwoodlb_types::{id, Timestamp};
use jiff::civil::DateTime;
use jiff::tz::Offset;
use jiff::{Span, ToSpan};
use std::time::Duration;

/// The clocks of two VMs differ by at most this.
pub const CLOCK_SKEW: Duration = Duration::from_secs(1);

/// A weekly window can fall into a gap entirely, and then recurs a week later; two days more
/// cover the longest window and the distance between local and universal dates.
const HORIZON_DAYS: i32 = 16;
const BACK_DAYS: i32 = 3;

/// No change may be declared longer; the windows that are looked at reach well beyond it.
const MAX_CHANGE: Duration = Duration::from_secs(7 * 24 * 3_600);

/// A period in which no disruptive change may happen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Window {
    /// The first quiet millisecond.
    pub start: Timestamp,
    /// The first millisecond after the period.
    pub end: Timestamp,
}

/// Returns the quiet window of a model that `now` is in, or the next one.
///
/// Windows that overlap or touch are returned as one.
///
/// # Examples
///
/// See [`allows_change`].
pub fn next_window(manifest: &Manifest, model: &id::Model, now: Timestamp) -> Option<Window> {
    let windows = windows(manifest, model, now)?;
    windows.into_iter().find(|window| window.end > now)
}

/// Returns whether a disruptive change of a model may start.
///
/// The change must end before the next window even if it takes `longest` and the clocks
/// differ by [`CLOCK_SKEW`]; for the same reason it starts only when that time has passed
/// since the last window. Nothing is allowed outside the range of the calendar, nor if
/// `longest` is more than a week.
///
/// # Examples
///
/// ```
/// use dogwoodlb_manifest::{from_str, quiet};
/// use dogwoodlb_types::Timestamp;
/// use std::time::Duration;
///
/// let manifest = from_str(r#"{
///   "entry_vms": [{"vm": "entry-1", "region": "ljubljana", "centre": "lj-a",
///                  "address": "127.0.0.1:8001", "peer": "127.0.0.1:9001"}],
///   "models": [{"model": "scorer", "version": 1, "object": "weights/scorer/1"}],
///   "quiet_hours": [{"name": "new-year", "time_zone": "Europe/Ljubljana", "days": ["thu"],
///                    "start": "01:00", "end": "03:00"}],
/// }"#)?;
/// let model = "scorer".parse()?;
/// let midnight = Timestamp::from_millis(0); // Thursday 01:00 in Ljubljana
/// assert!(!quiet::allows_change(&manifest, &model, midnight, Duration::ZERO));
/// let end = quiet::next_window(&manifest, &model, midnight).map(|window| window.end);
/// assert_eq!(end, Some(Timestamp::from_millis(2 * 3_600_000)));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn allows_change(
    manifest: &Manifest,
    model: &id::Model,
    now: Timestamp,
    longest: Duration,
) -> bool {
    let Some(windows) = windows(manifest, model, now) else {
        return false;
    };
    if longest > MAX_CHANGE {
        return false;
    }
    let from = now - CLOCK_SKEW;
    let to = now + longest + CLOCK_SKEW;
    windows
        .iter()
        .all(|window| window.end <= from || to < window.start)
}

/// Returns the windows around `now` in order, merged; `None` outside the calendar's range.
fn windows(manifest: &Manifest, model: &id::Model, now: Timestamp) -> Option<Vec<Window>> {
    let mut windows = Vec::new();
    for quiet in &manifest.quiet_hours {
        if quiet.models.is_empty() || quiet.models.contains(model) {
            add_windows(quiet, now, &mut windows)?;
        }
    }
    windows.sort_by_key(|window| (window.start, window.end));
    let mut merged: Vec<Window> = Vec::new();
    for window in windows {
        match merged.last_mut() {
            Some(last) if window.start <= last.end => last.end = last.end.max(window.end),
            _ => merged.push(window),
        }
    }
    Some(merged)
}

fn add_windows(quiet: &QuietHours, now: Timestamp, windows: &mut Vec<Window>) -> Option<()> {
    let now = jiff::Timestamp::from_millisecond(now.as_millis()).ok()?;
    let local = quiet.time_zone.rules().to_datetime(now);
    let pieces = pieces(quiet, now)?;
    for back in -BACK_DAYS..HORIZON_DAYS {
        let date = local.date().checked_add(back.days()).ok()?;
        if !quiet.days.contains(&day(date.weekday())) {
            continue;
        }
        let midnight = date.at(0, 0, 0, 0);
        let start = midnight.checked_add(minutes(quiet.start)).ok()?;
        let mut end = midnight.checked_add(minutes(quiet.end)).ok()?;
        if quiet.end <= quiet.start {
            end = end.checked_add(1.day()).ok()?;
        }
        for piece in &pieces {
            windows.extend(piece.cut(start, end));
        }
    }
    Some(())
}

/// A stretch of time with one offset between local and universal time.
struct Piece {
    offset: Offset,
    start: jiff::Timestamp,
    end: jiff::Timestamp,
}

impl Piece {
    /// Returns the part of the piece in which the local time is within a period.
    fn cut(&self, start: DateTime, end: DateTime) -> Option<Window> {
        let start = self.offset.to_timestamp(start).ok()?.max(self.start);
        let end = self.offset.to_timestamp(end).ok()?.min(self.end);
        (start < end).then(|| Window {
            start: Timestamp::from_millis(start.as_millisecond()),
            end: Timestamp::from_millis(end.as_millisecond()),
        })
    }
}

fn pieces(quiet: &QuietHours, now: jiff::Timestamp) -> Option<Vec<Piece>> {
    let zone = quiet.time_zone.rules();
    let days = |days: i32| Span::new().hours(24 * (days + 2));
    let first = now.checked_sub(days(BACK_DAYS)).ok()?;
    let last = now.checked_add(days(HORIZON_DAYS)).ok()?;
    let mut pieces = Vec::new();
    let mut start = first;
    for transition in zone.following(first) {
        let end = transition.timestamp().min(last);
        let offset = zone.to_offset(start);
        pieces.push(Piece { offset, start, end });
        start = end;
        if end == last {
            break;
        }
    }
    let offset = zone.to_offset(start);
    let end = last;
    pieces.push(Piece { offset, start, end });
    Some(pieces)
}

fn minutes(time: Time) -> Span {
    Span::new().minutes(time.minutes())
}

fn day(weekday: jiff::civil::Weekday) -> Day {
    let index = weekday.to_monday_zero_offset();
    Day::ALL[usize::try_from(index).unwrap_or(0) % Day::ALL.len()]
}
