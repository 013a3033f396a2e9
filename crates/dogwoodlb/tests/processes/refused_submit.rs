//! A step that is refused while another write has no outcome, and submitted with other prompts.

use crate::cluster::{Answer, Cluster};
use crate::process::wait_for;
use serde_json::{json, Value};

const TRAINER: &str = "/v1/trainers/weld";

fn submit(cluster: &Cluster, session: &Value, step: u32, prompt: &str) -> Answer {
    let groups = [json!({ "prompt": prompt, "size": 4 })];
    let body = json!({ "session": session, "groups": groups, "max_tokens": 8 }).to_string();
    let path = format!("{TRAINER}/steps/{step}");
    cluster
        .call(cluster.nodes[0].address, ("PUT", &path), &[], &body)
        .unwrap()
}

/// Returns the text that an engine generates for the first sample of a prompt.
fn generated(cluster: &Cluster, engine: usize, prompt: &str) -> Value {
    let body = json!({ "model": "scorer", "prompt": prompt, "seed": 0, "max_tokens": 8 });
    let headers = [
        ("x-request-id", "direct"),
        ("content-type", "application/json"),
    ];
    let address = cluster.engines[engine];
    let answer = cluster.call(
        address,
        ("POST", "/v1/completions"),
        &headers,
        &body.to_string(),
    );
    answer.unwrap().json()["choices"][0]["text"].clone()
}

/// Has the first step stall in the table and the second one refused because of that; returns
/// the session, or nothing if the lease ended meanwhile.
fn refuse_second(cluster: &Cluster) -> Option<Value> {
    let address = cluster.nodes[0].address;
    wait_for("an owner", || cluster.holder("trainer.weld"));
    let opened = cluster.call(address, ("POST", &format!("{TRAINER}/sessions")), &[], "{}");
    let session = opened.unwrap().json()["session"].clone();
    let refuse = json!({ "method": "POST", "path": "/txn", "effect": { "kind": "refuse" } });
    cluster.order(cluster.table, &refuse);
    let stalled = submit(cluster, &session, 1, "one").json()["error"].clone();
    let refused = submit(cluster, &session, 2, "refused").json()["error"].clone();
    cluster.clear_faults(cluster.table);
    let stalled = stalled["code"] == "store_unavailable" && stalled["ran"] == "may_have_run";
    let refused = refused["code"] == "store_unavailable" && refused["ran"] == "not_run";
    (stalled && refused).then_some(session)
}

/// Guards against samples of the prompts of a refused submission: the node kept them although
/// the ledger had refused the step, and used them for the step's next submission.
#[test]
fn later_prompts() {
    let started = (0..5).find_map(|_| {
        let cluster = Cluster::start("refused-submit", 1);
        refuse_second(&cluster).map(|session| (cluster, session))
    });
    let (cluster, session) = started.unwrap();
    let address = cluster.nodes[0].address;
    for (step, prompt) in [(1, "one"), (2, "accepted")] {
        wait_for("an accepted step", || {
            (submit(&cluster, &session, step, prompt).status == 202).then_some(())
        });
    }
    let fetch = |step| {
        let path = format!("{TRAINER}/steps/{step}?session={session}&wait_ms=5000");
        let answer = cluster.call(address, ("GET", &path), &[], "")?;
        (answer.status == 200).then(|| answer.json())
    };
    let delivery = wait_for("the first step", || fetch(1))["delivery"].clone();
    let body = json!({ "session": session, "delivery": delivery }).to_string();
    let path = format!("{TRAINER}/steps/1/ack");
    let acknowledged = cluster.call(address, ("POST", &path), &[], &body).unwrap();
    assert_eq!(acknowledged.status, 200, "{}", acknowledged.text);
    let text = wait_for("the second step", || fetch(2))["samples"][0]["text"].clone();
    let expected = [0, 1].map(|engine| generated(&cluster, engine, "accepted"));
    assert!(expected.contains(&text), "{text} is not among {expected:?}");
}
