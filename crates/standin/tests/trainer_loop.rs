//! The trainer finds its node, and reports exactly what is wrong with what it is delivered.

use dogwoodlb_http::{Handler, Limits, Request, Responder, Response, Server};
use dogwoodlb_standin::bind_loopback;
use dogwoodlb_standin::trainer::{run, Config, Report};
use dogwoodlb_types::{Code, Refusal};
use rstest::rstest;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// What a node does wrong.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Wrong {
    Nothing,
    Repeats,
    LeavesOut,
    OldVersion,
    UnknownVersion,
    Gap,
    SameDelivery,
    Fences,
    Refuses,
}

/// A node that follows the protocol of docs/design.md, section 5, but for one thing.
struct Node {
    wrong: Wrong,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    version: u64,
    submitted: BTreeMap<u64, Value>,
    acknowledged: u64,
    calls: u64,
}

impl Node {
    fn start(wrong: Wrong) -> Server {
        let state = Mutex::new(State {
            version: 1,
            ..State::default()
        });
        let node = Node { wrong, state };
        Server::start(bind_loopback().unwrap(), Limits::default(), Arc::new(node)).unwrap()
    }

    fn deliver(&self, state: &State, step: u64) -> Value {
        let version = match self.wrong {
            Wrong::OldVersion => 1,
            Wrong::UnknownVersion => 99,
            _ => state.version,
        };
        let from = u32::from(self.wrong == Wrong::Gap);
        let mut samples = Vec::new();
        let groups = state.submitted[&step]["groups"].as_array().unwrap();
        for (group, asked) in groups.iter().enumerate() {
            for index in 0..asked["size"].as_u64().unwrap() {
                let of = if self.wrong == Wrong::Repeats {
                    1
                } else {
                    step
                };
                samples.push(json!({
                    "id": format!("weld/{of}/{group}/{index}"),
                    "group": group,
                    "index": index,
                    "text": "a",
                    "tokens": 3,
                    "spans": [{ "version": version, "from": from, "to": 3 }],
                    "score": 0.5,
                    "staleness": 0,
                }));
            }
        }
        if self.wrong == Wrong::LeavesOut {
            samples.pop();
        }
        let delivery = if self.wrong == Wrong::SameDelivery {
            1
        } else {
            step
        };
        json!({ "delivery": delivery, "step": step, "samples": samples })
    }

    fn answer(&self, request: &Request, state: &mut State) -> Response {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let segments = request.path_segments();
        let step = segments
            .get(4)
            .and_then(|step| step.parse().ok())
            .unwrap_or(0);
        match (request.method.as_str(), &segments[3..]) {
            ("POST", ["sessions"]) => Response::json(200, &json!({ "session": 7 })),
            _ if self.wrong == Wrong::Fences && state.acknowledged == 2 => {
                let refusal = Refusal::not_run(Code::StaleSession, "a later session");
                Response::refusal(&refusal)
            }
            ("PUT", ["steps", _]) => {
                state.submitted.insert(step, body);
                Response::json(202, &json!({}))
            }
            // The first fetch of each step has to be repeated.
            ("GET", ["steps", _]) if state.calls.is_multiple_of(2) => {
                Response::json(202, &json!({ "accepted": 0, "wanted": 1 }))
            }
            ("GET", ["steps", _]) => Response::json(200, &self.deliver(state, step)),
            ("POST", ["steps", _, "ack"]) if step <= state.acknowledged => {
                let refusal = Refusal::not_run(Code::Conflict, "already acknowledged");
                Response::refusal(&refusal)
            }
            ("POST", ["steps", _, "ack"]) => {
                assert!(state.submitted.contains_key(&(step + 1)) || step == 4);
                state.acknowledged = step;
                Response::json(200, &json!({}))
            }
            ("POST", ["versions"]) => {
                state.version = body["version"].as_u64().unwrap();
                Response::json(200, &json!({}))
            }
            _ => Response::refusal(&Refusal::not_run(Code::NotFound, "no such endpoint")),
        }
    }
}

