//! Guards against two nodes sending orders to one replica within the lease time.

use dogwoodlb_weights::{Claim, ORDER_WINDOW};
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(3);

#[test]
fn other_node_waits_for_expiry() {
    let claim = Claim {
        node: "a".into(),
        at_ms: 1_000,
    };
    let over = 1_000 + (ORDER_WINDOW + LEASE).as_millis() as u64;
    assert!(claim.check_available("b", over - 1, LEASE).is_err());
    assert!(claim.check_available("b", over, LEASE).is_ok());
    assert!(claim.check_available("a", 1_001, LEASE).is_ok());
}

#[test]
fn clock_earlier_than_claim() {
    let claim = Claim {
        node: "a".into(),
        at_ms: 9_000,
    };
    let error = claim.check_available("b", 2_000, LEASE).unwrap_err();
    assert_eq!(error.wait, ORDER_WINDOW + LEASE);
}
