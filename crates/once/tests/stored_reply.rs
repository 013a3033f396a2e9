//! Replay of the reply that an earlier call stored.

#[expect(dead_code, reason = "each test file uses a part of the helpers")]
#[path = "common/calls.rs"]
mod common;

use common::{call, completed_row, refusal, reply, start_with_row};
use dogwoodlb_once::{Action, Response, MAX_STORED_REPLY_BYTES};
use dogwoodlb_types::prelude::*;
use rstest::rstest;

/// Guards against a retry that runs the call again or gets a different reply.
#[rstest]
#[case::text(b"ok")]
#[case::empty(b"")]
#[case::binary(&[0, 159, 255])]
fn stored_reply_is_replayed(#[case] body: &[u8]) {
    let row = completed_row(1, b"{}", &reply(body));
    let mut retry = call(2, b"{}");
    let actions = start_with_row(&mut retry, &row);
    assert_eq!(actions, [Action::Respond(Response::Replay(reply(body)))]);
    assert!(retry.is_finished());
}

/// Guards against a large reply that is stored truncated or makes the row too large for the table.
#[test]
fn large_reply_is_not_stored() {
    let row = completed_row(1, b"{}", &reply(&vec![b'x'; MAX_STORED_REPLY_BYTES + 1]));
    assert!(row.value.len() < 1_000);
    let actions = start_with_row(&mut call(2, b"{}"), &row);
    assert_eq!(refusal(&actions).code, Code::TooLarge);
    assert_eq!(refusal(&actions).execution, Execution::MayHaveRun);
}

/// Guards against treating a malformed row as an unused key.
#[test]
fn malformed_row_may_have_run() {
    let mut row = completed_row(1, b"{}", &reply(b"ok"));
    row.value.truncate(10);
    let actions = start_with_row(&mut call(2, b"{}"), &row);
    assert_eq!(refusal(&actions).execution, Execution::MayHaveRun);
}
