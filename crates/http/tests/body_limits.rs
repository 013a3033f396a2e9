//! Requests beyond the size limits are refused as not run, and the client learns it.

#[path = "support/peer.rs"]
mod peer;

use dogwoodlb_http::{Limits, Response, Server};
use peer::{connect, read_to_close, start};
use rstest::rstest;
use std::io::Write;

const LIMIT: usize = 1000;

fn server() -> Server {
    let limits = Limits {
        max_body_bytes: LIMIT,
        ..Limits::default()
    };
    start(limits, |request, responder| {
        responder.send(Response::text(200, request.body.len().to_string()));
    })
}

/// Guards against a refusal that is lost because the connection is reset while the client still
/// sends. The body is larger than the socket buffers, so that the client can't finish early.
#[rstest]
#[case::announced("content-length: 33554432", "")]
#[case::chunked("transfer-encoding: chunked", "2000000\r\n")]
fn oversized_body(#[case] header: &str, #[case] prefix: &str) {
    let server = server();
    let mut client = connect(&server);
    let head = format!("POST / HTTP/1.1\r\nhost: a\r\n{header}\r\n\r\n{prefix}");
    client.write_all(head.as_bytes()).unwrap();
    client.write_all(&vec![b'x'; 32 * 1024 * 1024]).unwrap();
    let answer = read_to_close(&mut client);
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains(r#""code":"too_large""#), "{answer}");
    assert!(answer.contains(r#""ran":"not_run""#), "{answer}");
}

/// Guards against a limit that is off by one.
#[rstest]
#[case(LIMIT, "HTTP/1.1 200")]
#[case(LIMIT + 1, "HTTP/1.1 413")]
fn exact_limit(#[case] size: usize, #[case] status: &str) {
    let server = server();
    let mut client = connect(&server);
    let head = format!("POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {size}");
    client
        .write_all(format!("{head}\r\n\r\n").as_bytes())
        .unwrap();
    client.write_all(&vec![b'x'; size]).unwrap();
    let answer = read_to_close(&mut client);
    assert!(answer.starts_with(status), "{answer}");
}

/// Guards against a head of unlimited size.
#[test]
fn oversized_head() {
    let server = server();
    let mut client = connect(&server);
    client
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nx-large: ")
        .unwrap();
    // The server may close before all of it is sent.
    let _ = client.write_all(&vec![b'x'; 64 * 1024]);
    let _ = client.write_all(b"\r\n\r\n");
    assert!(!read_to_close(&mut client).starts_with("HTTP/1.1 200"));
}
