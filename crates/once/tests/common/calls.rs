//! Helpers that create calls, rows and results.

use dogwoodlb_external::service::Reply;
use dogwoodlb_external::table::{Outcome, Row};
use dogwoodlb_external::{Category, Cause, Error};
use dogwoodlb_once::{Action, Call, CallKey, Request, RequestDigest, Response};
use dogwoodlb_types::prelude::*;
use std::time::Duration;

pub(crate) const DEADLINE: Instant = Instant::from_millis(10_000);

pub(crate) fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

pub(crate) fn call(operation: u128, body: &[u8]) -> Call {
    Call::new(Request {
        key: CallKey::new(&"quotes".parse().unwrap(), "order-17").unwrap(),
        operation: id::Operation(operation),
        digest: RequestDigest::new("POST", "/orders", body),
        created: Timestamp::from_millis(1_000),
        deadline: DEADLINE,
    })
}

pub(crate) fn reply(body: &[u8]) -> Reply {
    Reply {
        status: 201,
        content_type: Some("text/plain".to_owned()),
        body: body.to_vec(),
    }
}

pub(crate) fn failure<T>(category: Category) -> Result<T, Error> {
    let cause = Cause::Timeout(Duration::from_secs(1));
    Err(Error::new(category, "stand-in", cause))
}

pub(crate) const fn applied(version: u64) -> Result<Outcome, Error> {
    Ok(Outcome::Applied { version })
}

pub(crate) fn conflict(found: u64) -> Result<Outcome, Error> {
    let key = "call/quotes/order-17".to_owned();
    Ok(Outcome::Conflict { key, found })
}

/// Returns the row that the commit among the actions writes, and the version that it checks.
pub(crate) fn written_row(actions: &[Action], version: u64) -> (Row, u64) {
    let commit = actions.iter().find_map(|action| match action {
        Action::Commit { txn, .. } => Some(txn),
        _ => None,
    });
    let txn = commit.expect("no commit among the actions");
    let row = Row {
        key: txn.puts[0].key.clone(),
        version,
        value: txn.puts[0].value.clone(),
    };
    (row, txn.checks[0].version)
}

pub(crate) fn refusal(actions: &[Action]) -> &Refusal {
    let refusal = actions.iter().find_map(|action| match action {
        Action::Respond(Response::Refuse(refusal)) => Some(refusal),
        _ => None,
    });
    refusal.expect("no refusal among the actions")
}

/// Returns the row of a call that was dispatched and whose reply is stored.
pub(crate) fn completed_row(operation: u128, body: &[u8], stored: &Reply) -> Row {
    let mut call = call(operation, body);
    call.poll(at(0));
    call.on_commit(&applied(1), at(0)).unwrap();
    let actions = call.on_dispatch(&Ok(stored.clone()), at(0)).unwrap();
    written_row(&actions, 2).0
}

/// Starts a call whose intent conflicts with `row`, and returns the actions after reading it.
pub(crate) fn start_with_row(call: &mut Call, row: &Row) -> Vec<Action> {
    call.poll(at(0));
    call.on_commit(&conflict(row.version), at(0)).unwrap();
    call.on_read(&Ok(Some(row.clone())), at(0)).unwrap()
}
