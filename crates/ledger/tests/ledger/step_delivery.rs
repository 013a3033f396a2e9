//! Delivery, acknowledgement, publication and takeover.

use crate::owner::{finished_attempt, owner, sample, Owner};
use crate::table::Table;
use dogwoodlb_ledger::*;
use dogwoodlb_types::prelude::*;

/// Guards against a different delivery for a repeated fetch, in a new session or after a takeover.
#[test]
fn repeated_fetch_returns_same_delivery() {
    let mut table = Table::default();
    let mut first = owner(&mut table, 2);
    first.accept_and_flush(&mut table, 1, 2, 5);
    let delivery = first.expect_delivery(&mut table, 1);
    assert_eq!(delivery.samples.len(), 2);
    assert_eq!(first.expect_delivery(&mut table, 1), delivery);
    first.open_session(&mut table);
    assert_eq!(first.expect_delivery(&mut table, 1), delivery);
    // A lower staleness bound of the new owner must not change the delivery.
    let mut second = Owner::take_over(&mut table, 0);
    assert_eq!(second.expect_delivery(&mut table, 1), delivery);
    assert_eq!(second.session, first.session);
}

/// Guards against selecting other attempts for a delivered step after the staleness bound was
/// raised.
#[test]
fn delivered_attempts_are_fixed() {
    let mut table = Table::default();
    let mut first = owner(&mut table, 1);
    first.accept_and_flush(&mut table, 1, 1, 3);
    let start = first.try_publish(6).unwrap();
    let published = first.execute(&mut table, start);
    let stale = vec![sample(1, 0)];
    let version = id::Version(6);
    assert_eq!(published, Completion::Published { version, stale });
    first.ledger.accept(finished_attempt(1, 0, 1, 6)).unwrap();
    let commit = first.flush().unwrap();
    first.execute(&mut table, Start::Commit(commit));
    let delivery = first.expect_delivery(&mut table, 1);
    assert_eq!(delivery.samples[0].attempt, 1);
    let mut second = Owner::take_over(&mut table, 9);
    assert_eq!(second.expect_delivery(&mut table, 1), delivery);
}

/// Guards against delivering a step before the preceding one is acknowledged, or after it is
/// itself acknowledged.
#[test]
fn steps_are_delivered_in_order() {
    let mut table = Table::default();
    let mut owner = owner(&mut table, 1);
    owner.submit(&mut table, 2, 1);
    owner.accept_and_flush(&mut table, 1, 1, 5);
    owner.accept_and_flush(&mut table, 2, 1, 5);
    assert_eq!(owner.try_deliver(2).unwrap_err().code, Code::Conflict);
    let delivery = owner.expect_delivery(&mut table, 1);
    assert_eq!(owner.try_deliver(2).unwrap_err().code, Code::Conflict);
    let other = Delivery {
        delivery: id::Delivery(9),
        ..delivery.clone()
    };
    assert_eq!(
        owner.try_acknowledge(&other).unwrap_err().code,
        Code::Conflict
    );
    for _ in 0..2 {
        let start = owner.try_acknowledge(&delivery).unwrap();
        let completion = owner.execute(&mut table, start);
        assert_eq!(completion, Completion::Acknowledged(id::Step(1)));
    }
    assert_eq!(owner.try_deliver(1).unwrap_err().code, Code::Conflict);
    let next = owner.expect_delivery(&mut table, 2);
    assert!(next.delivery > delivery.delivery);
}

/// Guards against a delivery before all samples are committed.
#[test]
fn delivery_waits_for_all_samples() {
    let mut table = Table::default();
    let mut owner = owner(&mut table, 2);
    let waiting = |accepted| Completion::Waiting {
        progress: Progress { accepted, total: 2 },
        stale: Vec::new(),
    };
    assert_eq!(owner.deliver(&mut table, 1), waiting(0));
    owner.ledger.accept(finished_attempt(1, 0, 0, 5)).unwrap();
    owner.ledger.accept(finished_attempt(1, 1, 0, 5)).unwrap();
    assert_eq!(owner.deliver(&mut table, 1), waiting(2));
}

