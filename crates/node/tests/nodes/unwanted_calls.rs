//! Guards against requests to engines and services whose results no one waits for any more.

use crate::nodes::cluster::{call_until, commit, Cluster, SAMPLES, SETTLE_TIME};
use rstest::rstest;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;

/// The samples of a trainer that waited for an engine or for the scorer, or that an engine
/// refused, were sent after the node had lost the trainer.
#[rstest]
#[case::generation(false)]
#[case::scoring(true)]
fn lost_trainer(#[case] is_scored: bool) {
    let cluster = Cluster::start(is_scored);
    let address = cluster.address;
    let sessions = "/v1/trainers/weld/sessions";
    let session = call_until(address, "POST", sessions, &json!({}), 200)["session"].clone();
    let step = json!({"session": session, "max_tokens": 8,
        "groups": [{"prompt": "weld the frame", "size": SAMPLES}]});
    call_until(address, "PUT", "/v1/trainers/weld/steps/1", &step, 202);
    cluster.wait_until_full();
    let sent = cluster.upstream.count();
    assert!(sent < SAMPLES as usize, "no sample waits");
    commit(address, 1, &cluster.manifests[1]);
    call_until(address, "POST", sessions, &json!({}), 404);
    thread::sleep(SETTLE_TIME);
    cluster.release();
    assert_eq!(cluster.upstream.count(), sent, "samples sent for it");
    cluster.node.kill();
}

/// Sends a model call and returns its connection.
fn send_call(address: SocketAddr, id: &str, stream: bool) -> TcpStream {
    let body = json!({"model": "scorer", "prompt": "a", "stream": stream}).to_string();
    let mut connection = TcpStream::connect(address).unwrap();
    write!(
        connection,
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nx-caller: quotes\r\nx-request-id: {id}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    connection
}

/// A model call that waited for an engine was sent after its caller had disconnected.
#[rstest]
#[case::whole(false)]
#[case::streamed(true)]
fn disconnected_caller(#[case] stream: bool) {
    const CALLS: usize = 40;
    let cluster = Cluster::start(false);
    let sessions = "/v1/trainers/weld/sessions";
    call_until(cluster.address, "POST", sessions, &json!({}), 200);
    let calls: Vec<TcpStream> = (0..CALLS)
        .map(|number| send_call(cluster.address, &format!("call-{number}"), stream))
        .collect();
    cluster.wait_until_full();
    let sent = cluster.upstream.count();
    assert!((1..CALLS).contains(&sent), "{sent} calls sent");
    drop(calls);
    thread::sleep(SETTLE_TIME);
    cluster.release();
    assert_eq!(cluster.upstream.count(), sent, "calls sent for no one");
    cluster.node.kill();
}
