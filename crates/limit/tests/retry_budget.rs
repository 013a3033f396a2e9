//! The retry budget.

use dogwoodlb_limit::RetryBudget;
use dogwoodlb_types::Instant;
use rstest::rstest;

/// Retries that multiply the load of a failing upstream.
#[rstest]
#[case::idle(0, 10)]
#[case::busy(200, 10)]
fn bounded_retries(#[case] per_second: u64, #[case] seconds: u64) {
    let mut budget = RetryBudget::new(Instant::from_millis(0));
    let mut retries = 0;
    for milli in 0..seconds * 1_000 {
        if per_second > 0 && milli % (1_000 / per_second) == 0 {
            budget.on_request();
        }
        while retries < 1_000 && budget.try_retry(Instant::from_millis(milli)) {
            retries += 1;
        }
    }
    let most = seconds * 3 + seconds * per_second / 10;
    assert!((most - 1..=most).contains(&retries), "{retries} of {most}");
}

/// A quiet night saved up as a burst of retries.
#[test]
fn bounded_savings() {
    let mut budget = RetryBudget::new(Instant::from_millis(0));
    let now = Instant::from_millis(36_000_000);
    let retries = std::iter::repeat_with(|| budget.try_retry(now));
    assert_eq!(retries.take(100).filter(|&taken| taken).count(), 30);
}

/// A clock that is read out of order and fills the budget twice.
#[test]
fn earlier_instant() {
    let mut budget = RetryBudget::new(Instant::from_millis(0));
    assert!(budget.try_retry(Instant::from_millis(334)));
    assert!(!budget.try_retry(Instant::from_millis(0)));
    assert!(!budget.try_retry(Instant::from_millis(334)));
}