/// Guards against keeping samples that exceed the staleness bound, measured from their oldest
/// span: at acceptance, in the buffer, in the table, and when the ledger is loaded.
#[test]
fn stale_samples_are_discarded() {
    let mut table = Table::default();
    let mut first = owner(&mut table, 3);
    // The first two tokens come from the version `oldest`, the others from version 5.
    let mixed_versions = |index, oldest| {
        let version = id::Version(oldest);
        let mut attempt = finished_attempt(1, index, 0, 5);
        attempt.spans[0].from = 2;
        attempt.spans.insert(
            0,
            Span {
                version,
                from: 0,
                to: 2,
            },
        );
        attempt
    };
    assert_eq!(
        first.ledger.accept(mixed_versions(0, 2)).unwrap(),
        AcceptOutcome::Stale
    );
    first.ledger.accept(mixed_versions(0, 3)).unwrap();
    let commit = first.flush().unwrap();
    first.execute(&mut table, Start::Commit(commit));
    first.ledger.accept(mixed_versions(1, 3)).unwrap();
    first.ledger.accept(mixed_versions(2, 4)).unwrap();
    let start = first.try_publish(6).unwrap();
    let completion = first.execute(&mut table, start);
    let Completion::Published { mut stale, .. } = completion else {
        panic!("{completion:?}");
    };
    stale.sort();
    assert_eq!(stale, [sample(1, 0), sample(1, 1)]);
    let second = Owner::take_over(&mut table, 2);
    assert_eq!(second.ledger.steps()[0].missing.len(), 3);
}

/// Guards against delivering samples that a lowered staleness bound has made too old since their
/// acceptance.
#[test]
fn lowered_staleness_bound_applies() {
    let mut table = Table::default();
    let mut owner = owner(&mut table, 2);
    owner.accept_and_flush(&mut table, 1, 1, 4);
    owner.ledger.accept(finished_attempt(1, 1, 0, 4)).unwrap();
    let commit = owner.flush().unwrap();
    owner.ledger.set_staleness_bound(0);
    owner.execute(&mut table, Start::Commit(commit));
    let Completion::Waiting { progress, stale } = owner.deliver(&mut table, 1) else {
        panic!("delivered a stale step");
    };
    assert_eq!((progress.accepted, stale.len()), (0, 2));
    let accepted = owner.ledger.accept(finished_attempt(1, 1, 1, 5)).unwrap();
    assert_eq!(accepted, AcceptOutcome::Buffered);
}

/// Guards against publishing a version that makes a delivered step too old before it is
/// acknowledged, and against versions that do not increase.
#[test]
fn publication_keeps_delivered_samples_within_bound() {
    let mut table = Table::default();
    let mut owner = owner(&mut table, 1);
    owner.accept_and_flush(&mut table, 1, 1, 4);
    let delivery = owner.expect_delivery(&mut table, 1);
    assert_eq!(delivery.samples[0].staleness, 1);
    for version in [6, 6] {
        let start = owner.try_publish(version).unwrap();
        owner.execute(&mut table, start);
    }
    assert_eq!(owner.expect_delivery(&mut table, 1), delivery);
    assert_eq!(owner.try_publish(7).unwrap_err().code, Code::Conflict);
    let start = owner.try_acknowledge(&delivery).unwrap();
    owner.execute(&mut table, start);
    let start = owner.try_publish(7).unwrap();
    owner.execute(&mut table, start);
    assert_eq!(owner.try_publish(6).unwrap_err().code, Code::Conflict);
    let operation = owner.operation();
    let other = owner
        .ledger
        .publish(owner.session, id::Version(7), "other", operation);
    assert_eq!(other.unwrap_err().code, Code::Conflict);
}

/// Guards against rows of acknowledged steps that are never deleted, and against deleting rows
/// that are still needed.
#[test]
fn acknowledged_rows_are_deleted() {
    let mut table = Table::default();
    let mut first = owner(&mut table, 2);
    first.submit(&mut table, 2, 1);
    first.accept_and_flush(&mut table, 2, 1, 5);
    first.accept_and_flush(&mut table, 1, 2, 5);
    let delivery = first.expect_delivery(&mut table, 1);
    let start = first.try_acknowledge(&delivery).unwrap();
    first.execute(&mut table, start);
    // A new owner finds the rows of the acknowledged step again.
    for mut owner in [
        Owner::take_over(&mut table, 2),
        Owner::take_over(&mut table, 2),
    ] {
        let operation = owner.operation();
        let Some(Start::Commit(commit)) = owner.ledger.delete_acknowledged(operation) else {
            panic!("no rows to delete");
        };
        let outcome = table.commit(&commit.txn);
        owner.ledger.on_commit(operation, Ok(outcome));
    }
    let keys: Vec<String> = table
        .scan("trainer/")
        .into_iter()
        .map(|row| row.key)
        .collect();
    let expected = [
        "trainer/weld/head",
        "trainer/weld/step/2",
        "trainer/weld/step/2/batch/0",
    ];
    assert_eq!(keys, expected);
    let mut last = Owner::take_over(&mut table, 2);
    let operation = last.operation();
    assert_eq!(last.ledger.delete_acknowledged(operation), None);
}
