//! Guards against commands that report a wrong outcome, node or reason.

use dogwoodlb_ctl::{run, Client, Exit, Request, Response, SendError};
use dogwoodlb_types::Instant;
use rstest::rstest;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

const NODES: [&str; 2] = ["10.0.0.1:8001", "10.0.0.2:8001"];

type ScriptedResponse = Result<(u16, Value), SendError>;

/// A client with scripted responses per node and request; the last one of each list repeats.
#[derive(Default)]
struct ScriptedClient {
    answers: Mutex<BTreeMap<(String, String), Vec<ScriptedResponse>>>,
    sent: Mutex<Vec<String>>,
    now: Mutex<u64>,
}

impl ScriptedClient {
    fn answer(self, node: usize, path: &str, answer: ScriptedResponse) -> Self {
        let key = (NODES[node].to_owned(), path.to_owned());
        let mut answers = self.answers.lock().unwrap();
        answers.entry(key).or_default().insert(0, answer);
        drop(answers);
        self
    }

    fn ok(self, node: usize, path: &str, value: Value) -> Self {
        self.answer(node, path, Ok((200, value)))
    }

    fn count(&self, what: &str) -> usize {
        let sent = self.sent.lock().unwrap();
        sent.iter().filter(|line| line.contains(what)).count()
    }
}

impl Client for ScriptedClient {
    fn send(&self, node: SocketAddr, request: &Request) -> Result<Response, SendError> {
        let method = request.body.as_ref().map_or("GET", |_| "POST");
        let line = format!("{method} {}", request.path);
        self.sent.lock().unwrap().push(format!("{line} {node}"));
        let mut answers = self.answers.lock().unwrap();
        let Some(list) = answers.get_mut(&(node.to_string(), line)) else {
            return Err(SendError::NotSent("connection refused".to_owned()));
        };
        let answer = list.last().cloned().unwrap();
        list.truncate((list.len() - 1).max(1));
        let (status, body) = answer?;
        let body = body.to_string();
        Ok(Response { status, body })
    }

    fn now(&self) -> Instant {
        Instant::from_millis(*self.now.lock().unwrap())
    }

    fn sleep(&self, time: Duration) {
        *self.now.lock().unwrap() += u64::try_from(time.as_millis()).unwrap();
    }
}

fn manifest_text(version: u64) -> String {
    let entry = |index: usize| {
        json!({"vm": format!("entry-{index}"), "region": "r", "centre": "c",
            "address": NODES[index], "peer": format!("10.0.0.{index}:9")})
    };
    let models = json!([{"model": "scorer", "version": version, "object": "o"}]);
    json!({"entry_vms": [entry(0), entry(1)], "models": models}).to_string()
}

/// Writes a file with a unique name, because tests run in parallel.
fn write_file(text: &str) -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("commands-{}.json", COUNT.fetch_add(1, Ordering::SeqCst));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn status(vm: usize, revision: u64, authority: &str) -> Value {
    json!({"vm": format!("entry-{vm}"), "incarnation": 1, "revision": revision,
        "authority": authority, "leaving": false, "in_flight": 2,
        "leases": [{"lease": "model", "fence": 3}],
        "members": [{"vm": "entry-0", "state": "live", "revision": revision}]})
}

fn current(revision: u64, version: u64) -> Value {
    json!({"revision": revision, "text": manifest_text(version)})
}

fn refused(code: &str, ran: &str) -> ScriptedResponse {
    let error = json!({"code": code, "message": "rev 8 by ana", "ran": ran});
    Ok((409, json!({ "error": error })))
}

/// Runs a command against both nodes. `FILE` in `args` is replaced by the path of a file with
/// `content`.
fn run_command(client: &ScriptedClient, args: &str, content: &str) -> (Exit, String, String) {
    let path = write_file(content);
    let args = args.replace("FILE", path.to_str().unwrap());
    let args = format!("--node {} --node {} {args}", NODES[0], NODES[1]);
    let args: Vec<_> = args.split(' ').collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = run(&args, client, &mut out, &mut err);
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (exit, text(out), text(err))
}

fn commit(client: &ScriptedClient) -> (Exit, String, String) {
    run_command(
        client,
        "commit FILE --base 7 --operator eva --wait-ms 1000",
        &manifest_text(2),
    )
}

