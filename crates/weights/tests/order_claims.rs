//! Guards against two nodes sending orders to one replica within the lease time.

use dogwoodlb_weights::{Claim, StoreTime, ORDER_WINDOW};
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(3);
/// The time for which a claim keeps other nodes from sending orders.
const RESERVED: Duration = ORDER_WINDOW.saturating_add(LEASE);

/// The store's time for a node that has long seen its clock run steadily.
fn steady(earliest_ms: u64) -> StoreTime {
    StoreTime {
        earliest_ms,
        steady_for: Duration::from_secs(3_600),
        max_jump: Duration::MAX,
    }
}

#[test]
fn other_node_waits_for_expiry() {
    let claim = Claim {
        node: "a".into(),
        at_ms: 1_000,
    };
    let over = 1_000 + RESERVED.as_millis() as u64;
    assert!(claim.check_available("b", steady(over - 1), LEASE).is_err());
    assert!(claim.check_available("b", steady(over), LEASE).is_ok());
    assert!(claim.check_available("a", steady(1_001), LEASE).is_ok());
}

#[test]
fn clock_earlier_than_claim() {
    let claim = Claim {
        node: "a".into(),
        at_ms: 9_000,
    };
    let held = claim.check_available("b", steady(2_000), LEASE);
    assert_eq!(held.unwrap_err().wait, RESERVED);
}

/// A clock that has jumped ahead makes a claim seem older than it is.
#[test]
fn clock_jump() {
    let claim = Claim {
        node: "a".into(),
        at_ms: 1_000,
    };
    let jumped = |steady_for| StoreTime {
        earliest_ms: 60_000,
        steady_for,
        max_jump: Duration::MAX,
    };
    let second = Duration::from_secs(1);
    let held = claim.check_available("b", jumped(second), LEASE);
    assert_eq!(held.unwrap_err().wait, RESERVED - second);
    assert!(claim.check_available("b", jumped(RESERVED), LEASE).is_ok());
    let unread = jumped(Duration::ZERO);
    assert!(claim.check_available("a", unread, LEASE).is_ok());
}

/// A node that has just started must not wait for a claim that no jump can make as old as it seems.
#[test]
fn old_claim_at_start() {
    let claim = Claim {
        node: "a".into(),
        at_ms: 1_000,
    };
    let max_jump = Duration::from_secs(5);
    let started = |earliest_ms| StoreTime {
        earliest_ms,
        steady_for: Duration::ZERO,
        max_jump,
    };
    let over = 1_000 + (RESERVED + max_jump).as_millis() as u64;
    let held = claim.check_available("b", started(over - 1), LEASE);
    assert_eq!(held.unwrap_err().wait, Duration::from_millis(1));
    assert!(claim.check_available("b", started(over), LEASE).is_ok());
}
