//! Guards against a node's response that broke off being shown to the operator as a whole one.

use dogwoodlb_ctl::{Client, HttpClient, Request, Response, SendError};
use rstest::rstest;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// How a node ends its connection.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It closes the connection.
    Close,
    /// It resets the connection.
    Reset,
}

/// Sends a request to a node that responds with the given text.
fn call(response: &str, end: End) -> Result<Response, SendError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let response = response.to_owned();
    let node = thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        read_head(&mut stream);
        stream.write_all(response.as_bytes()).unwrap();
        if let End::Reset = end {
            let socket = SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    let request = Request {
        path: "/v1/status",
        body: None,
        timeout: Duration::from_secs(20),
    };
    let outcome = HttpClient::new().send(address, &request);
    node.join().unwrap();
    outcome
}

fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
}

fn check_ambiguous(outcome: Result<Response, SendError>, context: &str) {
    assert!(
        matches!(outcome, Err(SendError::Ambiguous(_))),
        "{outcome:?} {context}"
    );
}

/// The response is cut after every byte before its end is known.
#[rstest]
#[case::sized("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n", "true")]
#[case::chunked(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "4\r\ntrue\r\n0\r\n"
)]
#[case::redirect("HTTP/1.1 307 Moved\r\nlocation: /\r\ncontent-length: 0\r\n\r\n", "")]
fn every_cut(#[case] head: &str, #[case] body: &str, #[values(End::Close, End::Reset)] end: End) {
    let response = format!("{head}{body}");
    for cut in 0..response.len() {
        check_ambiguous(call(&response[..cut], end), &response[..cut]);
    }
    let whole = call(&format!("{response}\r\n"), End::Close);
    assert!(whole.is_ok(), "{whole:?}");
}

/// A node frames all its responses, so one without a length or chunks has lost a part of its head or
/// is none of a node.
#[rstest]
#[case::without_length("HTTP/1.1 200 OK\r\n\r\ntrue")]
#[case::without_body("HTTP/1.1 200 OK\r\n\r\n")]
#[case::old_version("HTTP/1.0 200 OK\r\n\r\ntrue")]
#[case::unknown_coding("HTTP/1.1 200 OK\r\ntransfer-encoding: chunke\r\n\r\ntrue")]
#[case::old_chunked("HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ntrue\r\n0\r\n\r\n")]
fn unframed(#[case] response: &str, #[values(End::Close, End::Reset)] end: End) {
    check_ambiguous(call(response, end), response);
}
