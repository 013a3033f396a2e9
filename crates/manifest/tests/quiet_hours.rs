//! Guards against disruptive changes during quiet hours, in particular around daylight saving
//! transitions.

use dogwoodlb_manifest::{from_str, quiet, Manifest};
use dogwoodlb_types::{id, Timestamp};
use rstest::rstest;
use std::time::Duration;

fn at(text: &str) -> Timestamp {
    Timestamp::from_millis(text.parse::<jiff::Timestamp>().unwrap().as_millisecond())
}

fn model() -> id::Model {
    "scorer".parse().unwrap()
}

fn manifest(quiet: &[(&str, &str, &str, &str)]) -> Manifest {
    let quiet = quiet.iter().enumerate().map(|(index, (zone, days, start, end))| {
        format!(
            r#"{{"name": "q{index}", "time_zone": "{zone}", "days": [{days}], "start": "{start}",
            "end": "{end}"}}"#
        )
    });
    let quiet: Vec<_> = quiet.collect();
    from_str(&format!(
        r#"{{"entry_vms": [{{"vm": "e", "region": "r", "centre": "c", "address": "[::1]:1",
        "peer": "[::1]:2"}}], "models": [{{"model": "scorer", "version": 1, "object": "o"}},
        {{"model": "parts", "version": 1, "object": "p"}}], "quiet_hours": [{}]}}"#,
        quiet.join(",")
    ))
    .unwrap()
}

