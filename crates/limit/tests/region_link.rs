//! The byte budget of the link between regions.

use dogwoodlb_limit::{LinkDecision, LinkLimiter};
use dogwoodlb_types::prelude::*;

const SHARE: u64 = 1_000_000;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Customers that are stopped by the bytes of samples, or background work that isn't.
#[test]
fn class_order() {
    let mut link = LinkLimiter::new(SHARE, at(0));
    assert_eq!(
        link.admit(Class::Trainer, SHARE * 4 / 5, at(0)),
        LinkDecision::Send
    );
    let LinkDecision::Refuse(refusal) = link.admit(Class::Background, 1, at(0)) else {
        panic!("background work must leave room");
    };
    assert_eq!(refusal.ran, Ran::NotRun);
    assert_eq!(
        link.admit(Class::Customer, SHARE, at(0)),
        LinkDecision::Send
    );
    let LinkDecision::Wait(wait) = link.admit(Class::Trainer, 1, at(0)) else {
        panic!("samples wait at the limit");
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

/// Samples and weights that take more than the share over time.
#[test]
fn average_rate() {
    let mut link = LinkLimiter::new(SHARE, at(0));
    for milli in 0..20_000 {
        link.admit(Class::Trainer, 50_000, at(milli));
        link.admit(Class::Background, 1_000, at(milli));
    }
    let sent = link.sent(Class::Trainer) + link.sent(Class::Background);
    assert!(sent <= SHARE * 21 + 50_000, "sent {sent}");
    assert!(
        link.sent(Class::Trainer) >= SHARE * 20,
        "the share is not used"
    );
}

/// A burst of customers that stops trainers long after it.
#[test]
fn bounded_debt() {
    let mut link = LinkLimiter::new(SHARE, at(0));
    for _ in 0..100 {
        assert_eq!(
            link.admit(Class::Customer, SHARE, at(0)),
            LinkDecision::Send
        );
    }
    assert!(matches!(
        link.admit(Class::Trainer, 1, at(1_900)),
        LinkDecision::Wait(_)
    ));
    assert_eq!(link.admit(Class::Trainer, 1, at(2_100)), LinkDecision::Send);
    assert_eq!(link.sent(Class::Customer), SHARE * 100);
}

/// Small samples that hold up a large one forever.
#[test]
fn large_message() {
    let mut link = LinkLimiter::new(SHARE, at(0));
    assert_eq!(
        link.admit(Class::Trainer, SHARE * 5, at(0)),
        LinkDecision::Send
    );
    assert!(matches!(
        link.admit(Class::Trainer, 1, at(1_000)),
        LinkDecision::Wait(_)
    ));
    let refused = link.admit(Class::Background, u64::MAX, at(60_000));
    assert!(matches!(refused, LinkDecision::Refuse(_)));
}
