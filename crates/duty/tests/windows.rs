//! Guards against windows that are left out, decided twice or out of order, and against rows that
//! are removed before their report is acknowledged.

use dogwoodlb_duty::{Progress, Schedule, Task, Windows};
use rstest::rstest;
use std::time::Duration;

const SCHEDULE: Schedule = Schedule {
    length: Duration::from_secs(5),
    decide_after: Duration::from_secs(4),
    keep: Duration::from_secs(60),
};

#[rstest]
#[case::before_the_end((10, 10, 10), 58_999, Task::Wait)]
#[case::due((10, 10, 10), 59_000, Task::Decide(10))]
#[case::unacknowledged_first((11, 10, 10), 64_000, Task::Send(10))]
#[case::kept((11, 11, 10), 60_000, Task::Wait)]
#[case::oldest_of_many((11, 11, 10), 500_000, Task::Decide(11))]
#[case::expired((25, 25, 10), 120_000, Task::Remove(10))]
#[case::never_unacknowledged((25, 25, 25), 133_000, Task::Wait)]
fn order(#[case] stored: (u64, u64, u64), #[case] unix_ms: u64, #[case] expected: Task) {
    let stored = Progress {
        undecided: stored.0,
        unacknowledged: stored.1,
        unremoved: stored.2,
    };
    assert_eq!(Windows::new(SCHEDULE, stored).next(unix_ms), expected);
}

/// An acknowledgement is stored with the next claim only. Until then, the stored progress must not
/// undo it, and the loss of the row must not make it cover a window that is decided anew.
#[test]
fn acknowledged_before_stored() {
    let first = SCHEDULE.first_progress(50_000);
    let mut windows = Windows::new(SCHEDULE, first);
    let decided = windows.progress_after_decision(10);
    windows.on_progress(decided);
    windows.on_acknowledged(10);
    windows.on_progress(decided);
    assert_eq!(windows.next(59_000), Task::Wait);
    windows.on_progress(first);
    assert_eq!(windows.next(59_000), Task::Decide(10));
}
