//! Sessions and the submission of steps.

use crate::owner::{content, owner};
use crate::table::Table;
use dogwoodlb_ledger::*;
use dogwoodlb_types::prelude::*;
use rstest::rstest;

/// Guards against a repeated submission that starts the step again, and against a submission with
/// other content that is treated as a repetition.
#[test]
fn submission_is_idempotent_by_content() {
    let mut table = Table::default();
    let mut owner = owner(&mut table, 2);
    let again = owner.try_submit(1, &content(2)).unwrap();
    assert_eq!(again, Start::Done(Completion::Submitted(id::Step(1))));
    let refusal = owner.try_submit(1, &content(3)).unwrap_err();
    assert_eq!(
        (refusal.code, refusal.execution),
        (Code::Conflict, Execution::NotRun)
    );
}

/// Guards against prompts that a later owner cannot read back.
#[test]
fn prompts_are_stored_as_object() {
    let mut table = Table::default();
    let mut owner = owner(&mut table, 2);
    let Start::Commit(commit) = owner.try_submit(2, &content(3)).unwrap() else {
        panic!("no transaction");
    };
    let [object] = &commit.objects[..] else {
        panic!("not one object");
    };
    assert!(object.name.ends_with(&commit.operation.to_string()));
    assert_eq!(Content::from_slice(&object.body).unwrap(), content(3));
    assert!(commit.txn.puts[0].value.contains(&object.name));
}

/// Guards against empty steps and against steps with more than [`MAX_SAMPLES`] samples, whose rows
/// would grow without limit.
#[rstest]
#[case(2, 1_025, Code::TooLarge)]
#[case(2, 0, Code::BadRequest)]
fn step_size_is_bounded(#[case] step: u64, #[case] size: u32, #[case] code: Code) {
    let mut table = Table::default();
    let mut owner = owner(&mut table, 2);
    let refusal = owner.try_submit(step, &content(size)).unwrap_err();
    assert_eq!(refusal.code, code);
}

/// Guards against an unbounded number of open steps, and against submitting a step that precedes
/// a delivered one.
#[test]
fn open_steps_are_bounded() {
    let mut table = Table::default();
    let mut owner = owner(&mut table, 1);
    for step in 2..=MAX_OPEN_STEPS as u64 {
        owner.submit(&mut table, step, 1);
    }
    let refusal = owner.try_submit(1_000, &content(1)).unwrap_err();
    assert_eq!(refusal.code, Code::Overloaded);
    owner.accept_and_flush(&mut table, 1, 1, 5);
    owner.expect_delivery(&mut table, 1);
    let refusal = owner.try_submit(0, &content(1)).unwrap_err();
    assert_eq!(refusal.code, Code::Conflict);
}

/// Guards against a replaced trainer process that continues under its old session.
#[test]
fn new_session_fences_off_old() {
    let mut table = Table::default();
    let mut owner = owner(&mut table, 1);
    owner.accept_and_flush(&mut table, 1, 1, 5);
    let delivery = owner.expect_delivery(&mut table, 1);
    let old = owner.session;
    owner.open_session(&mut table);
    assert!(owner.session > old);
    owner.session = old;
    let refusals = [
        owner.try_submit(2, &content(1)).unwrap_err(),
        owner.try_deliver(1).unwrap_err(),
        owner.try_acknowledge(&delivery).unwrap_err(),
        owner.try_publish(6).unwrap_err(),
    ];
    for refusal in refusals {
        assert_eq!(refusal.code, Code::StaleSession);
    }
}