#[test]
fn check_lists_faults() {
    let good = run_command(&ScriptedClient::default(), "check FILE", &manifest_text(1));
    assert_eq!(good, (Exit::Done, String::new(), String::new()));
    let bad = manifest_text(1).replace("\"c\"", "\"C\"");
    let (exit, out, _) = run_command(&ScriptedClient::default(), "check FILE", &bad);
    assert_eq!((exit, out.lines().count()), (Exit::Refused, 2));
    assert!(out.contains("line 1 column"), "{out}");
    let (_, out, err) = run_command(&ScriptedClient::default(), "--json check FILE", &bad);
    let out: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(out["faults"][1]["path"], "entry_vms[1].centre");
    let err: Value = serde_json::from_str(&err).unwrap();
    assert_eq!(err["error"]["why"], "2 fault(s)");
}

#[test]
fn wrong_usage() {
    let usage = |args| run_command(&ScriptedClient::default(), args, "").0;
    assert_eq!(usage("commit"), Exit::Usage);
    assert_eq!(usage("check /no/such/file"), Exit::Usage);
    assert_eq!(usage("restart"), Exit::Usage);
    assert_eq!(usage("--help"), Exit::Done);
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = run(&["show"], &ScriptedClient::default(), &mut out, &mut err);
    assert_eq!(exit, Exit::Usage);
}

/// Nodes adopt a revision at different times; the command has to wait for the last one.
#[test]
fn commit_waits_for_all_nodes() {
    let client = ScriptedClient::default()
        .ok(0, "POST /v1/manifest", json!({"revision": 8}))
        .ok(0, "GET /v1/status", status(0, 8, "sole"))
        .ok(1, "GET /v1/status", status(1, 7, "joint"))
        .ok(1, "GET /v1/status", status(1, 8, "sole"));
    let (exit, out, _) = commit(&client);
    assert_eq!((exit, client.count("status")), (Exit::Done, 3));
    assert_eq!(out, "revision 8 is in force on all 2 nodes\n");
}

#[rstest]
#[case::old_revision(Ok((200, status(1, 7, "sole"))), "entry-1 holds revision 7")]
#[case::unknown_authority(Ok((200, status(1, 8, "unknown"))), "entry-1 acts with authority `unknown`")]
#[case::other_vm(Ok((200, status(5, 8, "sole"))), "answers as VM entry-5")]
#[case::no_response(Err(SendError::Ambiguous("timeout".to_owned())), "no answer: timeout")]
fn commit_not_in_force(#[case] answer: ScriptedResponse, #[case] why: &str) {
    let client = ScriptedClient::default()
        .ok(0, "POST /v1/manifest", json!({"revision": 8}))
        .ok(0, "GET /v1/status", status(0, 8, "sole"))
        .answer(1, "GET /v1/status", answer);
    let (exit, out, err) = commit(&client);
    assert_eq!((exit, &*out), (Exit::NotInForce, ""));
    let place = err.contains("everywhere at entry-1:");
    assert!(place && err.contains(why), "{err}");
}

#[test]
fn commit_rejected() {
    let client =
        ScriptedClient::default().answer(0, "POST /v1/manifest", refused("conflict", "not_run"));
    let (exit, _, err) = commit(&client);
    assert_eq!((exit, client.count("POST")), (Exit::Refused, 1));
    let advice = err.contains("dogwoodctl diff");
    assert!(advice && err.contains("rev 8 by ana"), "{err}");
    let client = ScriptedClient::default();
    let args = "commit FILE --base 7 --operator eva";
    assert_eq!(run_command(&client, args, "{}").0, Exit::Refused);
    assert_eq!(client.count("POST"), 0);
}

/// An unreachable or leaving node has not run the commit, so the next node is tried.
#[test]
fn commit_tries_next_node() {
    let not_sent = Err(SendError::NotSent("refused".to_owned()));
    for first in [not_sent, refused("leaving", "not_run")] {
        let client = ScriptedClient::default()
            .answer(0, "POST /v1/manifest", first)
            .ok(1, "POST /v1/manifest", json!({"revision": 8}))
            .ok(0, "GET /v1/status", status(0, 8, "sole"))
            .ok(1, "GET /v1/status", status(1, 8, "sole"));
        assert_eq!(commit(&client).0, Exit::Done);
    }
    let (exit, _, err) = commit(&ScriptedClient::default());
    assert_eq!(exit, Exit::NoResponse);
    assert!(err.contains("nothing was changed"), "{err}");
}

