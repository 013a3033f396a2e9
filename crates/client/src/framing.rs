//! Checks of the headers that tell where the body of a response ends.

use hyper::header::{HeaderMap, TRANSFER_ENCODING};

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
pub(crate) fn check(headers: &HeaderMap) -> Result<(), &'static str> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return Ok(());
    };
    if coding.as_bytes().eq_ignore_ascii_case(CHUNKED) && codings.next().is_none() {
        Ok(())
    } else {
        Err("the transfer coding is unknown")
    }
}
