//! Checks of the status, and of the headers that tell where the body of a response ends.

use hyper::header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::StatusCode;

/// The highest status that HTTP knows (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;
/// The only transfer coding that the client decodes. It announces no other one to servers.
const CHUNKED: &[u8] = b"chunked";

/// Checks that the status is one and the end of the body is certain, and leaves at most one number in
/// `Content-Length`.
///
/// `hyper` accepts each status of three digits from 100 on. One that isn't known to HTTP comes from a
/// faulty server, and callers may take it for anything. See docs/incidents/invalid-statuses.md.
///
/// `hyper` reads a body with an unknown transfer coding until the connection ends, and accepts the
/// same length several times. Both would reach a caller to whom the response is passed on: the
/// first as another body than the server's, the second as a header that callers may reject.
///
/// # Errors
///
/// The reason why the response can't be used.
pub(crate) fn check(head: &mut Parts) -> Result<(), &'static str> {
    if head.status.as_u16() > MAX_STATUS {
        return Err("the status is not one of HTTP");
    }
    // The client never requests an upgrade, and the bytes that follow are no HTTP.
    if head.status == StatusCode::SWITCHING_PROTOCOLS {
        return Err("the server switched protocols without a request to do so");
    }
    if !has_known_coding(&head.headers) {
        return Err("the transfer coding is unknown");
    }
    unify_content_length(&mut head.headers);
    Ok(())
}

/// Returns whether the body of a checked response is chunked.
pub(crate) fn is_chunked(head: &Parts) -> bool {
    head.headers.contains_key(TRANSFER_ENCODING)
}

/// Returns whether the body is chunked and nothing else, or has no transfer coding.
fn has_known_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return true;
    };
    coding.as_bytes().eq_ignore_ascii_case(CHUNKED) && codings.next().is_none()
}

/// Replaces repeated lengths by one. They are equal, since `hyper` fails otherwise, except in
/// responses without a body; a length that is no number says nothing there.
fn unify_content_length(headers: &mut HeaderMap) {
    let Some(value) = headers.remove(CONTENT_LENGTH) else {
        return;
    };
    let first = value.to_str().ok().and_then(|text| text.split(',').next());
    let length: Option<u64> = first.and_then(|first| first.trim().parse().ok());
    if let Some(length) = length {
        headers.insert(CONTENT_LENGTH, length.into());
    }
}