/// After a lost response the command checks the manifest in force and never posts again: the second
/// copy would conflict with the first.
#[rstest]
#[case::applied(current(8, 2), Exit::Done)]
#[case::replaced(current(8, 3), Exit::Refused)]
#[case::unknown(current(7, 1), Exit::Refused)]
fn commit_with_lost_response(#[case] now: Value, #[case] expected: Exit) {
    let lost = Err(SendError::Ambiguous("timeout".to_owned()));
    let client = ScriptedClient::default()
        .answer(0, "POST /v1/manifest", lost)
        .ok(1, "POST /v1/manifest", json!({"revision": 8}))
        .ok(0, "GET /v1/manifest", now)
        .ok(0, "GET /v1/status", status(0, 8, "sole"))
        .ok(1, "GET /v1/status", status(1, 8, "sole"));
    assert_eq!(commit(&client).0, expected);
    assert_eq!(client.count("POST"), 1);
}

#[test]
fn show_and_diff() {
    let client = ScriptedClient::default().ok(1, "GET /v1/manifest", current(7, 1));
    let (exit, out, _) = run_command(&client, "show", "");
    let expected = format!("// revision 7\n{}\n", manifest_text(1));
    assert_eq!((exit, out), (Exit::Done, expected));
    let (_, out, _) = run_command(&client, "diff FILE", &manifest_text(2));
    let expected = "1 change(s) from revision 7\n~ models scorer: version: 1 -> 2\n";
    assert_eq!(out, expected);
    assert_eq!(
        run_command(&ScriptedClient::default(), "show", "").0,
        Exit::NoResponse
    );
}

/// A node that doesn't respond is listed with its error instead of being left out.
#[test]
fn status_lists_unreachable_node() {
    let client = ScriptedClient::default().ok(0, "GET /v1/manifest", current(7, 1));
    let client = client.ok(0, "GET /v1/status", status(0, 7, "sole"));
    let (exit, out, _) = run_command(&client, "status", "");
    let expected = "entry-0 10.0.0.1:8001 revision=7 authority=sole leaving=false in_flight=2 \
        leases=model members=entry-0=live\nentry-1 10.0.0.2:8001 cannot connect: connection refused\n";
    assert_eq!((exit, &*out), (Exit::Done, expected));
    assert_eq!(
        run_command(&ScriptedClient::default(), "status", "").0,
        Exit::NoResponse
    );
}

#[rstest]
#[case::all("", "5.0 b y,5.1 a x,5.1 b z,9.0 a w")]
#[case::request("--request r1", "5.0 b y,5.1 a x")]
#[case::sample("--sample weld/3/1/0", "5.1 b z")]
#[case::trainer("--trainer weld", "5.1 a x")]
#[case::lease("--lease model", "9.0 a w")]
fn timeline_merges(#[case] filter: &str, #[case] expected: &str) {
    let event = |millis, logical, vm: &str, kind: &str, field: &str, value: Value| {
        json!({"millis": millis, "logical": logical, "vm": vm, "kind": kind, "request": null,
            field: value, "detail": {}})
    };
    let sample = json!({"trainer": "weld", "step": 3, "group": 1, "index": 0});
    let mut first = event(5, 1, "a", "x", "request", json!("r1"));
    first["trainer"] = json!("weld");
    let a = json!({"events": [event(9, 0, "a", "w", "lease", json!("model")), first]});
    let b = json!({"events": [event(5, 1, "b", "z", "sample", sample),
        event(5, 0, "b", "y", "request", json!("r1"))]});
    let client = ScriptedClient::default()
        .ok(0, "GET /v1/manifest", current(7, 1))
        .ok(0, "GET /v1/timeline", a)
        .ok(1, "GET /v1/timeline", b);
    let (exit, out, _) = run_command(&client, format!("timeline {filter}").trim(), "");
    let head = |line: &str| line.splitn(4, ' ').take(3).collect::<Vec<_>>().join(" ");
    let heads: Vec<_> = out.lines().map(head).collect();
    assert_eq!((exit, &*heads.join(",")), (Exit::Done, expected));
}

#[test]
fn drain_node() {
    let client = ScriptedClient::default().ok(0, "GET /v1/manifest", current(7, 1));
    let client = client.ok(1, "POST /v1/drain", json!({}));
    assert_eq!(run_command(&client, "drain entry-1", "").0, Exit::Done);
    assert_eq!(
        run_command(&client, "drain entry-0", "").0,
        Exit::NoResponse
    );
    let (exit, _, err) = run_command(&client, "drain entry-9", "");
    assert_eq!(exit, Exit::Refused);
    assert!(err.contains("Pass one of entry-0, entry-1."), "{err}");
}
