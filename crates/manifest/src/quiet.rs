//! Quiet hours, in which no disruptive change may be made.
//!
//! The windows are computed separately for each span between two transitions of the time zone.
//! An hour that occurs twice is therefore quiet both times, and a start time that a transition
//! skips moves to the end of the gap. See docs/design.md, section 4.9.

use crate::section::{Day, QuietHours, Time};
use crate::Manifest;
use dogwoodlb_types::{id, Timestamp};
use jiff::civil::DateTime;
use jiff::tz::Offset;
use jiff::{Span, ToSpan};
use std::time::Duration;

/// The maximum difference between the clocks of two VMs.
pub const CLOCK_SKEW: Duration = Duration::from_secs(1);

/// The number of days after today for which windows are computed. A weekly window can fall
/// entirely into a gap and then recurs a week later; two more days cover the longest window and
/// the difference between local and UTC dates.
const DAYS_AHEAD: i32 = 16;
/// The number of days before today for which windows are computed, so that windows that have
/// already started are included.
const DAYS_BACK: i32 = 3;

/// The maximum duration of a change. The windows are computed for more days than this.
const MAX_CHANGE_DURATION: Duration = Duration::from_secs(7 * 24 * 3_600);

/// A period in which no disruptive change may be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Window {
    /// The first quiet millisecond.
    pub start: Timestamp,
    /// The first millisecond after the period.
    pub end: Timestamp,
}

/// Returns the quiet window of a model that contains `now`, or the next one.
///
/// Overlapping and adjacent windows are merged.
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
/// The change must end before the next window even if it takes `max_duration` and the clocks
/// differ by [`CLOCK_SKEW`]. For the same reason it may start only [`CLOCK_SKEW`] after the
/// previous window. No change is allowed outside the range of the calendar, or if `max_duration`
/// exceeds one week.
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
    max_duration: Duration,
) -> bool {
    let Some(windows) = windows(manifest, model, now) else {
        return false;
    };
    if max_duration > MAX_CHANGE_DURATION {
        return false;
    }
    let from = now - CLOCK_SKEW;
    let to = now + max_duration + CLOCK_SKEW;
    windows
        .iter()
        .all(|window| window.end <= from || to < window.start)
}

/// Returns the merged windows around `now`, in order; `None` outside the range of the calendar.
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
    let local = quiet.time_zone.time_zone().to_datetime(now);
    let offset_spans = offset_spans(quiet, now)?;
    for day_offset in -DAYS_BACK..DAYS_AHEAD {
        let date = local.date().checked_add(day_offset.days()).ok()?;
        if !quiet.days.contains(&to_day(date.weekday())) {
            continue;
        }
        let midnight = date.at(0, 0, 0, 0);
        let start = midnight.checked_add(since_midnight(quiet.start)).ok()?;
        let mut end = midnight.checked_add(since_midnight(quiet.end)).ok()?;
        if quiet.end <= quiet.start {
            end = end.checked_add(1.day()).ok()?;
        }
        for span in &offset_spans {
            windows.extend(span.intersect(start, end));
        }
    }
    Some(())
}

/// A period in which the UTC offset of a time zone is constant.
struct OffsetSpan {
    offset: Offset,
    start: jiff::Timestamp,
    end: jiff::Timestamp,
}

impl OffsetSpan {
    /// Returns the part of the span in which the local time is within a period.
    fn intersect(&self, start: DateTime, end: DateTime) -> Option<Window> {
        let start = self.offset.to_timestamp(start).ok()?.max(self.start);
        let end = self.offset.to_timestamp(end).ok()?.min(self.end);
        (start < end).then(|| Window {
            start: Timestamp::from_millis(start.as_millisecond()),
            end: Timestamp::from_millis(end.as_millisecond()),
        })
    }
}

/// Returns the periods of constant UTC offset around `now`, in order.
fn offset_spans(quiet: &QuietHours, now: jiff::Timestamp) -> Option<Vec<OffsetSpan>> {
    let zone = quiet.time_zone.time_zone();
    // Two days more than the windows need, because a window can end on the day after its start and
    // local dates differ from UTC dates.
    let span = |days: i32| Span::new().hours(24 * (days + 2));
    let earliest = now.checked_sub(span(DAYS_BACK)).ok()?;
    let latest = now.checked_add(span(DAYS_AHEAD)).ok()?;
    let mut offset_spans = Vec::new();
    let mut start = earliest;
    for transition in zone.following(earliest) {
        let end = transition.timestamp().min(latest);
        let offset = zone.to_offset(start);
        offset_spans.push(OffsetSpan { offset, start, end });
        start = end;
        if end == latest {
            break;
        }
    }
    let offset = zone.to_offset(start);
    let end = latest;
    offset_spans.push(OffsetSpan { offset, start, end });
    Some(offset_spans)
}

fn since_midnight(time: Time) -> Span {
    Span::new().minutes(time.minutes())
}

fn to_day(weekday: jiff::civil::Weekday) -> Day {
    let index = weekday.to_monday_zero_offset();
    Day::ALL[usize::try_from(index).unwrap_or(0) % Day::ALL.len()]
}
