//! Guards against a process that shuts down accepting requests that its exit cuts off, and against
//! it refusing those that surely end before.

use dogwoodlb_limit::DrainAdmission;
use dogwoodlb_types::Instant;
use rstest::rstest;

/// The process shuts down at this time.
const EXIT: Instant = Instant::from_millis(100_000);

fn draining() -> DrainAdmission {
    let mut admission = DrainAdmission::default();
    admission.begin(EXIT);
    admission
}

/// No request lasts longer than its caller waits, and some last as long.
#[rstest]
#[case::before_exit(1, true)]
#[case::at_exit(100_000, true)]
#[case::after_exit(100_001, false)]
#[case::long_after_exit(1_000_000, false)]
fn caller_deadline(#[case] deadline_ms: u64, #[case] is_admitted: bool) {
    let deadline = Instant::from_millis(deadline_ms);
    assert_eq!(draining().admits(Some(deadline)), is_admitted);
}

/// The request may take any time.
#[test]
fn no_deadline() {
    assert!(!draining().admits(None));
}

/// A process that serves accepts all requests.
#[test]
fn serving_process() {
    let admission = DrainAdmission::default();
    assert!(admission.admits(None));
    assert!(admission.admits(Some(EXIT)));
}
