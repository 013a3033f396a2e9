//! Takeover of a lease: by which candidate, and when.

#[path = "fake/driver.rs"]
mod driver;
#[path = "fake/table.rs"]
mod table;

use dogwoodlb_lease::{Action, Category};
use dogwoodlb_types::id;
use driver::{at, Driver, Fault};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use rstest::rstest;
use table::Table;

/// [`dogwoodlb_lease::TAKEOVER_WAIT`], written out so that a change of it fails a test.
const TAKEOVER_WAIT_MS: u64 = 6_260;
/// [`dogwoodlb_lease::HOLDER_VALIDITY`], likewise.
const HOLDER_VALIDITY_MS: u64 = 5_740;

/// Guards against a takeover while the last renewal of the holder is still valid, and against
/// candidates that compete instead of waiting for those ranked before them.
#[rstest]
#[case(0, TAKEOVER_WAIT_MS)]
#[case(1, TAKEOVER_WAIT_MS + 500)]
#[case(3, TAKEOVER_WAIT_MS + 1_500)]
fn takeover_wait_depends_on_rank(#[case] rank: usize, #[case] wait: u64) {
    let mut table = Table::default();
    let mut first = Driver::new("entry-1", 0);
    assert_eq!(first.run_until_held(0, &mut table), 0);
    let mut second = Driver::new("entry-2", rank);
    let taken = second.run_until_held(1_000, &mut table);
    assert!(
        (1_000 + wait..1_000 + wait + 100).contains(&taken),
        "{taken}"
    );
    assert!(first.lease.held(at(taken)).is_none());
    assert_eq!(second.lease.held(at(taken)).unwrap().fence, id::Fence(2));
    assert_eq!(second.lease.holder().unwrap().vm.as_str(), "entry-2");
}

/// Guards against a candidate that measures its wait from its first read instead of from the last
/// observed renewal, or that sends writes while the holder renews.
#[test]
fn renewal_restarts_wait() {
    let mut table = Table::default();
    let mut first = Driver::new("entry-1", 0);
    let mut second = Driver::new("entry-2", 0);
    for millis in (0..30_000).step_by(100) {
        while first
            .execute_next(millis, &mut table, Fault::None)
            .is_some()
        {}
        while second
            .execute_next(millis, &mut table, Fault::None)
            .is_some()
        {}
        assert!(first.lease.held(at(millis)).is_some());
        assert!(second.lease.held(at(millis)).is_none());
    }
    assert_eq!(second.commits, 0);
    // One renewal every 2 s.
    assert_eq!(first.commits, 15);
}

/// Guards against a takeover after a pause of the candidate that covered its whole wait: the
/// holder may have renewed in the meantime.
#[test]
fn paused_candidate_reads_again() {
    let mut table = Table::default();
    let mut first = Driver::new("entry-1", 0);
    first.run_until_held(0, &mut table);
    let mut second = Driver::new("entry-2", 0);
    while second.execute_next(0, &mut table, Fault::None).is_some() {}
    first.execute_next(9_000, &mut table, Fault::None).unwrap();
    assert!(!second
        .execute_next(10_000, &mut table, Fault::None)
        .unwrap());
    assert!(second
        .execute_next(10_000, &mut table, Fault::None)
        .is_none());
}

/// Guards against a lost reply after which an acquired lease stays unused or is acquired twice,
/// and against a validity that is computed from a time after the write was sent.
#[rstest]
#[case(Fault::ReplyLost, 1, 100)]
#[case(Fault::RequestLost, 2, 1_000)]
#[case(Fault::NotSent, 2, 1_000)]
fn lost_takeover_is_resolved(#[case] fault: Fault, #[case] commits: usize, #[case] sent: u64) {
    let mut table = Table::default();
    let mut first = Driver::new("entry-1", 0);
    first.execute_next(0, &mut table, Fault::None);
    assert!(first.execute_next(100, &mut table, fault).unwrap());
    assert!(first.lease.held(at(1_000)).is_none());
    while first.execute_next(1_000, &mut table, Fault::None).is_some() {}
    let guard = first.lease.held(at(1_000)).unwrap();
    assert_eq!(guard.expires_at, at(sent + HOLDER_VALIDITY_MS));
    assert_eq!(guard.fence, id::Fence(1));
    assert_eq!(
        guard.fence_row_version,
        table.version("lease/trainer/weld/fence")
    );
    assert_eq!(first.commits, commits);
}

/// Guards against acquiring a lease whose fence row is missing: fencing tokens would restart at 1.
#[test]
fn missing_fence_row_is_refused() {
    let mut table = Table::default();
    let mut first = Driver::new("entry-1", 0);
    first.run_until_held(0, &mut table);
    let mut rows = table.scan("lease/");
    rows.retain(|row| row.key.ends_with("/beat"));
    let mut second = Driver::new("entry-2", 0);
    let mut rng = SmallRng::seed_from_u64(1);
    let Some(Action::Read { request_id, .. }) = second.lease.poll(at(0), &mut rng) else {
        panic!("no read");
    };
    let error = second
        .lease
        .on_read(at(0), request_id, Ok(rows))
        .unwrap_err();
    assert_eq!(error.classify(), Category::MalformedRow);
    assert!(second.execute_next(0, &mut table, Fault::None).is_none());
}

/// Guards against a wait that is measured from the start of a slow read: the renewal that the read
/// returns may be more recent.
#[test]
fn wait_starts_at_reply_of_slow_read() {
    let mut table = Table::default();
    let mut second = Driver::new("entry-2", 0);
    let mut rng = SmallRng::seed_from_u64(1);
    let Some(Action::Read { request_id, prefix }) = second.lease.poll(at(0), &mut rng) else {
        panic!("no read");
    };
    Driver::new("entry-1", 0).run_until_held(800, &mut table);
    let rows = table.scan(&prefix);
    second.lease.on_read(at(900), request_id, Ok(rows)).unwrap();
    let taken = second.run_until_held(900, &mut table);
    assert!(taken >= 900 + TAKEOVER_WAIT_MS, "{taken}");
}
