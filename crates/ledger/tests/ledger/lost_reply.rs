//! Read-back after an ambiguous reply, and transactions of a former owner.

use crate::owner::{ambiguous_error, content, finished_attempt, owner, trainer, Owner};
use crate::table::Table;
use dogwoodlb_external::table::{Check, Outcome, Row};
use dogwoodlb_ledger::*;
use dogwoodlb_types::prelude::*;
use rstest::rstest;

type BeginOperation = fn(&mut Owner) -> Start;

fn begin_session(owner: &mut Owner) -> Start {
    let operation = owner.operation();
    owner.ledger.open_session(operation).unwrap()
}

fn begin_submit(owner: &mut Owner) -> Start {
    owner.try_submit(3, &content(1)).unwrap()
}

fn begin_flush(owner: &mut Owner) -> Start {
    owner.ledger.accept(finished_attempt(2, 0, 0, 5)).unwrap();
    Start::Commit(owner.flush().unwrap())
}

fn begin_deliver(owner: &mut Owner) -> Start {
    owner.try_deliver(1).unwrap()
}

fn begin_publish(owner: &mut Owner) -> Start {
    owner.try_publish(6).unwrap()
}

fn read_back(table: &Table, owner: &mut Owner, next: Next) -> Next {
    let Next::ReadBack { operation, key } = next else {
        panic!("{next:?}");
    };
    let failed = owner.ledger.on_read_back(operation, Err(ambiguous_error()));
    assert!(matches!(failed, Next::ReadBack { .. }));
    let row = table.scan(&key).into_iter().find(|row| row.key == key);
    owner.ledger.on_read_back(operation, Ok(row))
}

fn begin_operation(begin: BeginOperation) -> (Table, Owner, Commit) {
    let mut table = Table::default();
    let mut owner = owner(&mut table, 1);
    owner.submit(&mut table, 2, 1);
    owner.accept_and_flush(&mut table, 1, 1, 5);
    let Start::Commit(commit) = begin(&mut owner) else {
        panic!("no transaction");
    };
    (table, owner, commit)
}

/// Guards against an ambiguous reply after which an operation is repeated although it was
/// applied, abandoned although it was not, or applied twice because a copy arrives late.
#[rstest]
#[case(begin_session)]
#[case(begin_submit)]
#[case(begin_flush)]
#[case(begin_deliver)]
#[case(begin_publish)]
fn outcome_is_read_back(#[case] begin: BeginOperation, #[values(true, false)] applied: bool) {
    let (mut table, mut owner, commit) = begin_operation(begin);
    if applied {
        table.commit(&commit.txn);
    }
    let next = owner
        .ledger
        .on_commit(commit.operation, Err(ambiguous_error()));
    let mut next = read_back(&table, &mut owner, next);
    if !applied {
        let Next::Resend(resent) = next else {
            panic!("{next:?}");
        };
        assert_eq!(resent.txn, commit.txn);
        // The delayed first copy arrives before the second one.
        table.commit(&commit.txn);
        let outcome = table.commit(&resent.txn);
        assert!(matches!(outcome, Outcome::Conflict { .. }));
        next = owner.ledger.on_commit(commit.operation, Ok(outcome));
        next = read_back(&table, &mut owner, next);
    }
    assert!(matches!(next, Next::Done(_)), "{next:?}");
    assert!(!owner.ledger.is_busy());
    // The versions in memory are correct, so the next transaction is applied.
    owner.open_session(&mut table);
}

/// Guards against a former owner that writes after a takeover or reports the wrong outcome.
#[rstest]
#[case(begin_session)]
#[case(begin_submit)]
#[case(begin_flush)]
#[case(begin_deliver)]
#[case(begin_publish)]
fn former_owner_conflicts(
    #[case] begin: BeginOperation,
    #[values(true, false)] first_reply_ambiguous: bool,
) {
    let (mut table, mut former, commit) = begin_operation(begin);
    let before = table.scan("trainer/");
    Owner::take_over(&mut table, 2);
    let mut operation = commit.operation;
    if first_reply_ambiguous {
        let next = former.ledger.on_commit(operation, Err(ambiguous_error()));
        let Next::Resend(resent) = read_back(&table, &mut former, next) else {
            panic!("transaction not resent");
        };
        operation = resent.operation;
    }
    let outcome = table.commit(&commit.txn);
    let next = former.ledger.on_commit(operation, Ok(outcome));
    let Next::OwnershipLost(refusal) = read_back(&table, &mut former, next) else {
        panic!("ownership not lost");
    };
    let execution = if first_reply_ambiguous {
        Execution::MayHaveRun
    } else {
        Execution::NotRun
    };
    assert_eq!(
        (refusal.code, refusal.execution),
        (Code::WrongNode, execution)
    );
    assert_eq!(table.scan("trainer/"), before);
    assert!(former.ledger.has_lost_ownership());
    assert_eq!(former.try_deliver(1).unwrap_err().code, Code::WrongNode);
}

/// Guards against a late reply to another operation that completes the one in flight.
#[test]
fn other_replies_are_ignored() {
    let (mut table, mut owner, commit) = begin_operation(begin_publish);
    let other = id::Operation(77);
    let reply = Outcome::Applied { version: 999 };
    assert_eq!(owner.ledger.on_commit(other, Ok(reply)), Next::Ignored);
    assert_eq!(
        owner.ledger.on_read_back(commit.operation, Ok(None)),
        Next::Ignored
    );
    let done = owner.execute(&mut table, Start::Commit(commit));
    assert!(matches!(done, Completion::Published { .. }));
}

fn reload(rows: &[Row]) -> Result<Ledger> {
    let settings = Settings {
        trainer: trainer(),
        staleness_bound: 2,
        initial_version: id::Version(5),
        max_buffer_bytes: 0,
    };
    let key = "lease/trainer/weld/fence".to_owned();
    Ledger::load(settings, Check { key, version: 1 }, rows)
}

/// Guards against delivering a step whose rows are missing, inconsistent or truncated.
#[test]
fn invalid_rows_are_refused() {
    let mut table = Table::default();
    let mut owner = owner(&mut table, 1);
    owner.accept_and_flush(&mut table, 1, 1, 5);
    owner.expect_delivery(&mut table, 1);
    let rows = table.scan("trainer/");
    for (removed, category) in [
        ("batch", Category::Invariant),
        ("step/1", Category::Invariant),
    ] {
        let remaining: Vec<_> = rows
            .iter()
            .filter(|row| !row.key.contains(removed))
            .cloned()
            .collect();
        let error = reload(&remaining).unwrap_err();
        assert_eq!(error.classify(), category);
    }
    let mut truncated = rows.clone();
    truncated[0].value.truncate(10);
    let error = reload(&truncated).unwrap_err();
    assert_eq!(error.classify(), Category::Malformed);
    assert_eq!(error.key(), Some("trainer/weld/head"));
}
