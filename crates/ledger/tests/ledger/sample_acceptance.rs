//! Acceptance of samples and their commit in batches.

use crate::owner::{finished_attempt, owner, sample};
use crate::table::Table;
use dogwoodlb_ledger::*;
use dogwoodlb_types::prelude::*;
use rstest::rstest;

/// Guards against accepting samples whose spans do not cover their tokens exactly.
#[rstest]
#[case(&[], 4)]
#[case(&[(0, 2), (3, 4)], 4)]
#[case(&[(0, 3), (2, 4)], 4)]
#[case(&[(0, 4)], 5)]
fn spans_must_cover_all_tokens(#[case] spans: &[(u32, u32)], #[case] tokens: u32) {
    let mut table = Table::default();
    let mut owner = owner(&mut table, 1);
    let version = id::Version(5);
    let spans = spans.iter().map(|&(from, to)| Span { version, from, to });
    let attempt = FinishedAttempt {
        tokens,
        spans: spans.collect(),
        ..finished_attempt(1, 0, 0, 5)
    };
    assert_eq!(
        owner.ledger.accept(attempt).unwrap(),
        AcceptOutcome::InvalidSpans
    );
    assert_eq!(owner.ledger.counts().invalid_spans, 1);
    assert_eq!(owner.ledger.steps()[0].missing, [sample(1, 0)]);
}

/// Guards against a second attempt that replaces or duplicates the first: while the first is
/// buffered, in flight or committed.
#[test]
fn first_attempt_wins() {
    let mut table = Table::default();
    let mut owner = owner(&mut table, 1);
    owner.ledger.accept(finished_attempt(1, 0, 7, 5)).unwrap();
    let buffered = owner.ledger.accept(finished_attempt(1, 0, 8, 5)).unwrap();
    let commit = owner.flush().unwrap();
    let in_flight = owner.ledger.accept(finished_attempt(1, 0, 9, 5)).unwrap();
    owner.execute(&mut table, Start::Commit(commit));
    let stored = owner.ledger.accept(finished_attempt(1, 0, 10, 5)).unwrap();
    assert_eq!([buffered, in_flight, stored], [AcceptOutcome::Duplicate; 3]);
    assert_eq!(owner.expect_delivery(&mut table, 1).samples[0].attempt, 7);
}

/// Guards against one transaction per sample and against flushes less than 200 ms apart.
#[test]
fn samples_are_committed_in_batches() {
    let mut table = Table::default();
    let mut owner = owner(&mut table, 3);
    owner.submit(&mut table, 2, 1);
    for (step, index) in [(1, 0), (2, 0), (1, 1)] {
        owner
            .ledger
            .accept(finished_attempt(step, index, 0, 5))
            .unwrap();
    }
    let commit = owner.flush().unwrap();
    assert_eq!((commit.txn.puts.len(), commit.objects.len()), (2, 1));
    let bodies = decode_bodies(&commit.objects[0].body).unwrap();
    assert_eq!(bodies, ["body 1/0/0", "body 2/0/0", "body 1/1/0"]);
    owner.execute(&mut table, Start::Commit(commit));
    owner.ledger.accept(finished_attempt(1, 2, 0, 5)).unwrap();
    let early = owner
        .ledger
        .flush(Instant::from_millis(399), id::Operation(99));
    assert_eq!(early, None);
    let due = owner
        .ledger
        .flush(Instant::from_millis(400), id::Operation(99));
    assert!(due.is_some());
}

/// Guards against a second transaction while one is in flight.
#[test]
fn one_transaction_in_flight() {
    let mut table = Table::default();
    let mut owner = owner(&mut table, 2);
    owner.ledger.accept(finished_attempt(1, 0, 0, 5)).unwrap();
    owner.flush().unwrap();
    assert!(owner.ledger.is_busy());
    assert_eq!(
        owner.ledger.accept(finished_attempt(1, 1, 0, 5)).unwrap(),
        AcceptOutcome::Buffered
    );
    assert!(owner.flush().is_none());
    assert_eq!(owner.try_publish(6).unwrap(), Start::Busy);
    assert_eq!(owner.try_deliver(1).unwrap(), Start::Busy);
    let operation = owner.operation();
    assert_eq!(owner.ledger.open_session(operation).unwrap(), Start::Busy);
}

/// Guards against a buffer that grows without limit while the store is unavailable.
#[test]
fn buffer_is_bounded() {
    let mut table = Table::default();
    let mut owner = owner(&mut table, 2);
    let large = FinishedAttempt {
        body: "x".repeat(4_000),
        ..finished_attempt(1, 0, 0, 5)
    };
    let refusal = owner.ledger.accept(large).unwrap_err();
    assert_eq!(
        (refusal.code, refusal.execution),
        (Code::Overloaded, Execution::NotRun)
    );
    assert_eq!(
        owner.ledger.accept(finished_attempt(1, 0, 1, 5)).unwrap(),
        AcceptOutcome::Buffered
    );
    assert!(owner.ledger.buffered_bytes() <= 4_096);
}

/// Guards against batch rows that grow with the size of the step, and against accepting a sample
/// that no open step has.
#[test]
fn batch_rows_are_bounded() {
    let mut table = Table::default();
    let mut owner = owner(&mut table, 1_024);
    let mut flush_count = 0;
    for index in 0..1_024 {
        if owner.ledger.buffered_bytes() > 3_500 {
            let commit = owner.flush().unwrap();
            owner.execute(&mut table, Start::Commit(commit));
            flush_count += 1;
        }
        owner
            .ledger
            .accept(finished_attempt(1, index, 0, 5))
            .unwrap();
    }
    owner.accept_and_flush(&mut table, 1, 0, 5);
    owner.expect_delivery(&mut table, 1);
    assert!(flush_count > 0);
    let rows = table.scan("trainer/weld/");
    assert!(rows.iter().all(|row| row.value.len() < 32_768));
    let unknown = owner
        .ledger
        .accept(finished_attempt(1, 1_024, 0, 5))
        .unwrap_err();
    assert_eq!(unknown.code, Code::NotFound);
}
