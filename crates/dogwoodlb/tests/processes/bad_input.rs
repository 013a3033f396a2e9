//! Broken and hostile input to a node.

use crate::cluster::Cluster;
use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::time::Duration;

const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Guards against input that ends or blocks a node: random bytes on every port, half a head,
/// a body that stops. The node must still answer afterwards.
#[test]
fn random_bytes() {
    let cluster = Cluster::start("random-bytes", 1);
    let address = cluster.nodes[0].address;
    let manifest = cluster.get(address, "/v1/manifest").unwrap();
    let manifest: serde_json::Value =
        serde_json::from_str(manifest["text"].as_str().unwrap()).unwrap();
    let peer = manifest["entry_vms"][0]["peer"]
        .as_str()
        .unwrap()
        .to_owned();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut state = 7_u32;
    for length in 0..600 {
        let bytes: Vec<u8> = (0..length)
            .map(|_| {
                state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                (state >> 24) as u8
            })
            .collect();
        socket.send_to(&bytes, &peer).unwrap();
        if length % 100 == 0 {
            TcpStream::connect(&peer)
                .unwrap()
                .write_all(&bytes)
                .unwrap();
            TcpStream::connect(address)
                .unwrap()
                .write_all(&bytes)
                .unwrap();
        }
    }
    let mut half = TcpStream::connect(address).unwrap();
    half.write_all(b"POST /v1/completions HTTP/1.1\r\nhost: a\r\n")
        .unwrap();
    let mut stopped = TcpStream::connect(address).unwrap();
    stopped
        .write_all(b"POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n{")
        .unwrap();
    assert_eq!(cluster.stream(address, "after").unwrap().status, 200);

    // The node ends both connections in the end; the second one gets a typed refusal.
    half.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut rest = Vec::new();
    half.read_to_end(&mut rest).unwrap();
    stopped.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut answer = String::new();
    stopped.read_to_string(&mut answer).unwrap();
    assert!(answer.contains(r#""code":"bad_request""#), "{answer}");
    assert!(answer.contains(r#""ran":"not_run""#), "{answer}");
}

/// Guards against a refusal with a wrong or missing reason.
#[test]
fn typed_refusals() {
    let cluster = Cluster::start("typed-refusals", 1);
    crate::process::wait_for("an owner", || cluster.holder("trainer.weld"));
    let address = cluster.nodes[0].address;
    let complete = ("POST", "/v1/completions");
    let acknowledge = ("POST", "/v1/trainers/weld/steps/1/ack");
    let delivery = r#"{"session":1,"delivery":1}"#;
    let cases = [
        (complete, "quotes", "{", 400, "bad_request"),
        (
            complete,
            "quotes",
            r#"{"model":"other","prompt":"a"}"#,
            404,
            "unknown_model",
        ),
        (
            complete,
            "nobody",
            r#"{"model":"scorer","prompt":"a"}"#,
            403,
            "forbidden",
        ),
        (
            ("POST", "/svc/other/a"),
            "quotes",
            "",
            404,
            "unknown_service",
        ),
        (("POST", "/svc/judge/score"), "quotes", "", 403, "forbidden"),
        (("GET", "/nothing"), "quotes", "", 404, "not_found"),
        (
            ("POST", "/v1/trainers/other/sessions"),
            "",
            "{}",
            404,
            "unknown_trainer",
        ),
        (
            ("POST", "/v1/trainers/weld/steps/x/ack"),
            "",
            delivery,
            400,
            "bad_request",
        ),
        (acknowledge, "", delivery, 409, "stale_session"),
    ];
    for (endpoint, caller, body, status, code) in cases {
        let answer = cluster
            .call(address, endpoint, &[("x-caller", caller)], body)
            .unwrap();
        assert_eq!(
            answer.json()["error"]["code"],
            code,
            "{endpoint:?} {}",
            answer.text
        );
        assert_eq!(answer.status, status, "{endpoint:?}");
        assert_eq!(answer.json()["error"]["ran"], "not_run", "{endpoint:?}");
    }
}