// In 2026 the clocks change in Ljubljana on 29 March (02:00 -> 03:00, 01:00Z) and 25 October
// (03:00 -> 02:00, 01:00Z), in Auckland on 5 April (03:00 -> 02:00, 14:00Z on the 4th) and 27
// September (02:00 -> 03:00, 14:00Z on the 26th).
#[rstest]
#[case::plain("Europe/Ljubljana 01:30 03:30 2026-03-21T12:00Z 2026-03-22T00:30Z 2026-03-22T02:30Z")]
#[case::spring_across(
    "Europe/Ljubljana 01:30 03:30 2026-03-28T12:00Z 2026-03-29T00:30Z 2026-03-29T01:30Z"
)]
#[case::spring_start_in_gap(
    "Europe/Ljubljana 02:30 04:00 2026-03-28T12:00Z 2026-03-29T01:00Z 2026-03-29T02:00Z"
)]
#[case::spring_end_in_gap(
    "Europe/Ljubljana 01:00 02:30 2026-03-28T12:00Z 2026-03-29T00:00Z 2026-03-29T01:00Z"
)]
#[case::spring_all_in_gap(
    "Europe/Ljubljana 02:10 02:50 2026-03-28T12:00Z 2026-04-05T00:10Z 2026-04-05T00:50Z"
)]
#[case::autumn_across(
    "Europe/Ljubljana 01:30 03:30 2026-10-24T12:00Z 2026-10-24T23:30Z 2026-10-25T02:30Z"
)]
#[case::autumn_first(
    "Europe/Ljubljana 02:15 02:45 2026-10-24T12:00Z 2026-10-25T00:15Z 2026-10-25T00:45Z"
)]
#[case::autumn_second(
    "Europe/Ljubljana 02:15 02:45 2026-10-25T00:45Z 2026-10-25T01:15Z 2026-10-25T01:45Z"
)]
#[case::south_spring_across(
    "Pacific/Auckland 01:30 03:30 2026-09-26T00:00Z 2026-09-26T13:30Z 2026-09-26T14:30Z"
)]
#[case::south_spring_gap(
    "Pacific/Auckland 02:30 04:00 2026-09-26T00:00Z 2026-09-26T14:00Z 2026-09-26T15:00Z"
)]
#[case::south_autumn_across(
    "Pacific/Auckland 01:30 03:30 2026-04-04T00:00Z 2026-04-04T12:30Z 2026-04-04T15:30Z"
)]
#[case::south_autumn_first(
    "Pacific/Auckland 02:15 02:45 2026-04-04T00:00Z 2026-04-04T13:15Z 2026-04-04T13:45Z"
)]
#[case::south_autumn_second(
    "Pacific/Auckland 02:15 02:45 2026-04-04T13:50Z 2026-04-04T14:15Z 2026-04-04T14:45Z"
)]
#[case::overnight(
    "Europe/Ljubljana 23:00 04:00 2026-10-25T12:00Z 2026-10-25T22:00Z 2026-10-26T03:00Z"
)]
#[case::inside_overnight(
    "Europe/Ljubljana 23:00 04:00 2026-10-26T01:00Z 2026-10-25T22:00Z 2026-10-26T03:00Z"
)]
#[case::whole_long_day(
    "Europe/Ljubljana 00:00 24:00 2026-10-24T12:00Z 2026-10-24T22:00Z 2026-10-25T23:00Z"
)]
fn next_window(#[case] case: &str) {
    let words: Vec<_> = case.split_whitespace().collect();
    let [zone, start, end, now, from, to] = words[..] else {
        panic!("{case}");
    };
    let manifest = manifest(&[(zone, r#""sun""#, start, end)]);
    let window = quiet::next_window(&manifest, &model(), at(now)).unwrap();
    assert_eq!((window.start, window.end), (at(from), at(to)));
}

/// Compares the windows with the local time for every minute around each transition.
#[rstest]
#[case("Europe/Ljubljana", "2026-03-28T20:00Z")]
#[case("Europe/Ljubljana", "2026-10-24T20:00Z")]
#[case("Pacific/Auckland", "2026-04-04T08:00Z")]
#[case("Pacific/Auckland", "2026-09-26T08:00Z")]
fn windows_match_local_time(#[case] zone: &str, #[case] from: &str) {
    let time_zone = jiff::tz::TimeZone::get(zone).unwrap();
    for (start, end) in [("01:30", "02:30"), ("02:20", "02:40"), ("02:30", "03:10")] {
        let manifest = manifest(&[(zone, r#""sun""#, start, end)]);
        for minute in 0..600 {
            let now = at(from) + Duration::from_secs(minute * 60);
            let local =
                time_zone.to_datetime(jiff::Timestamp::from_millisecond(now.as_millis()).unwrap());
            let time = local.strftime("%H:%M").to_string();
            let sunday = local.weekday() == jiff::civil::Weekday::Sunday;
            let expected = sunday && (start..end).contains(&&*time);
            let window = quiet::next_window(&manifest, &model(), now).unwrap();
            assert_eq!(window.start <= now, expected, "{time} in {start}-{end}");
        }
    }
}

/// Guards against a change that is still running when a window starts, or that starts before the
/// end of a window because of clock skew.
#[test]
fn change_must_fit_before_window() {
    let manifest = manifest(&[("Europe/Ljubljana", r#""sun""#, "01:30", "03:30")]);
    let allows = |now, max_duration| {
        let max_duration = Duration::from_millis(max_duration);
        quiet::allows_change(&manifest, &model(), at(now), max_duration)
    };
    assert!(allows("2026-03-29T00:20:00Z", 598_999));
    assert!(!allows("2026-03-29T00:20:00Z", 599_000));
    assert!(!allows("2026-03-29T01:29:59.999Z", 0));
    assert!(!allows("2026-03-29T01:30:00.999Z", 0));
    assert!(allows("2026-03-29T01:30:01Z", 0));
    assert!(!allows("2026-03-30T00:00:00Z", 8 * 24 * 3_600_000));
}

/// Guards against windows of different entries or zones that are not merged.
#[test]
fn merged_windows() {
    let manifest = manifest(&[
        ("Europe/Ljubljana", r#""mon""#, "08:00", "10:00"),
        ("Pacific/Auckland", r#""mon""#, "20:00", "23:00"),
        ("UTC", r#""mon""#, "11:30", "12:00"),
    ]);
    let window = quiet::next_window(&manifest, &model(), at("2026-07-05T00:00Z")).unwrap();
    assert_eq!(
        (window.start, window.end),
        (at("2026-07-06T06:00Z"), at("2026-07-06T11:00Z"))
    );
    let window = quiet::next_window(&manifest, &model(), window.end).unwrap();
    assert_eq!(window.start, at("2026-07-06T11:30Z"));
}

/// Guards against a window that protects the wrong models, and against dates outside the range of
/// the calendar.
#[test]
fn unprotected_models_and_dates() {
    let mut manifest = manifest(&[("UTC", r#""mon""#, "00:00", "24:00")]);
    manifest.quiet_hours[0].models = vec!["parts".parse().unwrap()];
    let now = at("2026-07-06T12:00Z");
    assert_eq!(quiet::next_window(&manifest, &model(), now), None);
    assert!(quiet::allows_change(
        &manifest,
        &model(),
        now,
        Duration::ZERO
    ));
    let never = Timestamp::from_millis(i64::MAX);
    assert!(!quiet::allows_change(
        &manifest,
        &"parts".parse().unwrap(),
        never,
        Duration::ZERO
    ));
}
