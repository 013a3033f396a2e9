//! Checks of the status, and of the headers that tell where the body of a response ends.

use ureq::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ureq::http::{HeaderMap, Response, StatusCode, Version};

/// The highest status that HTTP knows (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;
/// The only transfer coding that `ureq` decodes.
const CHUNKED: &[u8] = b"chunked";

/// Checks that the status is one and the end of the body can be distinguished from a lost connection.
///
/// `ureq` accepts each status of three digits from 100 on, of which HTTP knows those to 599.
///
/// If the body ends when the connection closes, truncation can't be detected, and `ureq` treats
/// even a connection reset as the end of the body. It reads a body with an unknown transfer coding
/// in this way, and a chunked one of HTTP/1.0.
///
/// # Errors
///
/// The reason why the response can't be used.
pub(crate) fn check<T>(method: &str, response: &Response<T>) -> Result<(), &'static str> {
    let headers = response.headers();
    let status = response.status();
    if status.as_u16() > MAX_STATUS {
        return Err("the status is not one of HTTP");
    }
    // No request asks for another protocol.
    if status == StatusCode::SWITCHING_PROTOCOLS {
        return Err("the server switched protocols without a request to do so");
    }
    if headers.contains_key(TRANSFER_ENCODING) {
        let is_known = is_chunked(headers) && response.version() == Version::HTTP_11;
        return is_known.then_some(()).ok_or("unknown transfer coding");
    }
    let has_no_body =
        method == "HEAD" || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if has_no_body || headers.contains_key(CONTENT_LENGTH) {
        Ok(())
    } else {
        Err("the body has neither a length nor chunked encoding")
    }
}

/// Returns whether the body is chunked and nothing else.
fn is_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    codings.all(|coding| coding.as_bytes().eq_ignore_ascii_case(CHUNKED))
}
