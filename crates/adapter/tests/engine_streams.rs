//! Tests that a completion stream is complete, belongs to its request, and is cancelled when its
//! event handler stops it.

#[path = "support/raw_server.rs"]
mod raw_server;

use dogwoodlb_adapter::EngineClient;
use dogwoodlb_external::engine::{CompletionRequest, Report};
use dogwoodlb_external::{Category, Cause, Engine as _, Result};
use dogwoodlb_standin::{bind_loopback, engine, Effect, Fault};
use dogwoodlb_types::{check_spans, id};
use raw_server::{start_raw_server, unused_address, TEST_TIMEOUT};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::ops::ControlFlow;
use std::thread;

fn generate(
    address: SocketAddr,
    on_event: &mut dyn FnMut(&str) -> ControlFlow<()>,
) -> Result<Report> {
    generate_with(&EngineClient::new(), address, on_event)
}

fn generate_with(
    client: &EngineClient,
    address: SocketAddr,
    on_event: &mut dyn FnMut(&str) -> ControlFlow<()>,
) -> Result<Report> {
    let request = CompletionRequest {
        address,
        path: "/v1/completions",
        request_id: "r-1",
        body: r#"{"prompt":"a","max_tokens":20,"stream":true}"#,
        idle_timeout: TEST_TIMEOUT,
        timeout: TEST_TIMEOUT,
    };
    client.generate(&request, on_event)
}

fn start_engine() -> engine::Engine {
    let config = engine::Config {
        models: vec![("scorer".parse().unwrap(), id::Version(3))],
        min_tokens: 10,
        ..engine::Config::default()
    };
    engine::Engine::start(bind_loopback().unwrap(), config).unwrap()
}

/// Guards against buffering of events. The engine may generate a token only after the handler has
/// received the previous one, so that buffering ends in a time-out.
#[test]
fn events_are_forwarded_immediately() {
    let server = start_engine();
    server.set_token_budget(Some(1));
    let mut events = Vec::new();
    let report = generate(server.address(), &mut |event| {
        events.push(event.to_owned());
        server.set_token_budget(Some(1));
        ControlFlow::Continue(())
    });
    let report = report.unwrap();
    assert_eq!(events.pop().as_deref(), Some("[DONE]"));
    assert_eq!(events.len() as u32, report.tokens + 1);
    assert_eq!(report.request_id, "r-1");
    check_spans(&report.spans, report.tokens).unwrap();
}

/// Guards against a request that continues in the engine after the handler stopped the stream.
#[test]
fn cancelled_stream() {
    let server = start_engine();
    server.set_token_budget(Some(1));
    let error = generate(server.address(), &mut |_| ControlFlow::Break(())).unwrap_err();
    assert_eq!(error.classify(), Category::Cancelled, "{error}");
    // The engine may generate no further token, so the request ends only because the client
    // disconnects.
    let deadline = std::time::Instant::now() + TEST_TIMEOUT;
    while server.load().running > 0 {
        assert!(
            std::time::Instant::now() < deadline,
            "the engine still runs the cancelled request"
        );
        std::thread::yield_now();
    }
}

/// Guards against an incomplete stream that is reported as complete.
#[rstest]
#[case::before_first_event(Effect::Break { events: 0 }, Category::Ambiguous)]
#[case::between_events(Effect::Break { events: 5 }, Category::Ambiguous)]
#[case::lost_reply(Effect::LoseReply, Category::Ambiguous)]
#[case::lost_request(Effect::LoseRequest, Category::Ambiguous)]
#[case::refused(Effect::Refuse, Category::Refused)]
fn broken_stream(#[case] effect: Effect, #[case] category: Category) {
    let server = start_engine();
    server
        .faults()
        .inject(Fault::once("/v1/completions", effect));
    let error = generate(server.address(), &mut |_| ControlFlow::Continue(())).unwrap_err();
    assert_eq!(error.classify(), category, "{error}");
    assert!(!matches!(error.cause(), Cause::Timeout(_)), "{error}");
}

macro_rules! response {
    ($body:literal) => {
        concat!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", $body)
    };
}

const VALID_RESPONSE: &str = response!(
    "data: {\"dogwood\":{\"request_id\":\"r-1\",\"spans\":[],\"tokens\":0,\"queue\":0}}\n\n\
     data: [DONE]\n\n"
);

