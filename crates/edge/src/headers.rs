//! Helpers for HTTP headers.

use crate::protocol::HeaderNames;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION};
use hyper::http::response::Parts;
use hyper::StatusCode;
use std::time::Duration;

/// The hop-by-hop headers, which must not be forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The value of the header by which a replica says that it is leaving.
const LEAVING: &[u8] = b"1";

/// Removes the hop-by-hop headers, including those named by `Connection`.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Parses a header as a number of milliseconds.
pub(crate) fn header_millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let value = headers.get(name)?.to_str().ok()?;
    value.trim().parse().ok().map(Duration::from_millis)
}

/// Returns a header as a string if it is visible ASCII.
pub(crate) fn header_str<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns whether a response means that its request was not run: either the replica states it with
/// the `not_run` header, or the status is 421 and the response has no signature of a replica.
pub(crate) fn is_not_run(headers: &HeaderNames, response: &Parts) -> bool {
    response.headers.contains_key(&headers.not_run) || is_misdirected(headers, response)
}

/// Returns whether another process at the replica's address declines the request. The replica itself
/// signs a response with this status.
pub(crate) fn is_misdirected(headers: &HeaderNames, response: &Parts) -> bool {
    response.status == StatusCode::MISDIRECTED_REQUEST
        && !response.headers.contains_key(&headers.signature)
}

/// Returns whether the headers of a response say that the replica is leaving: the header is there,
/// and each of its values is `1`.
pub(crate) fn is_leaving(names: &HeaderNames, headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(&names.leaving).iter().peekable();
    values.peek().is_some() && values.all(|value| value.as_bytes().trim_ascii() == LEAVING)
}

/// Returns a header value with a number, saturated to 64 bits.
pub(crate) fn header_number(number: u128) -> HeaderValue {
    HeaderValue::from(u64::try_from(number).unwrap_or(u64::MAX))
}
