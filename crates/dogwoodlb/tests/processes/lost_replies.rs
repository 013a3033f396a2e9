//! Replies of the platform and of a service that are lost after their effect.

use crate::cluster::Cluster;
use serde_json::json;

fn lose(path: &str, times: u32) -> serde_json::Value {
    json!({ "method": "POST", "path": path, "times": times, "effect": { "kind": "lose_reply" } })
}

/// Guards against a write that is repeated, or taken for failed, because its reply was lost:
/// the table loses replies throughout a trainer's run.
#[test]
fn table_replies() {
    let cluster = Cluster::start("table-replies", 2);
    let trainer = cluster.trainer(4, 50);
    for _ in 0..40 {
        cluster.order(cluster.table, &lose("/txn", 1));
        std::thread::park_timeout(crate::process::POLL * 5);
    }
    let report = Cluster::check_trainer(trainer);
    assert_eq!(report["delivered"], 64);
}

/// Guards against a second execution of a non-idempotent call: the service executes it and
/// the reply is lost, then the caller repeats it on both nodes.
#[test]
fn service_reply() {
    let cluster = Cluster::start("service-reply", 2);
    let endpoint = ("POST", "/svc/stock/orders");
    let keyed = [
        ("x-caller", "quotes"),
        ("idempotency-key", "k1"),
        ("x-deadline-ms", "5000"),
    ];
    cluster.order(cluster.stock, &lose("/orders", 1));
    for node in cluster.nodes.iter().chain(&cluster.nodes) {
        let answer = cluster.call(node.address, endpoint, &keyed, "one").unwrap();
        assert_eq!(
            answer.json()["error"]["ran"],
            "may_have_run",
            "{}",
            answer.text
        );
    }
    let plain = [("x-caller", "quotes")];
    cluster.order(cluster.stock, &lose("/orders", 1));
    let answer = cluster
        .call(cluster.nodes[0].address, endpoint, &plain, "two")
        .unwrap();
    assert_eq!(
        answer.json()["error"]["ran"],
        "may_have_run",
        "{}",
        answer.text
    );
    let counts = cluster.get(cluster.stock, "/counts").unwrap();
    assert_eq!(counts["orders"], 2);
}

/// Guards against a lookup that goes missing: an idempotent call whose replies are lost is
/// repeated and answered.
#[test]
fn lookup_reply() {
    let cluster = Cluster::start("lookup-reply", 1);
    let headers = [("x-caller", "quotes")];
    for number in 0..5 {
        let mut fault = lose("/echo", 1);
        fault["method"] = json!("GET");
        cluster.order(cluster.stock, &fault);
        let path = format!("/svc/stock/echo?{number}");
        let answer = cluster.call(cluster.nodes[0].address, ("GET", &path), &headers, "");
        let answer = answer.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
}
