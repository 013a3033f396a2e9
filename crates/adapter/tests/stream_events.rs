//! Guards against events that reach the caller although they are not part of its answer: the error
//! of an engine, the report of another request, or the `[DONE]` of a stream that is not complete.

#[expect(dead_code, reason = "other tests use the rest of the module")]
#[path = "support/raw_server.rs"]
mod raw_server;

use dogwoodlb_adapter::EngineClient;
use dogwoodlb_external::engine::CompletionRequest;
use dogwoodlb_external::{Category, Engine as _};
use raw_server::{start_raw_server, TEST_TIMEOUT};
use rstest::rstest;
use std::ops::ControlFlow;

const TOKEN: &str = r#"{"choices":[{"index":0,"text":"a"}]}"#;
const REPORT: &str = r#"{"dogwood":{"request_id":"r-1","spans":[],"tokens":1,"queue":0}}"#;
const OTHER_REPORT: &str = r#"{"dogwood":{"request_id":"r-2","spans":[],"tokens":1,"queue":0}}"#;
const ERROR: &str = r#"{"error":{"message":"out of memory"}}"#;
const DONE: &str = "[DONE]";

/// Sends the events to a client and returns those that it forwards, and whether the stream counts
/// as complete.
fn forward(events: &[&str]) -> (Vec<String>, bool) {
    let events = events.iter().map(|event| format!("data: {event}\n\n"));
    let body: String = events.collect();
    let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ";
    let response = format!("{head}{}\r\n\r\n{body}", body.len());
    let (address, _requests) = start_raw_server(response.leak());
    let request = CompletionRequest {
        address,
        path: "/v1/completions",
        request_id: "r-1",
        body: r#"{"prompt":"a","max_tokens":20,"stream":true}"#,
        idle_timeout: TEST_TIMEOUT,
        timeout: TEST_TIMEOUT,
    };
    let mut forwarded = Vec::new();
    let result = EngineClient::new().generate(&request, &mut |event| {
        forwarded.push(event.to_owned());
        ControlFlow::Continue(())
    });
    if let Err(error) = &result {
        assert_eq!(error.classify(), Category::Ambiguous, "{error}");
    }
    (forwarded, result.is_ok())
}

#[rstest]
#[case::error(&[TOKEN, ERROR, DONE], &[TOKEN])]
#[case::error_text(&[TOKEN, "Internal Server Error", DONE], &[TOKEN])]
#[case::error_after_report(&[TOKEN, REPORT, ERROR, DONE], &[TOKEN, REPORT])]
#[case::no_report(&[TOKEN, DONE], &[TOKEN])]
#[case::other_request(&[TOKEN, OTHER_REPORT, DONE], &[TOKEN])]
#[case::no_done(&[TOKEN, REPORT], &[TOKEN, REPORT])]
#[case::event_after_done(&[TOKEN, REPORT, DONE, TOKEN], &[TOKEN, REPORT])]
fn incomplete_stream(#[case] events: &[&str], #[case] expected: &[&str]) {
    assert_eq!(forward(events), (strings(expected), false));
}

/// Guards against checks that reject a valid stream, such as one with an empty list of choices.
#[rstest]
#[case::report(&[TOKEN, REPORT, DONE])]
#[case::usage(&[TOKEN, r#"{"choices":[],"usage":{},"error":null}"#, REPORT, DONE])]
fn complete_stream(#[case] events: &[&str]) {
    assert_eq!(forward(events), (strings(events), true));
}

fn strings(events: &[&str]) -> Vec<String> {
    events.iter().map(|event| (*event).to_owned()).collect()
}
