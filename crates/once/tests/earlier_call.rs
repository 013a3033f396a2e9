//! Rows of an earlier call with the same key.

#[path = "common/calls.rs"]
mod common;

use common::{
    applied, at, call, completed_row, refusal, reply, start_with_row, written_row, DEADLINE,
};
use dogwoodlb_external::table::Row;
use dogwoodlb_once::{Action, Response};
use dogwoodlb_types::prelude::*;

fn started_row() -> Row {
    written_row(&call(1, b"{}").poll(at(0)), 1).0
}

/// Guards against a retry that dispatches while the first call may still be running.
#[test]
fn retry_waits_for_outcome() {
    let mut retry = call(2, b"{}");
    assert_eq!(start_with_row(&mut retry, &started_row()), []);
    let wake = retry.next_poll().unwrap();
    assert!(matches!(retry.poll(wake)[..], [Action::Read { .. }]));
    let row = completed_row(1, b"{}", &reply(b"ok"));
    let actions = retry.on_read(&Ok(Some(row)), wake).unwrap();
    assert_eq!(actions, [Action::Respond(Response::Replay(reply(b"ok")))]);
}

/// Guards against an endless wait, or a false "not run", after the node of the first call crashed.
#[test]
fn wait_ends_at_deadline() {
    let mut retry = call(2, b"{}");
    start_with_row(&mut retry, &started_row());
    let mut reads = 0;
    loop {
        let now = retry.next_poll().unwrap();
        assert!(now <= DEADLINE);
        let actions = retry.poll(now);
        if now == DEADLINE {
            assert_eq!(refusal(&actions).execution, Execution::MayHaveRun);
            break;
        }
        retry.on_read(&Ok(Some(started_row())), now).unwrap();
        reads += 1;
    }
    assert_eq!(reads, 49, "one read every 200 ms");
    assert!(retry.is_finished());
}

/// Guards against a key that stays blocked although the first call did not reach the upstream.
#[test]
fn open_row_is_claimed() {
    let mut first = call(1, b"{}");
    first.poll(at(0));
    first.on_commit(&applied(1), at(0)).unwrap();
    let failed = common::failure(dogwoodlb_external::Category::NotSent);
    let actions = first.on_dispatch(&failed, at(5)).unwrap();
    assert_eq!(refusal(&actions).execution, Execution::NotRun);
    let (open, check) = written_row(&actions, 2);
    assert_eq!(check, 1);

    let mut retry = call(2, b"{}");
    let actions = start_with_row(&mut retry, &open);
    assert_eq!(written_row(&actions, 3).1, 2);
    let actions = retry.on_commit(&applied(3), at(9)).unwrap();
    assert!(matches!(actions[..], [Action::Dispatch { .. }]));
}

/// Guards against "not run" when the row is deleted during the wait, which proves nothing about
/// the first call.
#[test]
fn deleted_row_may_have_run() {
    let mut retry = call(2, b"{}");
    start_with_row(&mut retry, &started_row());
    retry.poll(retry.next_poll().unwrap());
    assert_eq!(retry.on_read(&Ok(None), at(9_900)).unwrap(), []);
    let actions = retry.poll(DEADLINE);
    assert_eq!(refusal(&actions).execution, Execution::MayHaveRun);
}
