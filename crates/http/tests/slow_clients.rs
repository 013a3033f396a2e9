//! Clients that stop sending or reading must not hold resources of the server.

#[path = "support/peer.rs"]
mod peer;

use dogwoodlb_http::{Category, Limits, Response};
use peer::{connect, read_to_close, start, DEADLINE};
use std::io::Write;
use std::sync::mpsc;
use std::sync::Mutex;
use std::time::Duration;

const SHORT: Duration = Duration::from_millis(100);

/// Guards against a connection that stays open because its head never ends.
#[test]
fn half_head() {
    let limits = Limits {
        head_timeout: SHORT,
        ..Limits::default()
    };
    let server = start(limits, |_, responder| {
        responder.send(Response::text(200, "unexpected"));
    });
    let mut client = connect(&server);
    client
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nx-half")
        .unwrap();
    assert!(!read_to_close(&mut client).contains("unexpected"));
}

/// Guards against a handler that runs on half a body, and a request that waits forever.
#[test]
fn stopped_body() {
    let limits = Limits {
        body_timeout: SHORT,
        ..Limits::default()
    };
    let server = start(limits, |_, responder| {
        responder.send(Response::text(200, "unexpected"));
    });
    let mut client = connect(&server);
    let half = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf";
    client.write_all(half).unwrap();
    let answer = read_to_close(&mut client);
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains(r#""ran":"not_run""#), "{answer}");
}

/// Guards against a handler that is blocked forever by a client that doesn't read.
#[test]
fn unread_stream() {
    let limits = Limits {
        write_timeout: SHORT,
        ..Limits::default()
    };
    let (sender, receiver) = mpsc::channel();
    let sender = Mutex::new(sender);
    let server = start(limits, move |_, responder| {
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
    let category = receiver.recv_timeout(DEADLINE).unwrap();
    assert_eq!(category, Category::Closed);
    assert!(server.shutdown(DEADLINE));
    assert_eq!(server.in_flight(), 0);
}
