//! Tests that requests above the size limits are refused as not run and that the client receives
//! the refusal.

#[path = "support/harness.rs"]
mod harness;

use dogwoodlb_http::{Limits, Response, Server};
use harness::{connect, read_to_close, start_server};
use rstest::rstest;
use std::io::Write;

const BODY_LIMIT: usize = 1000;

fn start_limited_server() -> Server {
    let limits = Limits {
        max_body_bytes: BODY_LIMIT,
        ..Limits::default()
    };
    start_server(limits, |request, responder| {
        responder.send(Response::text(200, request.body.len().to_string()));
    })
}

/// Guards against a refusal that is lost because the connection is reset while the client is still
/// sending. The body is larger than the socket buffers, so that sending can't complete before the
/// server has read or discarded the body.
#[rstest]
#[case::content_length("content-length: 33554432", "")]
#[case::chunked("transfer-encoding: chunked", "2000000\r\n")]
fn oversized_body(#[case] header: &str, #[case] prefix: &str) {
    let server = start_limited_server();
    let mut client = connect(&server);
    let head = format!("POST / HTTP/1.1\r\nhost: a\r\n{header}\r\n\r\n{prefix}");
    client.write_all(head.as_bytes()).unwrap();
    client.write_all(&vec![b'x'; 32 * 1024 * 1024]).unwrap();
    let response = read_to_close(&mut client);
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
    assert!(response.contains(r#""code":"too_large""#), "{response}");
    assert!(response.contains(r#""ran":"not_run""#), "{response}");
}

/// Guards against an off-by-one error in the body limit.
#[rstest]
#[case(BODY_LIMIT, "HTTP/1.1 200")]
#[case(BODY_LIMIT + 1, "HTTP/1.1 413")]
fn limit_boundary(#[case] size: usize, #[case] status: &str) {
    let server = start_limited_server();
    let mut client = connect(&server);
    let head = format!("POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {size}");
    client
        .write_all(format!("{head}\r\n\r\n").as_bytes())
        .unwrap();
    client.write_all(&vec![b'x'; size]).unwrap();
    let response = read_to_close(&mut client);
    assert!(response.starts_with(status), "{response}");
}

/// Guards against request heads of unlimited size.
#[test]
fn oversized_head() {
    let server = start_limited_server();
    let mut client = connect(&server);
    client
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nx-large: ")
        .unwrap();
    // The server may close the connection before the whole head is sent.
    let _ = client.write_all(&vec![b'x'; 64 * 1024]);
    let _ = client.write_all(b"\r\n\r\n");
    assert!(!read_to_close(&mut client).starts_with("HTTP/1.1 200"));
}
