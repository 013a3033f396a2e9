//! Finds out which response belongs to a request, and whether it proves that the request was not
//! run. See docs/design/response-correlation.md.

use crate::headers::{header_str, is_misdirected, is_not_run};
use crate::protocol::HeaderNames;
use bytes::Bytes;
use dogwoodlb_client::{Origin, Response};
use hyper::header::{HeaderValue, CONNECTION, HOST};
use hyper::http::response::Parts;
use hyper::Request;

/// The id of a replica that does not exist, and the host of requests to it.
const NO_REPLICA: HeaderValue = HeaderValue::from_static("none");

/// Why no response to a request is passed on.
pub(crate) enum Unanswered {
    /// The replica certainly did not run the request. Holds the head of its refusal.
    NotRun(Parts),
    /// No response is certain to belong to the request, which may have run.
    Unknown {
        /// The reason, for the log.
        reason: &'static str,
    },
}

/// Returns the response to a request, given the one after which it waited.
///
/// A response without an id is certainly the one to the request if nothing preceded it on its
/// connection. After another response it may be an extra one, and even a refusal proves nothing by
/// itself.
///
/// # Errors
///
/// [`Unanswered`] if the replica refused the request, or if no response to it was found.
pub(crate) async fn correlate(
    names: &HeaderNames,
    request_id: &str,
    response: Response,
) -> Result<Response, Unanswered> {
    let is_refusal = is_not_run(names, &response.head);
    match response.origin {
        Origin::Named | Origin::First if is_refusal => Err(not_run(names, response).await),
        // The connection would have ended with an earlier response that said so.
        Origin::Unnamed { .. } if is_refusal && closes_connection(&response.head) => {
            Err(not_run(names, response).await)
        }
        Origin::Named => Ok(response),
        Origin::First => Err(Unanswered::Unknown {
            reason: "the response names no request",
        }),
        Origin::Foreign | Origin::Unnamed { .. } => settle(names, request_id, response).await,
    }
}

/// Ends an exchange whose request was not run. The connection is kept, unless it leads to another
/// process than the replica.
async fn not_run(names: &HeaderNames, mut response: Response) -> Unanswered {
    if is_misdirected(names, &response.head) {
        response.body.prevent_reuse();
    }
    let head = response.head;
    response.body.discard().await;
    Unanswered::NotRun(head)
}

/// Looks for the response to a request behind one that may be an extra response. A second request
/// follows, which no replica runs. Replicas respond in order, so that the response to the first
/// request comes before the one to the second.
async fn settle(
    names: &HeaderNames,
    request_id: &str,
    doubtful: Response,
) -> Result<Response, Unanswered> {
    let (head, origin) = (doubtful.head.clone(), doubtful.origin);
    let Some(mut next) = doubtful.send_next(probe(names)).await else {
        return Err(Unanswered::Unknown {
            reason: "the connection ended after a response that may belong to another request",
        });
    };
    if header_str(&next.head.headers, &names.request_id) == Some(request_id) {
        let status = head.status.as_u16();
        tracing::warn!(request = request_id, status, "extra_response");
        // The response to the second request is still to come.
        next.body.prevent_reuse();
        return match is_not_run(names, &next.head) {
            true => Err(not_run(names, next).await),
            false => Ok(next),
        };
    }
    if !confirms_refusal(names, &head, origin, &next) {
        return Err(Unanswered::Unknown {
            reason: "no response to the request was found",
        });
    }
    if is_misdirected(names, &head) {
        next.body.prevent_reuse();
    }
    next.body.discard().await;
    Err(Unanswered::NotRun(head))
}

/// Returns whether the response `next` to the second request proves that the one before it, with
/// `head`, was a refusal of the first request. A copy of an earlier response could look like `next`,
/// unless the connection had no response without an id before.
fn confirms_refusal(names: &HeaderNames, head: &Parts, origin: Origin, next: &Response) -> bool {
    let Origin::Unnamed { is_first_unnamed } = origin else {
        return false;
    };
    let is_distinct = is_first_unnamed || next.head.status != head.status;
    let is_unnamed = matches!(next.origin, Origin::Unnamed { .. });
    is_not_run(names, head) && is_not_run(names, &next.head) && is_unnamed && is_distinct
}

/// Returns a request that every replica declines at once, also while it is full: it has no id and names
/// another replica.
fn probe(names: &HeaderNames) -> Request<Bytes> {
    let mut request = Request::new(Bytes::new());
    let headers = request.headers_mut();
    headers.insert(HOST, NO_REPLICA);
    headers.insert(names.instance.clone(), NO_REPLICA);
    request
}

/// Returns whether the server closes the connection after a response.
fn closes_connection(response: &Parts) -> bool {
    let values = response.headers.get_all(CONNECTION).iter();
    let mut options = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}
