//! The bandwidth limiter of the link between regions.

use dogwoodlb_limit::{LinkDecision, LinkLimiter};
use dogwoodlb_types::prelude::*;

const SHARE_BYTES_PER_S: u64 = 1_000_000;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Customers must never be held back by the traffic of samples; background traffic must be.
#[test]
fn class_order() {
    let mut link = LinkLimiter::new(SHARE_BYTES_PER_S, at(0));
    assert_eq!(
        link.admit(Class::Trainer, SHARE_BYTES_PER_S * 4 / 5, at(0)),
        LinkDecision::Send
    );
    let LinkDecision::Refuse(refusal) = link.admit(Class::Background, 1, at(0)) else {
        panic!("background traffic must be refused");
    };
    assert_eq!(refusal.execution, Execution::NotRun);
    assert_eq!(
        link.admit(Class::Customer, SHARE_BYTES_PER_S, at(0)),
        LinkDecision::Send
    );
    let LinkDecision::Wait(wait) = link.admit(Class::Trainer, 1, at(0)) else {
        panic!("samples must wait once the share is used");
    };
    assert!(matches!(
        link.admit(Class::Trainer, 1, at(0) + wait / 2),
        LinkDecision::Wait(_)
    ));
    assert_eq!(
        link.admit(Class::Trainer, 1, at(0) + wait),
        LinkDecision::Send
    );
}

/// Samples and weights must not exceed the share on average.
#[test]
fn average_rate() {
    let mut link = LinkLimiter::new(SHARE_BYTES_PER_S, at(0));
    for milli in 0..20_000 {
        link.admit(Class::Trainer, 50_000, at(milli));
        link.admit(Class::Background, 1_000, at(milli));
    }
    let sent = link.sent(Class::Trainer) + link.sent(Class::Background);
    assert!(sent <= SHARE_BYTES_PER_S * 21 + 50_000, "sent {sent}");
    assert!(
        link.sent(Class::Trainer) >= SHARE_BYTES_PER_S * 20,
        "the share is not fully used"
    );
}

/// A burst of customer traffic must not block trainers for long afterwards.
#[test]
fn bounded_debt() {
    let mut link = LinkLimiter::new(SHARE_BYTES_PER_S, at(0));
    for _ in 0..100 {
        assert_eq!(
            link.admit(Class::Customer, SHARE_BYTES_PER_S, at(0)),
            LinkDecision::Send
        );
    }
    assert!(matches!(
        link.admit(Class::Trainer, 1, at(1_900)),
        LinkDecision::Wait(_)
    ));
    assert_eq!(link.admit(Class::Trainer, 1, at(2_100)), LinkDecision::Send);
    assert_eq!(link.sent(Class::Customer), SHARE_BYTES_PER_S * 100);
}

/// A trainer's message larger than the share must be sent and not be starved by smaller ones. A
/// background message too large for the share must be refused without an arithmetic overflow.
#[test]
fn large_message() {
    let mut link = LinkLimiter::new(SHARE_BYTES_PER_S, at(0));
    assert_eq!(
        link.admit(Class::Trainer, SHARE_BYTES_PER_S * 5, at(0)),
        LinkDecision::Send
    );
    assert!(matches!(
        link.admit(Class::Trainer, 1, at(1_000)),
        LinkDecision::Wait(_)
    ));
    let refused = link.admit(Class::Background, u64::MAX, at(60_000));
    assert!(matches!(refused, LinkDecision::Refuse(_)));
}
