//! Tests how failures of calls to the table, the object store and the VM list are classified.

#[path = "support/raw_server.rs"]
mod raw_server;

use dogwoodlb_adapter::{ObjectStoreClient, TableClient, VmListClient};
use dogwoodlb_external::table::{Outcome, Txn};
use dogwoodlb_external::vms::{State, Vm};
use dogwoodlb_external::{Category, ObjectStore as _, Table as _, VmList as _};
use dogwoodlb_standin::{bind_loopback, objects, table, vms, Effect, Fault};
use raw_server::{start_raw_server, unused_address, TEST_TIMEOUT};
use rstest::rstest;
use std::time::Duration;

/// Guards against a failed write whose category contradicts its effect.
#[rstest]
#[case(Effect::LoseRequest, Category::Ambiguous, 0)]
#[case(Effect::LoseReply, Category::Ambiguous, 1)]
#[case(Effect::Refuse, Category::Refused, 0)]
fn failed_commit(#[case] effect: Effect, #[case] category: Category, #[case] applied: u64) {
    let server = table::Table::start(bind_loopback().unwrap()).unwrap();
    server.faults().inject(Fault::once("/txn", effect));
    let table = TableClient::new(server.address());
    let error = table
        .commit(&Txn::new().put("a", "1"), TEST_TIMEOUT)
        .unwrap_err();
    assert_eq!(error.classify(), category, "{error}");
    assert_eq!(server.applied(), applied);
    assert_eq!(server.faults().pending(), 0);
}

/// Guards against classifying a write as not applied when its response is late or malformed.
#[test]
fn unknown_outcome() {
    let server = table::Table::start(bind_loopback().unwrap()).unwrap();
    server
        .faults()
        .inject(Fault::once("/txn", Effect::Delay { delay_ms: 60_000 }));
    let table = TableClient::new(server.address());
    let timed_out = table.commit(&Txn::new().put("a", "1"), Duration::from_millis(50));
    assert_eq!(timed_out.unwrap_err().classify(), Category::Ambiguous);

    let (address, _requests) = start_raw_server("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
    let malformed = TableClient::new(address)
        .commit(&Txn::new(), TEST_TIMEOUT)
        .unwrap_err();
    assert_eq!(malformed.classify(), Category::Ambiguous, "{malformed}");
    let malformed = TableClient::new(address)
        .read("a", TEST_TIMEOUT)
        .unwrap_err();
    assert_eq!(
        malformed.classify(),
        Category::InvalidResponse,
        "{malformed}"
    );
}

/// Guards against classifying a refused connection as ambiguous.
#[test]
fn connection_refused() {
    let table = TableClient::new(unused_address());
    let error = table.commit(&Txn::new(), TEST_TIMEOUT).unwrap_err();
    assert_eq!(error.classify(), Category::NotSent, "{error}");
}

/// Guards against keys and object names that are altered by URL encoding.
#[rstest]
#[case("a/b.c_d-e")]
#[case("a b&c=d?e#f%20+g")]
#[case("šžč/..//x")]
fn special_characters(#[case] name: &str) {
    let server = table::Table::start(bind_loopback().unwrap()).unwrap();
    let table = TableClient::new(server.address());
    table
        .commit(&Txn::new().put(name, "1").put("b", "2"), TEST_TIMEOUT)
        .unwrap();
    assert_eq!(table.read(name, TEST_TIMEOUT).unwrap(), server.row(name));
    assert_eq!(table.scan(name, TEST_TIMEOUT).unwrap().len(), 1);
    assert_eq!(table.read("absent", TEST_TIMEOUT).unwrap(), None);

    let server = objects::Objects::start(bind_loopback().unwrap()).unwrap();
    let objects = ObjectStoreClient::new(server.address());
    assert_eq!(objects.get(name, TEST_TIMEOUT).unwrap(), None);
    objects.put(name, &[0, 255], TEST_TIMEOUT).unwrap();
    assert_eq!(server.names(""), [name]);
    assert_eq!(objects.get(name, TEST_TIMEOUT).unwrap(), Some(vec![0, 255]));
}

/// Guards against overwriting an object with different content.
#[test]
fn overwritten_object() {
    let server = objects::Objects::start(bind_loopback().unwrap()).unwrap();
    let objects = ObjectStoreClient::new(server.address());
    objects.put("a", b"1", TEST_TIMEOUT).unwrap();
    objects.put("a", b"1", TEST_TIMEOUT).unwrap();
    let error = objects.put("a", b"2", TEST_TIMEOUT).unwrap_err();
    assert_eq!(error.classify(), Category::Refused, "{error}");
    assert_eq!(
        (server.object("a"), server.refused_overwrites()),
        (Some(b"1".to_vec()), 1)
    );
}

/// Guards against partially applied transactions and reused versions.
#[test]
fn conflicting_commit() {
    let server = table::Table::start(bind_loopback().unwrap()).unwrap();
    let table = TableClient::new(server.address());
    let first = Txn::new().absent("a").put("a", "1").put("b", "1");
    assert_eq!(
        table.commit(&first, TEST_TIMEOUT).unwrap(),
        Outcome::Applied { version: 1 }
    );
    let conflict = Outcome::Conflict {
        key: "a".to_owned(),
        found: 1,
    };
    assert_eq!(table.commit(&first, TEST_TIMEOUT).unwrap(), conflict);
    let second = Txn::new().check("a", 1).delete("a").put("b", "2");
    assert_eq!(
        table.commit(&second, TEST_TIMEOUT).unwrap(),
        Outcome::Applied { version: 2 }
    );
    let rows = table.scan("", TEST_TIMEOUT).unwrap();
    assert_eq!(rows, server.rows(""));
    assert_eq!(
        (rows.len(), rows[0].version, rows[0].value.as_str()),
        (1, 2, "2")
    );
}

/// Guards against a VM list that doesn't reflect changes on the platform.
#[test]
fn vm_states() {
    let name = "entry-1".parse().unwrap();
    let vm = |state| Vm {
        name: "entry-1".parse().unwrap(),
        state,
    };
    let server = vms::Vms::start(bind_loopback().unwrap(), &[vm(State::Live)]).unwrap();
    let client = VmListClient::new(server.address());
    assert_eq!(client.list(TEST_TIMEOUT).unwrap(), [vm(State::Live)]);
    server.set_state(&name, Some(State::Leaving));
    assert_eq!(client.list(TEST_TIMEOUT).unwrap(), [vm(State::Leaving)]);
    server.set_state(&name, None);
    assert_eq!(client.list(TEST_TIMEOUT).unwrap(), []);
}
