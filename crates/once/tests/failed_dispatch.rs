//! Failed dispatches, and the expiry of a key.

#[path = "common/calls.rs"]
mod common;

use common::{
    applied, at, call, completed_row, failure, refusal, reply, start_with_row, written_row,
    DEADLINE,
};
use dogwoodlb_external::Category;
use dogwoodlb_once::{execution_after_failure, is_expired, KEY_TTL};
use dogwoodlb_types::prelude::*;
use rstest::rstest;

/// Guards against reporting "not run" after a failure that leaves the execution unknown.
#[rstest]
#[case(Category::NotSent, Execution::NotRun)]
#[case(Category::Refused, Execution::NotRun)]
#[case(Category::Ambiguous, Execution::MayHaveRun)]
#[case(Category::InvalidResponse, Execution::MayHaveRun)]
#[case(Category::Cancelled, Execution::MayHaveRun)]
fn dispatch_failures_are_classified(#[case] category: Category, #[case] expected: Execution) {
    assert_eq!(execution_after_failure(category), expected);
    let mut call = call(1, b"{}");
    call.poll(at(0));
    call.on_commit(&applied(1), at(0)).unwrap();
    let actions = call.on_dispatch(&failure(category), at(5)).unwrap();
    assert_eq!(refusal(&actions).execution, expected);
}

/// Guards against a retry that waits for an outcome although the row records it as unknown.
#[test]
fn unknown_outcome_is_final() {
    let mut first = call(1, b"{}");
    first.poll(at(0));
    first.on_commit(&applied(1), at(0)).unwrap();
    let actions = first
        .on_dispatch(&failure(Category::Ambiguous), DEADLINE)
        .unwrap();
    assert_eq!(refusal(&actions).code, Code::DeadlineExceeded);
    let (row, _) = written_row(&actions, 2);
    let mut retry = call(2, b"{}");
    let actions = start_with_row(&mut retry, &row);
    assert_eq!(refusal(&actions).execution, Execution::MayHaveRun);
    assert!(retry.is_finished());
}

/// Guards against deleting the row of a key that has not expired.
#[test]
fn key_expires_after_ttl() {
    let row = completed_row(1, b"{}", &reply(b"ok"));
    let end = Timestamp::from_millis(1_000) + KEY_TTL;
    assert!(!is_expired(&row.value, end).unwrap());
    assert!(is_expired(&row.value, Timestamp::from_millis(end.as_millis() + 1)).unwrap());
    assert!(is_expired("{}", end).is_err());
}
