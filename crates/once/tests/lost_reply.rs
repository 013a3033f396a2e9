//! Lost, late and failed table replies.

#[expect(dead_code, reason = "each test file uses a part of the helpers")]
#[path = "common/calls.rs"]
mod common;

use common::{applied, at, call, conflict, failure, refusal, reply, written_row, DEADLINE};
use dogwoodlb_external::Category;
use dogwoodlb_once::Action;
use dogwoodlb_types::prelude::*;
use std::time::Duration;

/// Guards against a dispatch after an ambiguous reply to the intent without a read-back, and
/// against a second intent that overwrites the first.
#[test]
fn ambiguous_intent_is_read_back() {
    let mut call = call(1, b"{}");
    let (row, _) = written_row(&call.poll(at(0)), 4);
    assert_eq!(
        call.on_commit(&failure(Category::Ambiguous), at(0))
            .unwrap(),
        []
    );
    let now = call.next_poll().unwrap();
    assert!(matches!(call.poll(now)[..], [Action::Read { .. }]));
    let actions = call.on_read(&Ok(Some(row)), now).unwrap();
    assert!(matches!(actions[..], [Action::Dispatch { .. }]));
}

/// Guards against treating a conflict with the first copy of the call's own intent as a conflict
/// with another node's call.
#[test]
fn conflict_with_own_intent_leads_to_dispatch() {
    let mut call = call(1, b"{}");
    let (row, _) = written_row(&call.poll(at(0)), 4);
    call.on_commit(&failure(Category::Ambiguous), at(0))
        .unwrap();
    let now = call.next_poll().unwrap();
    call.poll(now);
    let actions = call.on_read(&Ok(None), now).unwrap();
    assert_eq!(written_row(&actions, 0).1, 0);
    call.on_commit(&conflict(4), now).unwrap();
    let actions = call.on_read(&Ok(Some(row)), now).unwrap();
    assert!(matches!(actions[..], [Action::Dispatch { .. }]));
}

/// Guards against a key that is blocked by an intent applied after its call was refused.
#[test]
fn unconfirmed_intent_is_withdrawn() {
    let mut call = call(1, b"{}");
    call.poll(at(0));
    call.on_commit(&failure(Category::Ambiguous), at(0))
        .unwrap();
    let actions = call.poll(DEADLINE);
    assert_eq!(refusal(&actions).code, Code::StoreUnavailable);
    assert_eq!(refusal(&actions).execution, Execution::MayHaveRun);
    let actions = call.on_read(&Ok(None), DEADLINE).unwrap();
    let (row, check) = written_row(&actions, 0);
    assert_eq!(check, 0);
    assert!(row.value.contains("\"open\""));
    call.on_commit(&applied(1), DEADLINE).unwrap();
    assert!(call.is_finished());
}

/// Guards against a dispatch after the deadline, when the caller no longer waits.
#[test]
fn intent_after_deadline_is_not_dispatched() {
    let mut call = call(1, b"{}");
    call.poll(at(0));
    let actions = call.on_commit(&applied(1), DEADLINE).unwrap();
    assert_eq!(refusal(&actions).execution, Execution::NotRun);
    assert!(written_row(&actions, 2).0.value.contains("\"open\""));
}

/// Guards against a caller that waits although the table is known to be unavailable.
#[test]
fn unavailable_table_is_refused_at_once() {
    let mut call = call(1, b"{}");
    call.poll(at(0));
    let actions = call.on_commit(&failure(Category::NotSent), at(0)).unwrap();
    assert_eq!(refusal(&actions).code, Code::StoreUnavailable);
    assert_eq!(refusal(&actions).execution, Execution::MayHaveRun);
    assert!(refusal(&actions).retry_after.is_some());
    assert!(call.is_finished());
}

/// Guards against an outcome that is lost after one failed write, and against retrying it forever.
#[test]
fn outcome_write_is_retried() {
    let mut call = call(1, b"{}");
    let (row, _) = written_row(&call.poll(at(0)), 1);
    call.on_commit(&applied(1), at(0)).unwrap();
    call.on_dispatch(&Ok(reply(b"ok")), at(0)).unwrap();
    call.on_commit(&failure(Category::Ambiguous), at(0))
        .unwrap();
    let now = call.next_poll().unwrap();
    call.poll(now);
    let actions = call.on_read(&Ok(Some(row)), now).unwrap();
    assert_eq!(written_row(&actions, 2).1, 1);
    call.on_commit(&failure(Category::NotSent), now).unwrap();
    call.poll(at(0) + Duration::from_secs(30));
    assert!(call.is_finished());
}

/// Guards against an unexpected result that changes the state of the call.
#[test]
fn unexpected_result_is_rejected() {
    let mut call = call(1, b"{}");
    call.poll(at(0));
    let error = call.on_dispatch(&Ok(reply(b"ok")), at(0)).unwrap_err();
    assert_eq!(error.classify(), dogwoodlb_once::Category::UnexpectedResult);
    assert!(call.on_read(&Ok(None), at(0)).is_err());
    assert!(call.on_commit(&applied(1), at(0)).is_ok());
    assert!(call.on_commit(&applied(1), at(0)).is_err());
}
