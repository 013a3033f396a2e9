//! Tests that streamed events are sent immediately and that a partial response is never mistaken
//! for a complete one.

#[path = "support/harness.rs"]
mod harness;

use dogwoodlb_http::{sse, Limits, Response};
use harness::{connect, read_to_close, start_server, TEST_TIMEOUT};
use rstest::rstest;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::{mpsc, Mutex};

const STREAM_REQUEST: &[u8] = b"GET /stream HTTP/1.1\r\nhost: a\r\n\r\n";

/// Reads lines until one contains `text`.
fn read_until(reader: &mut BufReader<&TcpStream>, text: &str) {
    let mut line = String::new();
    while !line.contains(text) {
        line.clear();
        assert_ne!(reader.read_line(&mut line).unwrap(), 0, "no {text}");
    }
}

/// Guards against buffering of events. The handler writes an event only after the client has read
/// the previous one.
#[test]
fn events_are_sent_immediately() {
    let (sender, receiver) = mpsc::channel::<()>();
    let receiver = Mutex::new(receiver);
    let server = start_server(Limits::default(), move |_, responder| {
        let stream = responder.stream(200, &[("content-type", "text/event-stream")]);
        for number in 0..5 {
            stream
                .write(&sse::encode_event(&format!("event-{number}")))
                .unwrap();
            receiver.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
        }
        stream.finish().unwrap();
    });
    let client = connect(&server);
    (&client).write_all(STREAM_REQUEST).unwrap();
    let mut reader = BufReader::new(&client);
    for number in 0..5 {
        read_until(&mut reader, &format!("event-{number}"));
        sender.send(()).unwrap();
    }
}

/// Guards against a stream that stalls if its first event is written after the head was sent.
#[rstest]
#[case::without_body(STREAM_REQUEST)]
#[case::with_body(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody")]
fn delayed_first_event(#[case] request: &[u8]) {
    let (sender, receiver) = mpsc::channel::<()>();
    let receiver = Mutex::new(receiver);
    let server = start_server(Limits::default(), move |_, responder| {
        let stream = responder.stream(200, &[("content-type", "text/event-stream")]);
        receiver.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
        stream.write(&sse::encode_event("late")).unwrap();
        // Waits until the client has read the event.
        receiver.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap();
        stream.finish().unwrap();
    });
    let client = connect(&server);
    (&client).write_all(request).unwrap();
    let mut reader = BufReader::new(&client);
    read_until(&mut reader, "content-type");
    sender.send(()).unwrap();
    read_until(&mut reader, "late");
    sender.send(()).unwrap();
}

/// Guards against a dropped stream that looks complete: the terminating chunk must be missing.
#[test]
fn dropped_stream() {
    let server = start_server(Limits::default(), |_, responder| {
        let stream = responder.stream(200, &[]);
        stream.write(b"part").unwrap();
    });
    let mut client = connect(&server);
    client.write_all(STREAM_REQUEST).unwrap();
    let response = read_to_close(&mut client);
    assert!(!response.contains("\r\n0\r\n"), "{response}");
}

/// Guards against sending any response to an aborted request.
#[test]
fn aborted_request() {
    let server = start_server(Limits::default(), |_, responder| responder.abort());
    let mut client = connect(&server);
    client.write_all(STREAM_REQUEST).unwrap();
    assert_eq!(read_to_close(&mut client), "");
}

/// Guards against a client that waits forever because the handler sent no response.
#[test]
fn handler_without_response() {
    let server = start_server(Limits::default(), |_, responder| drop(responder));
    let mut client = connect(&server);
    client
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .unwrap();
    let response = read_to_close(&mut client);
    assert!(response.starts_with("HTTP/1.1 500"), "{response}");
    assert!(response.contains(r#""ran":"may_have_run""#), "{response}");
}

/// Guards against a finished stream that aborts or closes the connection.
#[test]
fn reused_connection() {
    let server = start_server(Limits::default(), |request, responder| {
        if request.path != "/stream" {
            return responder.send(Response::text(200, request.peer.port().to_string()));
        }
        let stream = responder.stream(200, &[]);
        stream.write(b"whole\n").unwrap();
        stream.finish().unwrap();
    });
    let client = connect(&server);
    let mut reader = BufReader::new(&client);
    for _ in 0..3 {
        (&client).write_all(STREAM_REQUEST).unwrap();
        read_until(&mut reader, "whole");
        read_until(&mut reader, "0\r\n");
    }
    let port = client.local_addr().unwrap().port().to_string();
    (&client)
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    read_until(&mut reader, "\r\n");
    let mut rest = String::new();
    while !rest.ends_with(&port) {
        let read = reader.fill_buf().unwrap();
        assert!(!read.is_empty(), "{rest}");
        rest.push_str(std::str::from_utf8(read).unwrap());
        let length = read.len();
        reader.consume(length);
    }
}

/// Guards against a handler that continues to write after the client disconnected.
#[test]
fn client_disconnects() {
    let (sender, receiver) = mpsc::channel();
    let sender = Mutex::new(sender);
    let server = start_server(Limits::default(), move |_, responder| {
        let stream = responder.stream(200, &[]);
        while stream.write(b"more\n").is_ok() {}
        sender.lock().unwrap().send(stream.is_closed()).unwrap();
    });
    let client = connect(&server);
    (&client).write_all(STREAM_REQUEST).unwrap();
    read_until(&mut BufReader::new(&client), "more");
    drop(client);
    assert!(receiver.recv_timeout(TEST_TIMEOUT).unwrap());
}
