//! The table service fails for longer than a lease lasts.

use crate::cluster::Cluster;
use crate::process::wait_for;
use serde_json::json;

/// Guards against customers that depend on the store, against a commit that is accepted
/// without it, and against samples that are lost or doubled by the outage.
#[test]
fn table_down() {
    let cluster = Cluster::start("store-outage", 3);
    let trainer = cluster.trainer(4, 200);
    wait_for("a delivered step", || {
        let head = cluster.get(cluster.table, "/rows?key=trainer%2Fweld%2Fhead")?;
        head["rows"][0]["value"]
            .as_str()?
            .contains(r#""delivery":1"#)
            .then_some(())
    });
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
    let (code, output) = cluster.ctl(&["status"]);
    assert_eq!(code, Some(0), "{output}");
    cluster.clear_faults(cluster.table);
    let report = Cluster::check_trainer(trainer);
    assert_eq!(report["delivered"], 64);
}
