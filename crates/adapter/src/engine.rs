use crate::client::{to_json, Client, Exchange};
use dogwoodlb_external::engine::{CompletionRequest, Load, Order, Report, Weights};
use dogwoodlb_external::{Category, Cause, Error, Result};
use dogwoodlb_http::sse::{EventReader, DONE};
use serde::de::IgnoredAny;
use serde::Deserialize;
use serde_json::json;
use std::io::{self, ErrorKind, Read};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::Duration;

const MAX_EVENT_BYTES: usize = 1024 * 1024;
const MAX_STREAM_BYTES: u64 = 256 * 1024 * 1024;

/// A client of model engines.
///
/// Events are forwarded as they arrive. When the event handler stops a stream, the connection is
/// closed immediately, which cancels the request in the engine.
///
/// Each call has a connection of its own. Refusals and the responses to orders name no request, and
/// on a connection that was used before they could be late copies. See
/// docs/design/response-correlation.md.
#[derive(Debug)]
pub struct EngineClient {
    client: Client,
}

#[derive(Deserialize)]
struct WeightsResponse {
    weights: Vec<Weights>,
}

/// The fields of an event that decide what it is. The others belong to the caller.
#[derive(Deserialize)]
struct Event {
    dogwood: Option<Report>,
    error: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct ErrorResponse {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    code: String,
}

impl EngineClient {
    /// Creates a client of model engines.
    pub fn new() -> Self {
        Self {
            client: Client::new(0),
        }
    }
}

impl Default for EngineClient {
    fn default() -> Self {
        Self::new()
    }
}

fn build_get(address: SocketAddr, path: &str, timeout: Duration) -> Exchange<'_> {
    Exchange {
        target: "engine",
        address,
        method: "GET",
        path,
        headers: &[],
        body: None,
        idle_timeout: None,
        timeout,
    }
}

fn build_post<'a>(
    address: SocketAddr,
    path: &'a str,
    body: &'a [u8],
    timeout: Duration,
) -> Exchange<'a> {
    Exchange {
        method: "POST",
        headers: &[("content-type", "application/json")],
        body: Some(body),
        ..build_get(address, path, timeout)
    }
}

impl dogwoodlb_external::Engine for EngineClient {
    fn generate(
        &self,
        request: &CompletionRequest<'_>,
        on_event: &mut dyn FnMut(&str) -> ControlFlow<()>,
    ) -> Result<Report> {
        let exchange = Exchange {
            headers: &[
                ("content-type", "application/json"),
                ("x-request-id", request.request_id),
            ],
            idle_timeout: Some(request.idle_timeout),
            ..build_post(
                request.address,
                request.path,
                request.body.as_bytes(),
                request.timeout,
            )
        };
        let response = self.client.send(&exchange)?;
        match response.status().as_u16() {
            200 => {}
            status => return Err(exchange.status_error(status)),
        }
        let body = response.into_body().into_with_config();
        let body = IoErrorReader(body.limit(MAX_STREAM_BYTES).reader());
        let mut events = EventReader::new(body, MAX_EVENT_BYTES);
        let report = forward_events(&exchange, request.request_id, &mut events, on_event)?;
        read_to_end(&exchange, &mut events)?;
        // The stream is complete, so a `Break` has nothing to cancel.
        let _ = on_event(DONE);
        Ok(report)
    }

    fn cancel(&self, address: SocketAddr, request_id: &str, timeout: Duration) -> Result<()> {
        let body = to_json("engine", &json!({ "request_id": request_id }))?;
        let exchange = build_post(address, "/v1/cancel", &body, timeout);
        match self.client.call(&exchange)? {
            (200, ..) => Ok(()),
            (status, ..) => Err(exchange.status_error(status)),
        }
    }

    fn read_load(&self, address: SocketAddr, timeout: Duration) -> Result<Load> {
        let exchange = build_get(address, "/v1/load", timeout);
        self.client.call_json(&exchange, Category::InvalidResponse)
    }

    fn read_weights(&self, address: SocketAddr, timeout: Duration) -> Result<Vec<Weights>> {
        let exchange = build_get(address, "/v1/weights", timeout);
        let response: WeightsResponse = self
            .client
            .call_json(&exchange, Category::InvalidResponse)?;
        Ok(response.weights)
    }

