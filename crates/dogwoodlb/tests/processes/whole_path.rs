//! One request of each kind from start to finish, and a drain.

use crate::cluster::Cluster;
use crate::process::wait_for;
use rustix::process::Signal;

/// Guards against a part that works alone but not with the others: a customer's streamed and
/// plain calls, a trainer's steps over several weight versions, and a node that drains.
#[test]
fn every_caller() {
    let mut cluster = Cluster::start("whole-path", 2);
    // A node is listed once it was heard of, those of the caller's region first.
    let own = cluster.nodes[1].address;
    wait_for("the address of the own region", || {
        let listed = cluster.get(cluster.nodes[0].address, "/v1/addresses?region=maribor")?;
        (listed["addresses"][0].as_str()? == own.to_string()).then_some(())
    });

    let answer = cluster.stream(own, "first").unwrap();
    assert_eq!(answer.status, 200);
    assert!(answer.text.ends_with("data: [DONE]\n\n"), "{}", answer.text);
    assert!(
        answer.text.contains(r#""request_id":"first.1""#),
        "{}",
        answer.text
    );

    let headers = [("x-caller", "quotes"), ("idempotency-key", "order-1")];
    for node in &cluster.nodes {
        let answer = cluster.call(node.address, ("POST", "/svc/stock/orders"), &headers, "one");
        assert_eq!(answer.unwrap().json()["order"], 1);
    }

    let trainer = cluster.trainer(4, 50);
    let report = Cluster::check_trainer(trainer);
    assert_eq!(report["delivered"], 64);
    assert!(report["versions"].as_array().unwrap().len() > 1, "{report}");

    let node = cluster.nodes[1].process.take().unwrap();
    node.signal(Signal::TERM);
    let exit = node.wait();
    assert!(exit.status.success(), "{exit}");
}

/// Guards against a refusal without a reason that the operator can act on.
#[test]
fn operator_errors() {
    let cluster = Cluster::start("operator-errors", 1);
    let exit = cluster.ctl(&["status"]);
    assert!(exit.status.success(), "{exit}");
    let body = r#"{"base": 0, "operator": "ana", "text": "{}"}"#;
    let answer = cluster.call(
        cluster.nodes[0].address,
        ("POST", "/v1/manifest"),
        &[],
        body,
    );
    let answer = answer.unwrap();
    assert_eq!(answer.status, 400);
    assert!(answer.text.contains("entry_vms"), "{}", answer.text);
}

/// Guards against a command that doesn't understand what a real node answers.
#[test]
fn operator_commands() {
    let mut cluster = Cluster::start("operator-commands", 2);
    let trainer = cluster.trainer(1, 0);
    Cluster::check_trainer(trainer);
    let file = cluster.write_manifest("same").display().to_string();
    for args in [
        &["check", &file][..],
        &["diff", &file],
        &["show"],
        &["--json", "status"],
    ] {
        let exit = cluster.ctl(args);
        assert!(exit.status.success(), "{args:?} {exit}");
    }
    let exit = cluster.ctl(&["--json", "timeline", "--trainer", "weld"]);
    assert!(exit.status.success(), "{exit}");
    assert!(exit.stdout.contains("ledger_loaded"), "{exit}");
    assert!(!exit.stdout.contains("node_started"), "{exit}");

    let exit = cluster.ctl(&["drain", "entry-2"]);
    assert!(exit.status.success(), "{exit}");
    let node = cluster.nodes[1].process.take().unwrap();
    let exit = node.wait();
    assert!(exit.status.success(), "{exit}");
}
