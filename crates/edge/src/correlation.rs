//! Finds the response to a request, or proof that the request was not run. See
//! docs/design/response-correlation.md.

use crate::headers::{is_misdirected, is_not_run};
use crate::protocol::HeaderNames;
use bytes::Bytes;
use dogwoodlb_client::{Evidence, Origin, Response, Verdict};
use hyper::header::{HeaderValue, CONNECTION, HOST};
use hyper::http::response::Parts;
use hyper::Request;

/// The id of a replica that does not exist, and the host of requests to it.
const NO_REPLICA: HeaderValue = HeaderValue::from_static("none");

/// A request that was sent to a replica.
#[derive(Clone, Copy)]
pub(crate) struct SentRequest<'a> {
    pub(crate) id: &'a str,
    pub(crate) replica: &'a str,
}

/// Why there is no response to pass on.
pub(crate) enum Unanswered {
    /// The replica did not run the request. Holds the head of its refusal.
    NotRun(Parts),
    /// No response is certain to belong to the request, which may have run. The reason is logged.
    Unknown,
}

/// Returns the response to a request. `received` is the first response after the request, which may
/// belong to another one.
///
/// # Errors
///
/// [`Unanswered`] if the replica refused the request, or if no response to it was found.
pub(crate) async fn correlate(
    names: &HeaderNames,
    request: SentRequest<'_>,
    received: Response,
) -> Result<Response, Unanswered> {
    match evidence(names, &received).judge() {
        Verdict::Answered => Ok(received),
        Verdict::NotRun => Err(not_run(names, received).await),
        Verdict::Doubtful => settle(names, request, received).await,
        Verdict::Unknown => Err(unknown(request, "the response names no request")),
    }
}

/// Decides on a doubtful response by the next one, which a second request brings about.
async fn settle(
    names: &HeaderNames,
    request: SentRequest<'_>,
    doubtful: Response,
) -> Result<Response, Unanswered> {
    let (first, head) = (evidence(names, &doubtful), doubtful.head.clone());
    let Some(mut next) = doubtful.send_next(probe(names)).await else {
        return Err(unknown(
            request,
            "the connection ended after a doubtful response",
        ));
    };
    let second = evidence(names, &next);
    if next.origin == Origin::Named {
        let SentRequest { id, replica } = request;
        tracing::warn!(
            request = id,
            replica,
            status = first.status,
            "extra_response"
        );
        return match second.is_refusal {
            true => Err(not_run(names, next).await),
            false => Ok(next),
        };
    }
    if !first.is_confirmed_by(&second) {
        return Err(unknown(request, "no response to the request was found"));
    }
    if is_misdirected(names, &head) {
        next.body.prevent_reuse();
    }
    next.body.discard().await;
    Err(Unanswered::NotRun(head))
}

/// Ends an exchange whose request was not run. The connection is kept, unless it leads to another
/// process than the replica.
async fn not_run(names: &HeaderNames, mut refusal: Response) -> Unanswered {
    if is_misdirected(names, &refusal.head) {
        refusal.body.prevent_reuse();
    }
    let head = refusal.head;
    refusal.body.discard().await;
    Unanswered::NotRun(head)
}

fn unknown(request: SentRequest<'_>, reason: &'static str) -> Unanswered {
    let SentRequest { id, replica } = request;
    tracing::warn!(request = id, replica, reason, "response_not_correlated");
    Unanswered::Unknown
}

fn evidence(names: &HeaderNames, response: &Response) -> Evidence {
    Evidence {
        origin: response.origin,
        status: response.head.status.as_u16(),
        is_refusal: is_not_run(names, &response.head),
        is_last: closes_connection(&response.head),
    }
}

/// Returns a request that every replica declines at once, also while it is full: it has no id and
/// names another replica.
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
