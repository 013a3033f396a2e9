//! A key used for different requests, and invalid keys.

#[expect(dead_code, reason = "each test file uses a part of the helpers")]
#[path = "common/calls.rs"]
mod common;

use common::{call, completed_row, refusal, reply, start_with_row};
use dogwoodlb_once::{CallKey, Category, RequestDigest};
use dogwoodlb_types::prelude::*;
use rstest::rstest;

/// Guards against replaying the reply to a different request with the same key.
#[test]
fn different_body_conflicts() {
    let row = completed_row(1, b"{\"count\":1}", &reply(b"ok"));
    let actions = start_with_row(&mut call(2, b"{\"count\":2}"), &row);
    assert_eq!(refusal(&actions).code, Code::Conflict);
    assert_eq!(refusal(&actions).execution, Execution::NotRun);
}

/// Guards against equal digests of requests whose parts differ only in where they are split.
#[test]
fn digest_separates_parts() {
    let digest = RequestDigest::new("POST", "/a", b"b");
    assert_ne!(digest, RequestDigest::new("POST", "/ab", b""));
    assert_ne!(digest, RequestDigest::new("PUT", "/a", b"b"));
}

/// Guards against a key that addresses rows of another caller.
#[rstest]
#[case::empty("", 0)]
#[case::slash("a/b", 1)]
#[case::space("ab c", 2)]
fn invalid_key_is_rejected(#[case] key: &str, #[case] offset: usize) {
    let error = CallKey::new(&"quotes".parse().unwrap(), key).unwrap_err();
    assert_eq!(error.classify(), Category::InvalidKey);
    assert!(error.to_string().contains(&format!("byte {offset}")));
}
