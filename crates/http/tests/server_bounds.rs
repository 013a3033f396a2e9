//! Tests the limits on connections and concurrent requests, and the shutdown.

#[path = "support/harness.rs"]
mod harness;

use dogwoodlb_http::{Limits, Response};
use harness::{connect, read_to_close, start_server, TEST_TIMEOUT};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLOSE_REQUEST: &[u8] = b"GET /last HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

/// Guards against more open connections than the limit. The second connection sends its request
/// early, but the handler must not receive it while the first connection is open.
#[test]
fn connection_limit() {
    let limits = Limits {
        max_connections: 1,
        ..Limits::default()
    };
    let paths = Arc::new(Mutex::new(Vec::new()));
    let recorded = paths.clone();
    let server = start_server(limits, move |request, responder| {
        recorded.lock().unwrap().push(request.path.clone());
        responder.send(Response::text(200, "seen\n"));
    });
    let first = connect(&server);
    let mut reader = BufReader::new(&first);
    let mut second = None;
    for _ in 0..20 {
        (&first)
            .write_all(b"GET /first HTTP/1.1\r\nhost: a\r\n\r\n")
            .unwrap();
        let mut line = String::new();
        while line != "seen\n" {
            line.clear();
            assert_ne!(reader.read_line(&mut line).unwrap(), 0);
        }
        // Opened after the first request, so that the server has the time of 19 more requests to
        // accept it by mistake.
        second.get_or_insert_with(|| {
            let mut client = connect(&server);
            client.write_all(CLOSE_REQUEST).unwrap();
            client
        });
    }
    drop(first);
    let response = read_to_close(&mut second.unwrap());
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let mut expected = vec!["/first"; 20];
    expected.push("/last");
    assert_eq!(*paths.lock().unwrap(), expected);
}

/// Guards against more concurrent handlers than the limit.
#[test]
fn request_limit() {
    let limits = Limits {
        max_requests: 1,
        ..Limits::default()
    };
    let (entered_sender, entered_receiver) = mpsc::channel();
    let (release_sender, release_receiver) = mpsc::channel::<()>();
    let channels = Mutex::new((entered_sender, release_receiver));
    let server = start_server(limits, move |_, responder| {
        let (entered_sender, release_receiver) = &*channels.lock().unwrap();
        entered_sender.send(()).unwrap();
        release_receiver.recv_timeout(TEST_TIMEOUT).unwrap();
        responder.send(Response::text(200, "done"));
    });
    let mut first = connect(&server);
    first.write_all(CLOSE_REQUEST).unwrap();
    entered_receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    let mut second = connect(&server);
    second.write_all(CLOSE_REQUEST).unwrap();
    let response = read_to_close(&mut second);
    assert!(response.starts_with("HTTP/1.1 429"), "{response}");
    assert!(response.contains(r#""ran":"not_run""#), "{response}");
    release_sender.send(()).unwrap();
    assert!(read_to_close(&mut first).ends_with("done"));
}

/// Waits until the server no longer accepts connections.
fn wait_until_closed(server: &dogwoodlb_http::Server) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while TcpStream::connect(server.address()).is_ok() {
        assert!(Instant::now() < deadline, "the server still listens");
        thread::yield_now();
    }
}

/// Guards against a shutdown that aborts a request in flight, waits for idle connections, or leaves
/// new connections in the kernel's accept queue until the requests in flight end.
#[test]
fn graceful_shutdown() {
    let (entered_sender, entered_receiver) = mpsc::channel();
    let (release_sender, release_receiver) = mpsc::channel::<()>();
    let channels = Mutex::new((entered_sender, release_receiver));
    let server = start_server(Limits::default(), move |_, responder| {
        let (entered_sender, release_receiver) = &*channels.lock().unwrap();
        let stream = responder.stream(200, &[]);
        stream.write(b"begin").unwrap();
        entered_sender.send(()).unwrap();
        release_receiver.recv_timeout(TEST_TIMEOUT).unwrap();
        stream.write(b"end").unwrap();
        stream.finish().unwrap();
    });
    let mut idle = connect(&server);
    let mut busy = connect(&server);
    busy.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    entered_receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    thread::scope(|scope| {
        let shutdown = scope.spawn(|| server.shutdown(TEST_TIMEOUT));
        wait_until_closed(&server);
        assert_eq!(read_to_close(&mut idle), "");
        assert_eq!(server.in_flight(), 1);
        release_sender.send(()).unwrap();
        let response = read_to_close(&mut busy);
        assert!(
            response.contains("end") && response.ends_with("0\r\n\r\n"),
            "{response}"
        );
        assert!(shutdown.join().unwrap());
    });
}

/// Guards against a shutdown that reports success although it aborted a request.
#[test]
fn shutdown_timeout() {
    let (entered_sender, entered_receiver) = mpsc::channel();
    let (release_sender, release_receiver) = mpsc::channel::<()>();
    let channels = Mutex::new((entered_sender, release_receiver));
    let server = start_server(Limits::default(), move |_, responder| {
        let (entered_sender, release_receiver) = &*channels.lock().unwrap();
        entered_sender.send(()).unwrap();
        // Returns when the test drops the sender.
        let _ = release_receiver.recv();
        responder.send(Response::text(200, "late"));
    });
    let mut client = connect(&server);
    client.write_all(CLOSE_REQUEST).unwrap();
    entered_receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(!server.shutdown(Duration::from_millis(50)));
    assert_eq!(read_to_close(&mut client), "");
    drop(release_sender);
}
