//! Passes responses of replicas on to callers.

use crate::clock;
use crate::headers::{header_millis, remove_hop_by_hop};
use crate::protocol::HeaderNames;
use crate::reply::Body;
use dogwoodlb_client::{Progress, ProgressMonitor};
use dogwoodlb_config::Route;
use dogwoodlb_types::Instant;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::header::CONTENT_TYPE;
use hyper::http::{request, response};
use hyper::Response;
use std::time::Duration;

/// The time limit of a streamed body whose caller states none.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest time between two events of a stream, as a multiple of the route's latency objective.
const EVENT_GAP_FACTOR: u32 = 4;
const MIN_EVENT_GAP: Duration = Duration::from_secs(2);
/// The start of the content type of an event stream.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Returns the limits on the time that a streamed response may take. The caller has left at its own
/// deadline; the route's time-out only bounds the wait for the head, since a stream may take longer.
pub(crate) fn body_monitor(
    names: &HeaderNames,
    route: &Route,
    request: &request::Parts,
    began: Instant,
    response: &response::Parts,
) -> ProgressMonitor {
    let stated = header_millis(&request.headers, &names.deadline_ms);
    let content_type = response.headers.get(CONTENT_TYPE);
    let is_event_stream =
        content_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM));
    let (progress, limit) = match is_event_stream {
        true => {
            let gap = route.latency_target * EVENT_GAP_FACTOR;
            let max_gap = gap.max(MIN_EVENT_GAP);
            (Progress::Event { max_gap }, stated)
        }
        false => (Progress::Data, Some(stated.unwrap_or(DEFAULT_BODY_TIMEOUT))),
    };
    let now = tokio::time::Instant::now();
    let spent = clock::now().saturating_since(began);
    let deadline = limit.map(|limit| now + limit.saturating_sub(spent));
    let monitor = ProgressMonitor::new(progress, deadline);
    match request.headers.contains_key(&names.last_event) {
        true => monitor.allow_empty(),
        false => monitor,
    }
}

/// Passes a body on as it arrives. If it breaks off or stalls, so does the response of the caller.
pub(crate) fn stream_body(
    response: dogwoodlb_client::Response,
    monitor: ProgressMonitor,
) -> Response<Body> {
    let state = Some((response.body, monitor));
    let frames = futures_util::stream::unfold(state, |state| async move {
        let (mut body, mut monitor) = state?;
        match body.next_monitored(&mut monitor).await {
            Ok(Some(data)) => Some((Ok(Frame::data(data)), Some((body, monitor)))),
            Ok(None) => None,
            Err(error) => {
                tracing::info!(%error, "response_stream_failed");
                Some((Err(error), None))
            }
        }
    });
    build_response(response.head, Box::pin(StreamBody::new(frames)))
}

/// Returns a response with the status and the headers of a replica's.
pub(crate) fn build_response(head: response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    remove_hop_by_hop(response.headers_mut());
    response
}