impl Handler for Node {
    fn handle(&self, request: &Request, responder: Responder) {
        let mut state = self.state.lock().unwrap();
        state.calls += 1;
        if self.wrong == Wrong::Refuses && state.calls.is_multiple_of(5) {
            let refusal = Refusal::not_run(Code::StoreUnavailable, "ordered");
            return responder.send(Response::refusal(&refusal));
        }
        let acknowledges = request.path.ends_with("/ack");
        let response = self.answer(request, &mut state);
        if self.wrong == Wrong::Refuses && acknowledges && response.status == 200 {
            // The reply is lost after the effect.
            return responder.abort();
        }
        responder.send(response);
    }
}

/// Names another node as the owner.
struct Other(SocketAddr);

impl Handler for Other {
    fn handle(&self, _request: &Request, responder: Responder) {
        let refusal = Refusal::not_run(Code::WrongNode, "not the owner");
        responder.send(Response::refusal(&refusal.owner(Some(self.0))));
    }
}

fn train(addresses: Vec<SocketAddr>) -> Report {
    run(&Config {
        publish_every: 1,
        staleness_bound: 2,
        ..Config::new("weld".parse().unwrap(), addresses)
    })
}

/// Guards against a check that misses a fault, or reports one where there is none.
#[rstest]
#[case::nothing(Wrong::Nothing, [64, 0, 0, 0, 0])]
#[case::repeats(Wrong::Repeats, [64, 48, 48, 0, 0])]
#[case::leaves_out(Wrong::LeavesOut, [60, 0, 4, 0, 0])]
#[case::old_version(Wrong::OldVersion, [64, 0, 0, 0, 16])]
#[case::unknown_version(Wrong::UnknownVersion, [64, 0, 0, 64, 0])]
#[case::gap(Wrong::Gap, [64, 0, 0, 64, 0])]
#[case::same_delivery(Wrong::SameDelivery, [64, 48, 0, 0, 0])]
#[case::refuses(Wrong::Refuses, [64, 0, 0, 0, 0])]
fn exact_report(#[case] wrong: Wrong, #[case] expected: [u64; 5]) {
    let node = Node::start(wrong);
    let report = train(vec![node.address()]);
    assert_eq!(report.failure, None);
    let found = [
        report.delivered,
        report.duplicated,
        report.lost,
        report.mislabelled,
        report.too_stale,
    ];
    assert_eq!(found, expected);
    assert_eq!(report.steps, 4);
    assert_eq!(report.is_clean(), expected[1..] == [0; 4]);
    assert!((0.0..=1.0).contains(&report.idle_share));
}

/// Guards against wrong figures of the versions and the staleness.
#[test]
fn staleness_figures() {
    let node = Node::start(Wrong::OldVersion);
    let report = train(vec![node.address()]);
    assert_eq!(report.versions.iter().collect::<Vec<_>>(), [&1]);
    assert_eq!(report.staleness_max, 3);
    assert!((report.staleness_mean - 1.5).abs() < 1e-9, "{report:?}");
    let node = Node::start(Wrong::Nothing);
    let report = train(vec![node.address()]);
    assert_eq!(report.versions.iter().collect::<Vec<_>>(), [&1, &2, &3, &4]);
    assert_eq!(report.staleness_max, 0);
}

/// Guards against a trainer that stays at a node that is gone or doesn't own it.
#[test]
fn other_nodes() {
    let owner = Node::start(Wrong::Nothing);
    let other = Other(owner.address());
    let other =
        Server::start(bind_loopback().unwrap(), Limits::default(), Arc::new(other)).unwrap();
    let gone = bind_loopback().unwrap().local_addr().unwrap();
    let report = train(vec![gone, other.address()]);
    assert!(report.is_clean(), "{report:?}");
    assert_eq!((report.redirected, report.retried), (1, 1));
}

/// Guards against a trainer that goes on after its successor has opened a session.
#[test]
fn later_session() {
    let node = Node::start(Wrong::Fences);
    let report = train(vec![node.address()]);
    assert!(report.fenced && !report.is_clean());
    assert_eq!(report.steps, 2);
}
