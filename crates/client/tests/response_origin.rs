//! Guards against a response that is taken for that to another request on its connection.

#[path = "support/runtime.rs"]
mod runtime;

use bytes::Bytes;
use dogwoodlb_client::{Client, Origin, Response, Settings};
use hyper::header::HeaderName;
use hyper::Request;
use rstest::rstest;
use runtime::block_on;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const NAMED: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ncontent-length: 0\r\n\r\n";
const FOREIGN: &str = "HTTP/1.1 200 OK\r\nrequest-id: other\r\ncontent-length: 0\r\n\r\n";
const UNNAMED: &str = "HTTP/1.1 503 Full\r\ncontent-length: 4\r\n\r\nfull";
const ENDLESS: &str = "HTTP/1.1 503 Full\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n";
const CLOSING: &str = "HTTP/1.1 503 Full\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
const PAUSE: &str = "|";
const EXTRA_DELAY: Duration = Duration::from_millis(50);

const FIRST_UNNAMED: Origin = Origin::Unnamed {
    is_first_unnamed: true,
};
const LATER_UNNAMED: Origin = Origin::Unnamed {
    is_first_unnamed: false,
};

/// Starts a server that sends the given bytes in response to the requests of each connection. Bytes
/// are separated by [`PAUSE`] if there is a pause between them.
fn server(responses: &[&str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let responses: Arc<[String]> = responses.iter().map(|&bytes| bytes.into()).collect();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let responses = responses.clone();
            thread::spawn(move || serve(stream.unwrap(), &responses));
        }
    });
    address
}

fn serve(mut stream: TcpStream, responses: &[String]) {
    let mut buffer = [0; 4_096];
    for response in responses {
        let read = stream.read(&mut buffer).unwrap_or(0);
        let head = String::from_utf8_lossy(&buffer[..read]).into_owned();
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("request-id: "));
        for (number, part) in response.split(PAUSE).enumerate() {
            if number > 0 {
                thread::sleep(EXTRA_DELAY);
            }
            // The client may have closed the connection.
            let _ = stream.write_all(part.replace("{id}", id.unwrap_or_default()).as_bytes());
        }
    }
    // Stays open until the client closes it.
    let _ = stream.read(&mut buffer);
}

fn client() -> Client {
    Client::new(Settings::default()).with_id_header(HeaderName::from_static("request-id"))
}

fn request(id: &str) -> Request<Bytes> {
    let request = Request::builder().uri("/").header("host", "h");
    let request = match id {
        "" => request,
        id => request.header("request-id", id),
    };
    request.body(Bytes::new()).unwrap()
}

async fn send(client: &Client, address: SocketAddr, id: &str) -> Response {
    client.send(address, request(id)).await.unwrap()
}

#[rstest]
#[case::named([NAMED, NAMED], "b", Origin::Named)]
#[case::foreign([NAMED, FOREIGN], "b", Origin::Foreign)]
#[case::unnamed([NAMED, UNNAMED], "b", FIRST_UNNAMED)]
#[case::later_unnamed([UNNAMED, UNNAMED], "b", LATER_UNNAMED)]
#[case::request_without_id([NAMED, UNNAMED], "", FIRST_UNNAMED)]
#[case::named_without_request_id([NAMED, FOREIGN], "", Origin::Foreign)]
fn second_response(#[case] responses: [&str; 2], #[case] id: &str, #[case] origin: Origin) {
    let address = server(&responses);
    block_on(async {
        let client = client();
        send(&client, address, "a").await.body.discard().await;
        assert_eq!(send(&client, address, id).await.origin, origin);
        assert_eq!(client.connections_opened(), 1);
    });
}

#[test]
fn first_response() {
    let address = server(&[UNNAMED]);
    block_on(async {
        let response = send(&client(), address, "a").await;
        assert_eq!(response.origin, Origin::First);
    });
}

/// A late copy of a response names the id of a request that was sent again, so this one needs another
/// connection.
#[test]
fn repeated_id() {
    let address = server(&[NAMED; 3]);
    block_on(async {
        let client = client();
        for (id, connections) in [("a", 1), ("a", 2), ("b", 2), ("b", 2), ("a", 3)] {
            send(&client, address, id).await.body.discard().await;
            assert_eq!(client.connections_opened(), connections, "{id}");
        }
    });
}

/// A connection remembers the ids that it has carried, so that it must not be used without end.
#[test]
fn exhausted_connection() {
    let address = server(&[NAMED; 400]);
    block_on(async {
        let client = client();
        for number in 0..300 {
            let response = send(&client, address, &number.to_string()).await;
            response.body.discard().await;
        }
        assert_eq!(client.connections_opened(), 2);
    });
}

#[test]
fn new_connection() {
    let address = server(&[NAMED; 2]);
    block_on(async {
        let client = client();
        send(&client, address, "a").await.body.discard().await;
        let checked = client.checked(&|| true).on_new_connection();
        let response = checked.send(address, request("b")).await.unwrap();
        assert_eq!(response.origin, Origin::Named);
        assert_eq!(client.connections_opened(), 2);
    });
}

/// The response to a request is found behind an extra one.
#[test]
fn response_behind_extra_one() {
    let address = server(&[&[UNNAMED, NAMED].join(PAUSE), UNNAMED]);
    block_on(async {
        let client = client();
        let extra = send(&client, address, "a").await;
        let next = extra.send_next(request("")).await.unwrap();
        assert_eq!(next.origin, Origin::Named);
        next.body.discard().await;
        // The response to the second request is still to come on the first connection.
        send(&client, address, "b").await;
        assert_eq!(client.connections_opened(), 2);
    });
}

/// The connection of an ended exchange can't carry a second request.
#[rstest]
#[case::closing(CLOSING)]
#[case::endless(ENDLESS)]
fn no_next_response(#[case] first: &str) {
    let address = server(&[first]);
    block_on(async {
        let client = client();
        let refusal = send(&client, address, "a").await;
        assert!(refusal.send_next(request("")).await.is_none());
        assert_eq!(client.connections_opened(), 1);
    });
}