/// Guards against accepting a response that belongs to another request, or that lacks the report or
/// the final `[DONE]`.
#[rstest]
#[case::other_request(
    response!("data: {\"dogwood\":{\"request_id\":\"r-2\",\"spans\":[],\"tokens\":0,\"queue\":0}}\n\ndata: [DONE]\n\n"),
    "response belongs to another request"
)]
#[case::no_report(response!("data: {}\n\ndata: [DONE]\n\n"), "malformed response: the report is missing")]
#[case::no_events(response!("data: [DONE]\n\n"), "malformed response: the report is missing")]
#[case::report_not_last(
    response!("data: {\"dogwood\":{\"request_id\":\"r-1\",\"spans\":[],\"tokens\":0,\"queue\":0}}\n\ndata: {}\n\ndata: [DONE]\n\n"),
    "malformed response: the report is missing"
)]
#[case::no_done(
    response!("data: {\"dogwood\":{\"request_id\":\"r-1\",\"spans\":[],\"tokens\":0,\"queue\":0}}\n\n"),
    "response ended early"
)]
#[case::incomplete_done(
    response!("data: {\"dogwood\":{\"request_id\":\"r-1\",\"spans\":[],\"tokens\":0,\"queue\":0}}\n\ndata: [DONE]\n"),
    "response ended early"
)]
#[case::event_after_done(
    response!("data: {\"dogwood\":{\"request_id\":\"r-1\",\"spans\":[],\"tokens\":0,\"queue\":0}}\n\ndata: [DONE]\n\ndata: {}\n\n"),
    "malformed response: an event follows [DONE]"
)]
fn invalid_stream(#[case] response: &'static str, #[case] cause: &str) {
    let (address, _requests) = start_raw_server(response);
    let error = generate(address, &mut |_| ControlFlow::Continue(())).unwrap_err();
    assert_eq!(error.classify(), Category::Ambiguous, "{error}");
    assert_eq!(error.cause().to_string(), cause);
}

/// Guards against checks that reject valid streams, in which case the tests above prove nothing.
#[test]
fn valid_stream() {
    let (address, _requests) = start_raw_server(VALID_RESPONSE);
    let report = generate(address, &mut |_| ControlFlow::Continue(()));
    assert_eq!(report.unwrap().request_id, "r-1");
}

/// Serves completions on kept connections. Before it runs a request that is not the first one on its
/// connection, it sends a refusal that is not the response to it.
fn start_late_engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || {
                let mut stream = stream.unwrap();
                let mut buffer = [0; 4_096];
                for position in 0.. {
                    if stream.read(&mut buffer).unwrap_or(0) == 0 {
                        return;
                    }
                    // The client may have closed the connection.
                    if position > 0 {
                        let refusal = "HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n";
                        let _ = stream.write_all(refusal.as_bytes());
                    }
                    let _ = stream.write_all(KEPT_RESPONSE.as_bytes());
                }
            });
        }
    });
    address
}

const KEPT_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 86\r\n\r\n\
    data: {\"dogwood\":{\"request_id\":\"r-1\",\"spans\":[],\"tokens\":0,\"queue\":0}}\n\n\
    data: [DONE]\n\n";

/// A late refusal was taken for the response to the next completion on its connection, so that this
/// one counted as not run while the engine ran it. See docs/incidents/late-refusals.md.
#[test]
fn late_refusal() {
    let address = start_late_engine();
    let client = EngineClient::new();
    for _ in 0..3 {
        let report = generate_with(&client, address, &mut |_| ControlFlow::Continue(()));
        assert_eq!(report.unwrap().request_id, "r-1");
    }
}

/// Guards against unbounded memory use for one event.
#[test]
fn oversized_event() {
    let data = "x".repeat(2 * 1024 * 1024).leak();
    let (address, _requests) = start_raw_server(format!("{}data: {data}", response!("")).leak());
    let error = generate(address, &mut |_| ControlFlow::Continue(())).unwrap_err();
    assert!(matches!(error.cause(), Cause::Malformed(_)), "{error}");
}

/// Guards against classifying a refused connection as a request that may have run.
#[test]
fn connection_refused() {
    let error = generate(unused_address(), &mut |_| ControlFlow::Continue(())).unwrap_err();
    assert_eq!(error.classify(), Category::NotSent, "{error}");
}
