//! The table service fails for longer than a lease lasts.

use crate::cluster::Cluster;
use crate::process::wait_for;
use rustix::process::Signal;
use serde_json::json;

/// Guards against customers that depend on the store, against a commit that is accepted
/// without it, and against samples that are lost or doubled by the outage.
#[test]
fn table_down() {
    let cluster = Cluster::start("store-outage", 3);
    let trainer = cluster.trainer(4, 200);
    cluster.wait_delivered();
    cluster.order(
        cluster.table,
        &json!({ "path": "/", "effect": { "kind": "refuse" } }),
    );
    wait_for("the end of the lease", || {
        cluster.holder("trainer.weld").is_none().then_some(())
    });
    for node in &cluster.nodes {
        let answer = cluster.stream(node.address, "during").unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text);
        assert!(answer.text.ends_with("data: [DONE]\n\n"));
        let headers = [("x-caller", "quotes")];
        let echo = cluster.call(node.address, ("POST", "/svc/stock/echo"), &headers, "hello");
        assert_eq!(echo.unwrap().text, "hello");
        let keyed = [
            ("x-caller", "quotes"),
            ("idempotency-key", "k"),
            ("x-deadline-ms", "300"),
        ];
        let order = cluster.call(node.address, ("POST", "/svc/stock/orders"), &keyed, "one");
        let order = order.unwrap();
        assert_eq!(
            order.json()["error"]["code"],
            "store_unavailable",
            "{}",
            order.text
        );
    }
    let exit = cluster.ctl(&["status"]);
    assert!(exit.status.success(), "{exit}");
    cluster.clear_faults(cluster.table);
    let report = Cluster::check_trainer(trainer);
    assert_eq!(report["delivered"], 64);
}

/// Guards against a node that acts on a manifest that may be old: without the table and with
/// its peers stopped it must refuse, and with them back it must serve again.
#[test]
fn minority_stops() {
    let cluster = Cluster::start("minority-stops", 3);
    let address = cluster.nodes[0].address;
    assert_eq!(cluster.stream(address, "before").unwrap().status, 200);
    cluster.order(
        cluster.table,
        &json!({ "path": "/", "effect": { "kind": "refuse" } }),
    );
    let others: Vec<_> = cluster.nodes[1..]
        .iter()
        .filter_map(|node| node.process.as_ref())
        .collect();
    for process in &others {
        process.signal(Signal::STOP);
    }
    let refused = wait_for("a refusal", || {
        let answer = cluster.stream(address, "during")?;
        (answer.status != 200).then_some(answer)
    });
    assert_eq!(
        refused.json()["error"]["code"],
        "manifest_unknown",
        "{}",
        refused.text
    );
    assert_eq!(refused.json()["error"]["ran"], "not_run");
    for process in &others {
        process.signal(Signal::CONT);
    }
    wait_for("an answer", || {
        cluster
            .stream(address, "after")
            .filter(|answer| answer.status == 200)
    });
}
