//! Replay of the answer that an earlier call stored.

#[expect(dead_code, reason = "each test file uses a part of the helpers")]
#[path = "common/calls.rs"]
mod common;

use common::{call, done, meet, refusal, reply};
use dogwoodlb_once::{Action, Response, MAX_STORED_REPLY_BYTES};
use dogwoodlb_types::prelude::*;
use rstest::rstest;

/// A retry that runs the call again, or gets another answer than the first caller.
#[rstest]
#[case::text(b"ok")]
#[case::empty(b"")]
#[case::binary(&[0, 159, 255])]
fn replays_answer(#[case] body: &[u8]) {
    let row = done(1, b"{}", &reply(body));
    let mut retry = call(2, b"{}");
    let actions = meet(&mut retry, &row);
    assert_eq!(actions, [Action::Respond(Response::Replay(reply(body)))]);
    assert!(retry.is_finished());
}

/// A large answer that is stored cut off, or makes the row too large for the table.
#[test]
fn large_answer() {
    let row = done(1, b"{}", &reply(&vec![b'x'; MAX_STORED_REPLY_BYTES + 1]));
    assert!(row.value.len() < 1_000);
    let actions = meet(&mut call(2, b"{}"), &row);
    assert_eq!(refusal(&actions).code, Code::TooLarge);
    assert_eq!(refusal(&actions).ran, Ran::MayHaveRun);
}

/// A malformed row that is taken for a free key.
#[test]
fn malformed_row() {
    let mut row = done(1, b"{}", &reply(b"ok"));
    row.value.truncate(10);
    let actions = meet(&mut call(2, b"{}"), &row);
    assert_eq!(refusal(&actions).ran, Ran::MayHaveRun);
}
