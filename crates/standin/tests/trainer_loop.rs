//! Tests that the trainer finds the owning node and reports defects of its deliveries exactly.

use dogwoodlb_http::{Handler, Limits, Request, Responder, Response, Server};
use dogwoodlb_standin::bind_loopback;
use dogwoodlb_standin::trainer::{run, Config, Report};
use dogwoodlb_types::{Code, Refusal};
use rstest::rstest;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// The protocol violation or failure of a test node.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Defect {
    None,
    RepeatsSamples,
    OmitsSample,
    OldVersion,
    UnknownVersion,
    SpanGap,
    SameDelivery,
    FencesSession,
    FailsCalls,
}

/// A node that follows the protocol of docs/design.md, section 5, except for one defect.
struct Node {
    defect: Defect,
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
    fn start(defect: Defect) -> Server {
        let state = Mutex::new(State {
            version: 1,
            ..State::default()
        });
        let node = Node { defect, state };
        Server::start(bind_loopback().unwrap(), Limits::default(), Arc::new(node)).unwrap()
    }

    fn deliver(&self, state: &State, step: u64) -> Value {
        let version = match self.defect {
            Defect::OldVersion => 1,
            Defect::UnknownVersion => 99,
            _ => state.version,
        };
        let from = u32::from(self.defect == Defect::SpanGap);
        let mut samples = Vec::new();
        let groups = state.submitted[&step]["groups"].as_array().unwrap();
        for (group, requested) in groups.iter().enumerate() {
            for index in 0..requested["size"].as_u64().unwrap() {
                let sample_step = if self.defect == Defect::RepeatsSamples {
                    1
                } else {
                    step
                };
                samples.push(json!({
                    "id": format!("weld/{sample_step}/{group}/{index}"),
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
        if self.defect == Defect::OmitsSample {
            samples.pop();
        }
        let delivery = if self.defect == Defect::SameDelivery {
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
            _ if self.defect == Defect::FencesSession && state.acknowledged == 2 => {
                let refusal = Refusal::not_run(Code::StaleSession, "a later session");
                Response::refusal(&refusal)
            }
            ("PUT", ["steps", _]) => {
                state.submitted.insert(step, body);
                Response::json(202, &json!({}))
            }
            // Fetches with an even call number return 202, so the trainer has to fetch again.
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
        if self.defect == Defect::FailsCalls && state.calls.is_multiple_of(5) {
            let refusal = Refusal::not_run(Code::StoreUnavailable, "injected failure");
            return responder.send(Response::refusal(&refusal));
        }
        let acknowledges = request.path.ends_with("/ack");
        let response = self.answer(request, &mut state);
        if self.defect == Defect::FailsCalls && acknowledges && response.status == 200 {
            // Drops the reply after the acknowledgement has taken effect.
            return responder.abort();
        }
        responder.send(response);
    }
}

/// A node that redirects every request to the owner.
struct RedirectingNode(SocketAddr);

impl Handler for RedirectingNode {
    fn handle(&self, _request: &Request, responder: Responder) {
        let refusal = Refusal::not_run(Code::WrongNode, "not the owner");
        responder.send(Response::refusal(&refusal.owner(Some(self.0))));
    }
}

fn run_trainer(addresses: Vec<SocketAddr>) -> Report {
    run(&Config {
        publish_every: 1,
        staleness_bound: 2,
        ..Config::new("weld".parse().unwrap(), addresses)
    })
}

/// Guards against a checker that misses a defect or reports one that does not exist.
#[rstest]
#[case::none(Defect::None, [64, 0, 0, 0, 0])]
#[case::repeats_samples(Defect::RepeatsSamples, [64, 48, 48, 0, 0])]
#[case::omits_sample(Defect::OmitsSample, [60, 0, 4, 0, 0])]
#[case::old_version(Defect::OldVersion, [64, 0, 0, 0, 16])]
#[case::unknown_version(Defect::UnknownVersion, [64, 0, 0, 64, 0])]
#[case::span_gap(Defect::SpanGap, [64, 0, 0, 64, 0])]
#[case::same_delivery(Defect::SameDelivery, [64, 48, 0, 0, 0])]
#[case::fails_calls(Defect::FailsCalls, [64, 0, 0, 0, 0])]
fn reports_delivery_defects(#[case] defect: Defect, #[case] expected: [u64; 5]) {
    let node = Node::start(defect);
    let report = run_trainer(vec![node.address()]);
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

/// Guards against wrong version and staleness statistics.
#[test]
fn reports_staleness() {
    let node = Node::start(Defect::OldVersion);
    let report = run_trainer(vec![node.address()]);
    assert_eq!(report.versions.iter().collect::<Vec<_>>(), [&1]);
    assert_eq!(report.staleness_max, 3);
    assert!((report.staleness_mean - 1.5).abs() < 1e-9, "{report:?}");
    let node = Node::start(Defect::None);
    let report = run_trainer(vec![node.address()]);
    assert_eq!(report.versions.iter().collect::<Vec<_>>(), [&1, &2, &3, &4]);
    assert_eq!(report.staleness_max, 0);
}

/// Guards against a trainer that keeps calling an unreachable node or one that doesn't own it.
#[test]
fn finds_owning_node() {
    let owner = Node::start(Defect::None);
    let redirecting = RedirectingNode(owner.address());
    let redirecting_server = Server::start(
        bind_loopback().unwrap(),
        Limits::default(),
        Arc::new(redirecting),
    )
    .unwrap();
    let unreachable = bind_loopback().unwrap().local_addr().unwrap();
    let report = run_trainer(vec![unreachable, redirecting_server.address()]);
    assert!(report.is_clean(), "{report:?}");
    assert_eq!((report.redirected, report.retried), (1, 1));
}

/// Guards against a trainer that continues after a later session has fenced it.
#[test]
fn stops_when_fenced() {
    let node = Node::start(Defect::FencesSession);
    let report = run_trainer(vec![node.address()]);
    assert!(report.fenced && !report.is_clean());
    assert_eq!(report.steps, 2);
}
