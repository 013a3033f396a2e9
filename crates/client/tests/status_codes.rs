//! Guards against a response whose status is no status of HTTP reaching the caller as a response.

#[path = "support/runtime.rs"]
mod runtime;

use bytes::Bytes;
use dogwoodlb_client::{Client, Error, Settings};
use hyper::Request;
use rstest::rstest;
use runtime::block_on;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

/// Starts a server that responds to one request with a status line.
fn start_server(status: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let response = format!("HTTP/1.1 {status}\r\nserver-stamp: s\r\ncontent-length: 2\r\n\r\nok");
    thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        // The request is short and arrives whole.
        let read = stream.read(&mut [0; 1_024]).unwrap();
        assert!(read > 0, "a request");
        stream.write_all(response.as_bytes()).unwrap();
    });
    address
}

fn send(status: &str) -> Result<u16, Error> {
    let address = start_server(status);
    let request = Request::builder().uri("/").header("host", "h");
    let request = request.body(Bytes::new()).unwrap();
    let client = Client::new(Settings::default());
    let response = block_on(async { client.send(address, request).await });
    response.map(|response| response.head.status.as_u16())
}

/// The server has seen the request and may have run it, so that it counts as sent.
#[rstest]
fn invalid_status(
    #[values(
        "000", "000 ", "000 OK", "001 OK", "099 OK", "600 OK", "777 OK", "999 OK", "0 OK", "20 OK",
        "2000 OK", "-20 OK", "2x0 OK", "OK"
    )]
    status: &str,
) {
    let error = send(status).expect_err("no response");
    assert!(!error.is_unsent(), "{error}");
}

#[rstest]
fn valid_status(#[values(200, 204, 299, 302, 421, 499, 500, 503, 599)] status: u16) {
    assert_eq!(send(&format!("{status} X")).unwrap(), status);
}
