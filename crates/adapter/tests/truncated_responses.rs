//! Guards against a response that ended early, or whose end can't be told, being taken for a whole
//! one.

use dogwoodlb_adapter::{EngineClient, ServiceClient, TableClient};
use dogwoodlb_external::engine::Weights;
use dogwoodlb_external::service::{Call, Reply};
use dogwoodlb_external::{Category, Engine as _, Result, Service as _, Table as _};
use rstest::rstest;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

/// How a server ends its connection.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It closes the connection.
    Close,
    /// It resets the connection.
    Reset,
}

/// Starts a server that responds to one request without a body.
fn start_server(response: &str, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let response = response.to_owned();
    thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        read_head(&mut stream);
        stream.write_all(response.as_bytes()).unwrap();
        if let End::Reset = end {
            let socket = SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    address
}

fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
}

fn call_service(address: SocketAddr, method: &str) -> Result<Reply> {
    ServiceClient::new().call(&Call {
        address,
        method,
        path: "/",
        request_id: "r-1",
        content_type: None,
        body: b"",
        timeout: TIMEOUT,
    })
}

fn check_incomplete<T: std::fmt::Debug>(outcome: Result<T>, context: &str) {
    let error = outcome.expect_err(context);
    assert_eq!(error.classify(), Category::Ambiguous, "{error} {context}");
}

const SIZED: &str = "HTTP/1.1 200 OK\r\nServer: a\r\nContent-Length: 10\r\n\r\nwhole body";
const EMPTY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nServer: a\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nServer: a\r\n\r\n\
                       a\r\nwhole body\r\n0\r\n\r\n";
const REDIRECT: &str =
    "HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\nServer: a\r\n\r\n";
const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n\
                       HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/// Returns the place of the empty line after the last chunk, or the length of a response that has no
/// chunks. After the last chunk, the body is known to be whole.
fn end_of_data(response: &str) -> usize {
    let last_chunk = response
        .find("0\r\n\r\n")
        .filter(|_| response.contains("chunked"));
    last_chunk.map_or(response.len(), |last_chunk| last_chunk + 3)
}

/// The response is cut after every byte.
#[rstest]
#[case::sized(SIZED)]
#[case::empty(EMPTY)]
#[case::chunked(CHUNKED)]
#[case::redirect(REDIRECT)]
#[case::interim(INTERIM)]
fn service(#[case] response: &str, #[values(End::Close, End::Reset)] end: End) {
    for cut in 0..end_of_data(response) {
        let address = start_server(&response[..cut], end);
        check_incomplete(call_service(address, "GET"), &response[..cut]);
    }
    let whole = call_service(start_server(response, End::Close), "GET");
    assert!(whole.is_ok(), "{whole:?}");
}

/// The row of a table, and the weights of an engine, are cut after every byte.
#[rstest]
#[case::sized("HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"weights\":[]}")]
#[case::chunked(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n{\"weights\":[]}\r\n0\r\n\r\n"
)]
fn json(#[case] response: &str, #[values(End::Close, End::Reset)] end: End) {
    for cut in 0..end_of_data(response) {
        let address = start_server(&response[..cut], end);
        let row = TableClient::new(address).read("a", TIMEOUT);
        check_incomplete(row, &response[..cut]);
        let address = start_server(&response[..cut], end);
        let weights = EngineClient::new().read_weights(address, TIMEOUT);
        check_incomplete(weights, &response[..cut]);
    }
    let address = start_server(response, End::Close);
    let weights = EngineClient::new().read_weights(address, TIMEOUT);
    assert_eq!(weights.unwrap(), Vec::<Weights>::new());
}

/// The end of the body can't be told, or the response can't be one to the request.
#[rstest]
#[case::without_length("HTTP/1.1 200 OK\r\n\r\nwhole body")]
#[case::old_version("HTTP/1.0 200 OK\r\n\r\nwhole body")]
#[case::unknown_coding("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nwhole body")]
#[case::misspelt_coding(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunke\r\n\r\na\r\nwhole body\r\n0\r\n\r\n"
)]
#[case::two_codings(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\na\r\nwhole body\r\n0\r\n\r\n"
)]
#[case::old_chunked(
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nwhole body\r\n0\r\n\r\n"
)]
#[case::folded_line("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n 0\r\n\r\nwhole body")]
#[case::two_lengths("HTTP/1.1 200 OK\r\nContent-Length: 10\r\nContent-Length: 5\r\n\r\nwhole body")]
#[case::list_of_lengths("HTTP/1.1 200 OK\r\nContent-Length: 5, 10\r\n\r\nwhole body")]
#[case::no_number("HTTP/1.1 200 OK\r\nContent-Length: ten\r\n\r\nwhole body")]
#[case::positive_sign("HTTP/1.1 200 OK\r\nContent-Length: +10\r\n\r\nwhole body")]
#[case::too_large("HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nwhole body")]
#[case::switched_protocols("HTTP/1.1 101 Switching Protocols\r\nContent-Length: 0\r\n\r\n")]
fn malformed(
    #[case] response: &str,
    #[values("GET", "POST")] method: &str,
    #[values(End::Close, End::Reset)] end: End,
) {
    let address = start_server(response, end);
    check_incomplete(call_service(address, method), response);
}
