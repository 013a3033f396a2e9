//! Engines that break streams, fail swaps or are leaving.

use crate::cluster::Cluster;
use crate::process::wait_for;
use serde_json::json;

/// Guards against an answer that is cut, or mixed with another one, when the engine breaks the
/// stream: it is continued on the other engine.
#[test]
fn broken_stream() {
    let cluster = Cluster::start("broken-stream", 1);
    let address = cluster.nodes[0].address;
    let whole = cluster.stream(address, "unbroken").unwrap();
    let tokens = |text: &str| text.matches(r#""text":"#).count();
    for engine in &cluster.engines {
        let effect = json!({ "kind": "break", "events": 2 });
        cluster.order(
            *engine,
            &json!({ "path": "/v1/completions", "times": 1, "effect": effect }),
        );
    }
    let answer = cluster.stream(address, "broken").unwrap();
    assert_eq!(answer.status, 200);
    assert!(answer.text.ends_with("data: [DONE]\n\n"), "{}", answer.text);
    assert!(tokens(&answer.text) >= 3, "{}\n{}", answer.text, whole.text);
}

/// Guards against samples with a wrong label, lost or doubled, and a trainer that stalls for
/// good, when streams break and swaps fail partway.
#[test]
fn failed_swaps() {
    let cluster = Cluster::start("failed-swaps", 2);
    let trainer = cluster.trainer(5, 100);
    for (number, engine) in cluster.engines.iter().enumerate() {
        let fail = json!({ "path": "/v1/orders", "times": 1 + number,
            "effect": { "kind": "fail_swap" } });
        cluster.order(*engine, &fail);
        for events in [1, 4, 9] {
            let effect = json!({ "kind": "break", "events": events });
            let fault = json!({ "path": "/v1/completions", "times": 3, "effect": effect });
            cluster.order(*engine, &fault);
        }
    }
    let report = Cluster::check_trainer(trainer);
    assert_eq!(report["delivered"], 80);
    assert!(report["versions"].as_array().unwrap().len() > 1, "{report}");
}

/// Guards against new work for an upstream that the VM list shows as leaving.
#[test]
fn leaving_engine() {
    let cluster = Cluster::start("leaving-engine", 1);
    let address = cluster.nodes[0].address;
    let change = json!({ "state": "leaving" }).to_string();
    let answer = cluster
        .call(cluster.vms, ("PUT", "/vms/gpu-0"), &[], &change)
        .unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text);
    let counts = || cluster.get(cluster.engines[0], "/v1/counts").unwrap()["generations"].as_u64();
    let mut round = 0;
    wait_for("the end of new work for the engine", || {
        let before = counts();
        round += 1;
        for number in 0..10 {
            let answer = cluster
                .stream(address, &format!("r{round}-{number}"))
                .unwrap();
            assert_eq!(answer.status, 200, "{}", answer.text);
        }
        (counts() == before).then_some(())
    });
}
