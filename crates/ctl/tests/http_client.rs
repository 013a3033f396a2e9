//! Guards against an HTTP client that retries a request, follows a redirect or turns an error
//! status into an error.

use dogwoodlb_ctl::{Client, HttpClient, Request, SendError};
use dogwoodlb_http::{Handler, Limits, Responder, Response, Server};
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

#[derive(Default)]
struct RequestCounter(AtomicUsize);

impl Handler for RequestCounter {
    fn handle(&self, request: &dogwoodlb_http::Request, responder: Responder) {
        self.0.fetch_add(1, Ordering::SeqCst);
        match request.path.as_str() {
            "/echo" => responder.send(Response::new(200, "text/plain", request.body.clone())),
            "/moved" => {
                let mut response = Response::text(307, "");
                let location = ("location".to_owned(), "/echo".to_owned());
                response.headers.push(location);
                responder.send(response);
            }
            "/lost" => drop(responder),
            _ => responder.send(Response::text(503, "no")),
        }
    }
}

fn request(path: &'static str, body: Option<&str>) -> Request {
    Request {
        path,
        body: body.map(str::to_owned),
        timeout: Duration::from_secs(10),
    }
}

#[test]
fn each_request_is_sent_once() {
    let counter = Arc::new(RequestCounter::default());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = Server::start(listener, Limits::default(), counter.clone()).unwrap();
    let client = HttpClient::new();
    let send = |path, body| client.send(server.address(), &request(path, body)).unwrap();
    let echo = send("/echo", Some("text"));
    assert_eq!((echo.status, &*echo.body), (200, "text"));
    assert_eq!(send("/moved", Some("text")).status, 307);
    assert_eq!(send("/busy", None).status, 503);
    assert!(send("/lost", Some("text")).status >= 500);
    assert_eq!(counter.0.load(Ordering::SeqCst), 4);
    server.shutdown(Duration::from_secs(5));
}

/// A refused connection proves that the request was not sent; after a broken one it may have run.
#[test]
fn failure_kinds() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let accept = std::thread::spawn(move || drop(listener.accept().unwrap()));
    let client = HttpClient::new();
    let broken = client.send(address, &request("/echo", Some("text")));
    assert!(matches!(broken, Err(SendError::Ambiguous(_))), "{broken:?}");
    accept.join().unwrap();
    let refused = client.send(address, &request("/echo", Some("text")));
    assert!(matches!(refused, Err(SendError::NotSent(_))), "{refused:?}");
}