    fn send_order(&self, address: SocketAddr, order: &Order, timeout: Duration) -> Result<()> {
        let body = to_json("engine", order)?;
        let exchange = build_post(address, "/v1/orders", &body, timeout);
        match self.client.call(&exchange)? {
            (200, ..) => Ok(()),
            (409, body, _) => Err(exchange.error(Category::Refused, order_refusal_cause(&body))),
            (status, ..) => Err(exchange.status_error(status)),
        }
    }
}

fn order_refusal_cause(body: &[u8]) -> Cause {
    let response: Option<ErrorResponse> = serde_json::from_slice(body).ok();
    match response
        .as_ref()
        .map(|response| response.error.code.as_str())
    {
        Some("stale_fence") => Cause::StaleFence,
        Some("expired") => Cause::OrderExpired,
        _ => Cause::Status(409),
    }
}

/// Forwards the events before `[DONE]` and returns the report in the last one.
///
/// An event is forwarded only once it is known to belong to the request, because the caller can't
/// be told to forget it when another engine continues the stream.
fn forward_events<R: Read>(
    exchange: &Exchange<'_>,
    request_id: &str,
    events: &mut EventReader<R>,
    on_event: &mut dyn FnMut(&str) -> ControlFlow<()>,
) -> Result<Report> {
    let mut report = None;
    loop {
        let event = events
            .next_event()
            .map_err(|e| stream_error(exchange, &e))?;
        let event = event.ok_or_else(|| exchange.error(Category::Ambiguous, Cause::Truncated))?;
        if event == DONE {
            let missing = Cause::Malformed("the report is missing");
            return report.ok_or_else(|| exchange.error(Category::Ambiguous, missing));
        }
        report = parse_event(exchange, request_id, &event)?;
        if on_event(&event).is_break() {
            return Err(exchange.error(Category::Cancelled, Cause::Cancelled));
        }
    }
}

/// Checks an event and returns its report, if it has one.
fn parse_event(exchange: &Exchange<'_>, request_id: &str, event: &str) -> Result<Option<Report>> {
    let malformed = |cause| exchange.error(Category::Ambiguous, Cause::Malformed(cause));
    let event: Event =
        serde_json::from_str(event).map_err(|_| malformed("an event is no completion chunk"))?;
    if event.error.is_some() {
        return Err(malformed("the engine reported an error in the stream"));
    }
    match event.dogwood {
        Some(report) if report.request_id != request_id => {
            Err(exchange.error(Category::Ambiguous, Cause::WrongRequest))
        }
        report => Ok(report),
    }
}

/// Checks that no event follows the last one.
fn read_to_end<R: Read>(exchange: &Exchange<'_>, events: &mut EventReader<R>) -> Result<()> {
    match events.next_event() {
        Ok(Some(_)) => {
            let cause = Cause::Malformed("an event follows [DONE]");
            Err(exchange.error(Category::Ambiguous, cause))
        }
        // The response is complete even if the connection is lost now.
        Ok(None) | Err(_) => Ok(()),
    }
}

#[cold]
fn stream_error(exchange: &Exchange<'_>, error: &dogwoodlb_http::Error) -> Error {
    // `IoErrorReader` reports the idle timeout as `WouldBlock` and the timeout of the whole response
    // as `TimedOut`.
    let cause = match error.io_kind() {
        Some(ErrorKind::TimedOut) => Cause::Timeout(exchange.timeout),
        Some(ErrorKind::WouldBlock) => {
            Cause::Timeout(exchange.idle_timeout.unwrap_or(exchange.timeout))
        }
        Some(ErrorKind::UnexpectedEof) => Cause::Truncated,
        Some(ErrorKind::FileTooLarge) => {
            Cause::TooLarge(usize::try_from(MAX_STREAM_BYTES).unwrap_or(usize::MAX))
        }
        Some(kind) => Cause::ConnectionBroken(kind),
        None => Cause::Malformed("invalid server-sent events"),
    };
    exchange.error(Category::Ambiguous, cause)
}

/// A response body that converts the errors of `ureq` to `std::io` error kinds, which the event
/// reader passes on to [`stream_error`].
struct IoErrorReader<R>(R);

impl<R: Read> Read for IoErrorReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0
            .read(buffer)
            .map_err(|error| match ureq::Error::from(error) {
                ureq::Error::Timeout(ureq::Timeout::PerRead) => ErrorKind::WouldBlock.into(),
                ureq::Error::Timeout(_) => ErrorKind::TimedOut.into(),
                ureq::Error::BodyExceedsLimit(_) => ErrorKind::FileTooLarge.into(),
                error => error.into_io(),
            })
    }
}
