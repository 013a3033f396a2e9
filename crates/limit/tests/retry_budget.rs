//! The retry budget.

use dogwoodlb_limit::RetryBudget;
use dogwoodlb_types::Instant;
use rstest::rstest;

/// Retries must not multiply the load on a failing upstream.
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
    let max_retries = seconds * 3 + seconds * per_second / 10;
    assert!(
        (max_retries - 1..=max_retries).contains(&retries),
        "{retries} of {max_retries}"
    );
}

/// Tokens accumulated while idle must not allow an unbounded burst of retries.
#[test]
fn bounded_accumulation() {
    let mut budget = RetryBudget::new(Instant::from_millis(0));
    let now = Instant::from_millis(36_000_000);
    let retries = std::iter::repeat_with(|| budget.try_retry(now));
    assert_eq!(retries.take(100).filter(|&taken| taken).count(), 30);
}

/// Instants passed out of order must not refill the budget twice.
#[test]
fn earlier_instant() {
    let mut budget = RetryBudget::new(Instant::from_millis(0));
    assert!(budget.try_retry(Instant::from_millis(334)));
    assert!(!budget.try_retry(Instant::from_millis(0)));
    assert!(!budget.try_retry(Instant::from_millis(334)));
}
