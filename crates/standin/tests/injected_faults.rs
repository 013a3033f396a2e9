//! Tests of fault injection and control of the stand-ins over HTTP.

use dogwoodlb_adapter::ServiceClient;
use dogwoodlb_external::service::Call;
use dogwoodlb_external::{Category, Result, Service as _};
use dogwoodlb_standin::{bind_loopback, service, vms};
use rstest::rstest;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

fn call(address: SocketAddr, method: &str, path: &str, body: &Value) -> Result<(u16, Value)> {
    let reply = ServiceClient::new().call(&Call {
        address,
        method,
        path,
        request_id: "r-1",
        content_type: Some("application/json"),
        body: body.to_string().as_bytes(),
        timeout: Duration::from_secs(60),
    })?;
    Ok((
        reply.status,
        serde_json::from_slice(&reply.body).unwrap_or_default(),
    ))
}

/// Guards against an injected fault that is lost, outlives its removal, or affects another path.
#[test]
fn fault_endpoint_injects_and_clears() {
    let server = service::Service::start(bind_loopback().unwrap()).unwrap();
    let send = |method, path, body: Value| call(server.address(), method, path, &body);
    let fault = json!({
        "method": "POST", "path": "/orders", "times": 2, "effect": { "kind": "lose_reply" },
    });
    assert_eq!(send("POST", "/faults", fault.clone()).unwrap().0, 200);
    assert_eq!(send("POST", "/echo", json!(1)).unwrap(), (200, json!(1)));
    let lost = send("POST", "/orders", json!(2)).unwrap_err();
    assert_eq!(lost.classify(), Category::Ambiguous, "{lost}");
    assert_eq!(server.order_count(), 1);
    assert_eq!(send("DELETE", "/faults", json!(0)).unwrap().0, 200);
    assert_eq!(
        send("POST", "/orders", json!(2)).unwrap(),
        (200, json!({ "order": 2 }))
    );
    let counts: service::Counts =
        serde_json::from_value(send("GET", "/counts", json!(0)).unwrap().1).unwrap();
    assert_eq!(counts, server.counts());
    assert_eq!(
        (counts.orders, counts.bodies["2"], counts.requests["r-1"]),
        (2, 2, 3)
    );
}

/// Guards against a fault with a misspelt or missing field being accepted without effect.
#[rstest]
#[case(json!({ "path": "/orders", "effect": { "kind": "explode" } }))]
#[case(json!({ "paths": "/orders", "effect": { "kind": "refuse" } }))]
#[case(json!({ "path": "/orders" }))]
fn rejects_malformed_fault(#[case] fault: Value) {
    let server = service::Service::start(bind_loopback().unwrap()).unwrap();
    let reply = call(server.address(), "POST", "/faults", &fault).unwrap();
    assert_eq!((reply.0, server.faults().pending()), (400, 0));
}

/// Guards against a score that depends on more than the text, or a malformed request that gets a
/// score.
#[test]
fn score_depends_on_text_only() {
    let server = service::Service::start(bind_loopback().unwrap()).unwrap();
    let score = |body| call(server.address(), "POST", "/score", &body).unwrap();
    let expected = (200, json!({ "score": service::score("a b") }));
    assert_eq!(
        score(json!({ "sample": "weld/1/0/0", "text": "a b" })),
        expected
    );
    assert_eq!(
        score(json!({ "sample": "weld/1/0/1", "text": "a b" })),
        expected
    );
    assert_eq!(score(json!({ "sample": "weld/1/0/1" })).0, 400);
    assert!((0.0..=1.0).contains(&service::score("a b")));
}

/// Guards against VM states that can't be changed over HTTP.
#[test]
fn vm_endpoint_changes_state() {
    let server = vms::Vms::start(bind_loopback().unwrap(), &[]).unwrap();
    let send = |method, path| {
        call(
            server.address(),
            method,
            path,
            &json!({ "state": "leaving" }),
        )
    };
    assert_eq!(send("PUT", "/vms/entry-1").unwrap().0, 200);
    let listed = json!({ "vms": [{ "name": "entry-1", "state": "leaving" }] });
    assert_eq!(send("GET", "/vms").unwrap(), (200, listed));
    assert_eq!(send("DELETE", "/vms/entry-1").unwrap().0, 200);
    assert_eq!(send("GET", "/vms").unwrap(), (200, json!({ "vms": [] })));
    assert_eq!(send("PUT", "/vms/Entry").unwrap().0, 400);
}
