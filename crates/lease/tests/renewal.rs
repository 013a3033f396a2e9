//! Renewal, loss and release of a lease by its holder.

#[path = "fake/driver.rs"]
mod driver;
#[path = "fake/table.rs"]
mod table;

use dogwoodlb_types::id;
use driver::{at, Driver, Fault};
use rstest::rstest;
use table::Table;

/// [`dogwoodlb_lease::HOLDER_VALIDITY`], written out so that a change of it fails a test.
const HOLDER_VALIDITY_MS: u64 = 5_740;

fn holder(table: &mut Table) -> Driver {
    let mut driver = Driver::new("entry-1", 0);
    driver.run_until_held(0, table);
    driver
}

/// Guards against a holder that acts after its lease has expired.
#[test]
fn holder_stops_without_renewal() {
    let mut table = Table::default();
    let first = holder(&mut table);
    assert!(first.lease.held(at(HOLDER_VALIDITY_MS - 1)).is_some());
    assert!(first.lease.held(at(HOLDER_VALIDITY_MS)).is_none());
}

/// Guards against a renewal that is lost, that is sent twice with different content, or whose
/// validity is computed from the time of the reply.
#[rstest]
#[case(Fault::ReplyLost, 2, 2_000)]
#[case(Fault::RequestLost, 3, 2_500)]
#[case(Fault::NotSent, 3, 2_500)]
fn lost_renewal_is_resent(#[case] fault: Fault, #[case] commits: usize, #[case] sent: u64) {
    let mut table = Table::default();
    let mut first = holder(&mut table);
    assert!(first.execute_next(2_000, &mut table, fault).unwrap());
    if fault != Fault::NotSent {
        assert!(!first.execute_next(2_500, &mut table, Fault::None).unwrap());
    }
    first.execute_next(2_500, &mut table, Fault::None);
    assert_eq!(first.commits, commits);
    assert_eq!(
        first.lease.held(at(2_500)).unwrap().expires_at,
        at(sent + HOLDER_VALIDITY_MS)
    );
}

/// Guards against a holder that resumes after a pause and assumes that it still holds the lease.
#[test]
fn paused_holder_is_replaced() {
    let mut table = Table::default();
    let mut first = holder(&mut table);
    let stale = first.lease.held(at(0)).unwrap();
    let mut second = Driver::new("entry-2", 0);
    let taken = second.run_until_held(100, &mut table);
    assert!(first.lease.held(at(taken)).is_none());
    assert_ne!(
        stale.fence_row_version,
        table.version("lease/trainer/weld/fence")
    );
    while first.execute_next(taken, &mut table, Fault::None).is_some() {}
    assert!(first.lease.held(at(taken)).is_none());
    assert_eq!(first.lease.holder().unwrap().fence, id::Fence(2));
}

/// Guards against a holder that loses its fencing token, and therefore its ledger, in an outage
/// during which no other candidate acquired the lease.
#[test]
fn holder_keeps_fence_after_outage() {
    let mut table = Table::default();
    let mut first = holder(&mut table);
    let before = first.lease.held(at(0)).unwrap();
    for millis in (2_000..20_000).step_by(100) {
        first.execute_next(millis, &mut table, Fault::RequestLost);
    }
    assert!(first.lease.held(at(20_000)).is_none());
    let renewed_at = first.run_until_held(20_000, &mut table);
    let after = first.lease.held(at(renewed_at)).unwrap();
    assert_eq!(
        (after.fence, after.fence_row_version),
        (before.fence, before.fence_row_version)
    );
}

/// Guards against all nodes writing at the same moment when the store recovers.
#[test]
fn writes_are_spread_after_outage() {
    // When each holder holds the lease again after the outage.
    let renewed_ms: Vec<u64> = (0..20)
        .map(|seed| {
            let mut table = Table::default();
            let mut driver = Driver::seeded("entry-1", 0, seed);
            driver.run_until_held(0, &mut table);
            for millis in (2_000..20_000).step_by(100) {
                driver.execute_next(millis, &mut table, Fault::RequestLost);
            }
            driver.run_until_held(20_000, &mut table)
        })
        .collect();
    assert!(
        renewed_ms.iter().all(|millis| *millis <= 22_600),
        "{renewed_ms:?}"
    );
    let spread = renewed_ms.iter().max().unwrap() - renewed_ms.iter().min().unwrap();
    assert!(spread >= 1_000, "{renewed_ms:?}");
}

/// Guards against waiting for the expiry of a lease that was released on shutdown, and against a
/// holder that acts after the release.
#[rstest]
#[case(Fault::None)]
#[case(Fault::ReplyLost)]
#[case(Fault::RequestLost)]
fn released_lease_is_acquired_at_once(#[case] fault: Fault) {
    let mut table = Table::default();
    let mut first = holder(&mut table);
    first.lease.release();
    assert!(first.lease.held(at(500)).is_none());
    assert!(first.execute_next(500, &mut table, fault).unwrap());
    while first.execute_next(600, &mut table, Fault::None).is_some() {}
    assert!(first.lease.is_released());
    let mut second = Driver::new("entry-2", 0);
    assert_eq!(second.run_until_held(700, &mut table), 700);
    assert_eq!(second.lease.held(at(700)).unwrap().fence, id::Fence(2));
}

/// Guards against a candidate that competes after its release.
#[test]
fn released_candidate_stops() {
    let mut table = Table::default();
    let mut driver = Driver::new("entry-1", 0);
    driver.lease.release();
    assert!(driver.lease.is_released());
    assert!(driver.execute_next(0, &mut table, Fault::None).is_none());
}

/// Guards against margins that a clock-rate error of 1% exhausts: a holder with the slowest clock
/// must stop before a candidate with the fastest clock takes over, even if the candidate read the
/// renewal at the moment it was sent.
#[test]
fn margins_cover_clock_rate_error() {
    let mut table = Table::default();
    let first = holder(&mut table);
    let mut second = Driver::new("entry-2", 0);
    while second.execute_next(0, &mut table, Fault::None).is_some() {}
    let slowest = |real: u64| at(real * 99 / 100);
    let fastest = |real: u64| real * 101 / 100;
    let expires_at = (0..10_000).find(|real| first.lease.held(slowest(*real)).is_none());
    let taken_at = (0..10_000).find(|real| {
        while second
            .execute_next(fastest(*real), &mut table, Fault::None)
            .is_some()
        {}
        second.lease.held(at(fastest(*real))).is_some()
    });
    assert!(
        expires_at.unwrap() < taken_at.unwrap(),
        "{expires_at:?} {taken_at:?}"
    );
}
