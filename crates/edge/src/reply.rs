//! Responses that the node generates itself.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE, EXPECT, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use std::convert::Infallible;
use std::pin::Pin;
use std::time::Duration;
use tokio::time::timeout;

/// The retry-after time if the request body did not arrive.
const BODY_RETRY_AFTER: Duration = Duration::from_millis(100);
/// How long the body of a refused request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// The body of a response. An error closes the connection, so that the caller can't mistake a
/// truncated body for a complete one.
pub(crate) type Body =
    Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = dogwoodlb_client::Error>>>;

/// Returns a body with the given bytes.
pub(crate) fn full_body(bytes: Bytes) -> Body {
    let never = |never: Infallible| match never {};
    Box::pin(Full::new(bytes).map_err(never))
}

/// Returns a plain-text response with a status and a reason.
pub(crate) fn plain_text(status: StatusCode, reason: &'static str) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::from_static(reason.as_bytes())));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}

/// Returns a 503 response with a retry-after time, for a request that was not run.
pub(crate) fn unavailable(reason: &'static str, retry_after: Duration) -> Response<Body> {
    let mut response = plain_text(StatusCode::SERVICE_UNAVAILABLE, reason);
    let retry_after = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(retry_after) = HeaderValue::from_str(&retry_after) {
        response.headers_mut().insert(RETRY_AFTER, retry_after);
    }
    response
}

/// Returns a JSON response.
pub(crate) fn json(bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(full_body(bytes));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Reads a request body. On failure, returns the error response; the request was not run.
pub(crate) async fn read_body(
    body: Incoming,
    limit: usize,
    wait: Duration,
) -> Result<Bytes, Response<Body>> {
    match timeout(wait, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(plain_text(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large",
        )),
        _ => Err(unavailable("the body did not arrive", BODY_RETRY_AFTER)),
    }
}

/// Reads the body of a refused request and drops it, up to a size and for a limited time. If it
/// stayed unread, closing the connection would reset it, and a caller that is still sending would not
/// see the response. A caller that waits for permission to send gets none.
pub(crate) async fn discard_body(head: &Parts, mut body: Incoming, limit: usize) {
    if head.headers.contains_key(EXPECT) {
        return;
    }
    let read = async {
        let mut size = 0;
        while let Some(Ok(frame)) = body.frame().await {
            size += frame.data_ref().map_or(0, Bytes::len);
            if size > limit {
                break;
            }
        }
    };
    // The response follows, whether or not the body has ended.
    let _ = timeout(DISCARD_TIMEOUT, read).await;
}
