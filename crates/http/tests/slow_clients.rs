//! Tests that clients that stop sending or reading don't occupy resources of the server.

#[path = "support/harness.rs"]
mod harness;

use dogwoodlb_http::{Category, Limits, Response};
use harness::{connect, read_to_close, start_server, TEST_TIMEOUT};
use std::io::Write;
use std::sync::mpsc;
use std::sync::Mutex;
use std::time::Duration;

const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Guards against a connection that stays open because its request head is never completed.
#[test]
fn incomplete_head() {
    let limits = Limits {
        head_timeout: SHORT_TIMEOUT,
        ..Limits::default()
    };
    let server = start_server(limits, |_, responder| {
        responder.send(Response::text(200, "unexpected"));
    });
    let mut client = connect(&server);
    client
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nx-half")
        .unwrap();
    assert!(!read_to_close(&mut client).contains("unexpected"));
}

/// Guards against a handler that receives a partial body, and a request that never ends.
#[test]
fn incomplete_body() {
    let limits = Limits {
        body_timeout: SHORT_TIMEOUT,
        ..Limits::default()
    };
    let server = start_server(limits, |_, responder| {
        responder.send(Response::text(200, "unexpected"));
    });
    let mut client = connect(&server);
    let half = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf";
    client.write_all(half).unwrap();
    let response = read_to_close(&mut client);
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert!(response.contains(r#""ran":"not_run""#), "{response}");
}

/// Guards against a handler that is blocked forever because the client doesn't read.
#[test]
fn unread_stream() {
    let limits = Limits {
        write_timeout: SHORT_TIMEOUT,
        ..Limits::default()
    };
    let (sender, receiver) = mpsc::channel();
    let sender = Mutex::new(sender);
    let server = start_server(limits, move |_, responder| {
        let stream = responder.stream(200, &[]);
        let error = loop {
            if let Err(error) = stream.write(&[b'x'; 64 * 1024]) {
                break error;
            }
        };
        sender.lock().unwrap().send(error.classify()).unwrap();
    });
    let mut client = connect(&server);
    client
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    let category = receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!(category, Category::Closed);
    assert!(server.shutdown(TEST_TIMEOUT));
    assert_eq!(server.in_flight(), 0);
}
