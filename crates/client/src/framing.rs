//! Checks of the headers that tell where the body of a response ends.

use hyper::header::{HeaderMap, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::StatusCode;

/// The only transfer coding that the client decodes. It announces no other one to servers.
const CHUNKED: &[u8] = b"chunked";

/// Checks that the end of the body is certain.
///
/// `hyper` decodes only the last transfer coding, and reads a body with an unknown one until the
/// connection ends. Either is not the body that the server encoded.
///
/// # Errors
///
/// The reason why the response can't be used.
pub(crate) fn check(head: &Parts) -> Result<(), &'static str> {
    // The client never requests an upgrade, and the bytes that follow are no HTTP.
    if head.status == StatusCode::SWITCHING_PROTOCOLS {
        return Err("the server switched protocols without a request to do so");
    }
    if !has_known_coding(&head.headers) {
        return Err("the transfer coding is unknown");
    }
    Ok(())
}

/// Returns whether the body is chunked and nothing else, or has no transfer coding.
fn has_known_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return true;
    };
    coding.as_bytes().eq_ignore_ascii_case(CHUNKED) && codings.next().is_none()
}
