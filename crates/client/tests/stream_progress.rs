//! Guards against a slow stream that is cut, and against a stalled one that never ends.

use dogwoodlb_client::{Progress, ProgressMonitor};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const MAX_GAP: Duration = Duration::from_secs(2);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Feeds one piece of data a second for a minute, and returns whether the stream may go on.
fn survives(progress: Progress, data: &[u8]) -> bool {
    let began = Instant::now();
    let mut monitor = ProgressMonitor::new(progress, None, began);
    (1..60).all(|second| {
        let now = began + seconds(second);
        let is_alive = monitor.expires_at().is_none_or(|expires| expires > now);
        monitor.on_data(data, now);
        is_alive
    })
}

#[rstest]
#[case::events(b"id: 1\ndata: a\n\n", true)]
#[case::data_only(b"data: a\n\n", true)]
#[case::carriage_returns(b"id: 1\r\ndata: a\r\n\r\n", true)]
#[case::comments(b": still here\n\n", false)]
#[case::blank_lines(b"\n\n", false)]
#[case::unfinished_event(b"data: a\n", false)]
#[case::single_bytes(b"a", false)]
#[case::other_field(b"database: a\n\n", false)]
fn event_streams(#[case] data: &[u8], #[case] survives_: bool) {
    let progress = Progress::Event { max_gap: MAX_GAP };
    assert_eq!(survives(progress, data), survives_);
}

/// The border of a piece of data may be anywhere in an event.
#[test]
fn split_events() {
    let progress = Progress::Event { max_gap: MAX_GAP };
    let began = Instant::now();
    for split in 1..15 {
        let (first, second) = b"id: 1\ndata: a\n\n".split_at(split);
        let mut monitor = ProgressMonitor::new(progress, None, began);
        monitor.on_data(first, began + seconds(1));
        assert_eq!(monitor.expires_at(), Some(began + MAX_GAP));
        monitor.on_data(second, began + seconds(1));
        assert_eq!(monitor.expires_at(), Some(began + seconds(1) + MAX_GAP));
    }
}

#[test]
fn other_bodies() {
    assert!(survives(Progress::Data, b"a"));
    let began = Instant::now();
    let deadline = began + seconds(5);
    let mut monitor = ProgressMonitor::new(Progress::Data, Some(deadline), began);
    monitor.on_data(b"a", began + seconds(4));
    assert_eq!(monitor.expires_at(), Some(deadline));
}

#[test]
fn deadline_of_event_stream() {
    let began = Instant::now();
    let progress = Progress::Event { max_gap: MAX_GAP };
    let deadline = began + seconds(1);
    let monitor = ProgressMonitor::new(progress, Some(deadline), began);
    assert_eq!(monitor.expires_at(), Some(deadline));
}
