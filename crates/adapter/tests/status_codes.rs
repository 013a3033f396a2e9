//! Guards against a response whose status is no status of HTTP being returned as a reply.

use dogwoodlb_adapter::{ServiceClient, TableClient};
use dogwoodlb_external::service::{Call, Reply};
use dogwoodlb_external::{Category, Result, Service as _, Table as _};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a server that responds to one request with a status line.
fn start_server(status: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let response = format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\n{{}}");
    thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        // The request is short and arrives whole.
        let read = stream.read(&mut [0; 1_024]).unwrap();
        assert!(read > 0, "a request");
        stream.write_all(response.as_bytes()).unwrap();
    });
    address
}

fn call_service(status: &str) -> Result<Reply> {
    ServiceClient::new().call(&Call {
        address: start_server(status),
        method: "GET",
        path: "/",
        request_id: "r-1",
        content_type: None,
        body: b"",
        timeout: TIMEOUT,
    })
}

/// The server may have run the request.
#[rstest]
fn invalid_status(
    #[values("000 OK", "099 OK", "600 OK", "999 OK", "20 OK", "2000 OK", "OK")] status: &str,
) {
    let error = call_service(status).expect_err("no reply");
    assert_eq!(error.classify(), Category::Ambiguous, "{error}");
    let row = TableClient::new(start_server(status)).read("a", TIMEOUT);
    let error = row.expect_err("no row");
    assert_eq!(error.classify(), Category::Ambiguous, "{error}");
}

#[rstest]
fn valid_status(#[values(200, 299, 421, 500, 599)] status: u16) {
    let reply = call_service(&format!("{status} X")).unwrap();
    assert_eq!(reply.status, status);
}
