//! Tests that a service call is attempted once and that its failure says whether it may have run.

#[path = "support/raw_server.rs"]
mod raw_server;

use dogwoodlb_adapter::ServiceClient;
use dogwoodlb_external::service::{Call, Reply};
use dogwoodlb_external::{Category, Result, Service as _};
use raw_server::{start_raw_server, unused_address, TEST_TIMEOUT};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

fn call(address: SocketAddr, method: &str, body: &str) -> Result<Reply> {
    ServiceClient::new().call(&Call {
        address,
        method,
        path: "/orders?a=b",
        request_id: "r-1",
        content_type: Some("text/plain"),
        body: body.as_bytes(),
        timeout: TEST_TIMEOUT,
    })
}

/// Guards against returning a status as an error, and against following redirects.
#[rstest]
#[case(200, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")]
#[case(
    302,
    "HTTP/1.1 302 Found\r\nlocation: /other\r\ncontent-length: 2\r\n\r\nok"
)]
#[case(503, "HTTP/1.1 503 Busy\r\ncontent-length: 2\r\n\r\nok")]
#[case(
    200,
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
)]
fn any_status(#[case] status: u16, #[case] response: &'static str) {
    let (address, requests) = start_raw_server(response);
    let reply = call(address, "POST", "body").unwrap();
    assert_eq!((reply.status, reply.body.as_slice()), (status, &b"ok"[..]));
    let request = requests.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(
        request.starts_with("POST /orders?a=b HTTP/1.1\r\n"),
        "{request}"
    );
    assert!(request.contains("x-request-id: r-1\r\n"), "{request}");
    assert!(request.ends_with("\r\n\r\nbody"), "{request}");
    assert!(requests.try_recv().is_err(), "the call was retried");
}

/// Guards against a retry, and against accepting a response that is missing, truncated, or whose
/// truncation can't be detected.
#[rstest]
#[case::missing("")]
#[case::truncated_header("HTTP/1.1 200 OK\r\ncontent-le")]
#[case::truncated_body("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nok")]
#[case::truncated_chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n")]
#[case::no_length("HTTP/1.1 200 OK\r\n\r\nok")]
#[case::not_http("ok ok ok ok\r\n\r\n")]
fn incomplete_response(
    #[case] response: &'static str,
    #[values("GET", "POST", "PUT", "DELETE")] method: &str,
) {
    let (address, requests) = start_raw_server(response);
    let error = call(address, method, "").unwrap_err();
    assert_eq!(error.classify(), Category::Ambiguous, "{error}");
    requests.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(requests.try_recv().is_err(), "the call was retried");
}

/// Guards against classifying a refused connection as a call that may have run.
#[test]
fn connection_refused() {
    let error = call(unused_address(), "POST", "body").unwrap_err();
    assert_eq!(error.classify(), Category::NotSent, "{error}");
}

/// Guards against sending a call whose timeout has already expired.
#[test]
fn expired_timeout() {
    let (address, requests) = start_raw_server("");
    let expired = Call {
        address,
        method: "POST",
        path: "/orders",
        request_id: "r-1",
        content_type: None,
        body: b"",
        timeout: Duration::ZERO,
    };
    let error = ServiceClient::new().call(&expired).unwrap_err();
    assert_eq!(error.classify(), Category::NotSent, "{error}");
    assert!(requests.try_recv().is_err());
}

/// Guards against reusing a connection that the service may be closing.
#[test]
fn new_connection_per_call() {
    let service =
        dogwoodlb_standin::service::Service::start(dogwoodlb_standin::bind_loopback().unwrap());
    let service = service.unwrap();
    let client = ServiceClient::new();
    for _ in 0..3 {
        let reply = client.call(&Call {
            address: service.address(),
            method: "POST",
            path: "/echo",
            request_id: "r-1",
            content_type: None,
            body: b"same",
            timeout: TEST_TIMEOUT,
        });
        assert_eq!(reply.unwrap().body, b"same");
    }
    assert_eq!(service.executions("r-1"), 3);
    assert_eq!(service.connections(), 3);
}
