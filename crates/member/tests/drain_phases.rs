//! A shutdown must not interrupt requests, must not refuse callers that still have the address
//! cached, and must end.

use dogwoodlb_member::{Drain, DrainAction, DrainPhase};
use dogwoodlb_types::Instant;
use std::time::Duration;

fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

fn refusing() -> Drain {
    let mut drain = Drain::new(Duration::from_secs(5));
    assert_eq!(drain.tick(at(0), 0), []);
    assert!(drain.is_listed());
    assert_eq!(drain.begin(at(0)), [DrainAction::Announce]);
    assert_eq!(drain.begin(at(1)), []);
    assert!(!drain.is_listed());
    // Callers may have cached the address for 5 s.
    assert_eq!(drain.tick(at(5_999), 0), []);
    assert!(!drain.is_refusing());
    assert_eq!(drain.tick(at(6_000), 0), [DrainAction::Refuse]);
    assert!(drain.is_refusing());
    drain
}

/// A request admitted just before new requests are refused must be waited for: earlier counts
/// may miss it.
#[test]
fn late_admission() {
    let mut drain = refusing();
    assert_eq!(drain.phase(), DrainPhase::Refusing);
    assert_eq!(drain.tick(at(6_050), 1), []);
    drain.on_released();
    assert_eq!(drain.tick(at(6_000 + 110_000), 1), []);
    assert_eq!(drain.tick(at(116_001), 0), [DrainAction::ReleaseLeases]);
    drain.on_released();
    assert_eq!(
        drain.tick(at(117_001), 0),
        [DrainAction::Exit { interrupted: 0 }]
    );
    drain.on_released();
    assert_eq!(drain.tick(at(500_000), 0), []);
}

/// The process must not exit as soon as the last request ends: a caller between two requests
/// would get a refused connection instead of the code `leaving`.
#[test]
fn callers_between_requests() {
    let mut drain = refusing();
    assert_eq!(drain.tick(at(7_000), 0), [DrainAction::ReleaseLeases]);
    drain.on_released();
    assert_eq!(drain.tick(at(7_999), 0), []);
    assert!(drain.is_refusing());
    assert_eq!(
        drain.tick(at(8_000), 0),
        [DrainAction::Exit { interrupted: 0 }]
    );
}

/// Neither a stuck request nor an unavailable store must keep the process from exiting.
#[test]
fn bounded_waits() {
    let mut drain = refusing();
    assert_eq!(drain.tick(at(125_999), 3), []);
    assert_eq!(drain.tick(at(126_000), 3), [DrainAction::ReleaseLeases]);
    assert_eq!(drain.tick(at(127_999), 0), []);
    assert_eq!(
        drain.tick(at(128_000), 0),
        [DrainAction::Exit { interrupted: 3 }]
    );
    assert_eq!(drain.phase(), DrainPhase::Stopped);
}
