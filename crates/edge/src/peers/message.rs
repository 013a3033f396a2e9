//! The encoding of requests between nodes.
//!
//! Nodes of different versions work together while a deployment is updated. The caller on whose
//! behalf a request is made follows the request, whose decoder ignores the bytes after it, and is
//! absent if callers are not told apart.

use super::requests::PeerRequest;
use crate::identity::Caller;
use dogwoodlb_config::Organisation;
use std::sync::Arc;

/// Encodes a request that is made on behalf of a caller.
pub(super) fn encode(request: &PeerRequest, caller: &Caller) -> postcard::Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(request)?;
    let organisation = match caller {
        Caller::Unrestricted => return Ok(bytes),
        Caller::Anonymous => None,
        Caller::Member(organisation) => Some(&organisation.name),
    };
    postcard::to_extend(&organisation, bytes)
}

/// Decodes a request and its caller. An unreadable caller is an error: without it, the request would
/// count as one of a node that does not tell callers apart.
pub(super) fn decode(bytes: &[u8]) -> postcard::Result<(PeerRequest, Caller)> {
    let (request, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        return Ok((request, Caller::Unrestricted));
    }
    let organisation: Option<String> = postcard::from_bytes(rest)?;
    let caller = match organisation {
        Some(name) => {
            let priority = None;
            Caller::Member(Arc::new(Organisation { name, priority }))
        }
        None => Caller::Anonymous,
    };
    Ok((request, caller))
}
