//! At-most-once execution of a non-idempotent call with an idempotency key.
//!
//! A [`Call`] writes an intent row before it sends the first byte to the upstream, dispatches
//! only once the row is confirmed to be its own, and writes the outcome afterwards. A later call
//! with the same key, on any node, finds the row. It replays the stored reply, waits for it, or
//! reports that the call may have run. See docs/design.md, section 4.6.
//!
//! A key has the following states; each arrow is a conditional write of the row:
//!
//! ```text
//! absent -> started -> done       the reply is stored
//!                   -> unknown    the upstream may have executed the call
//!                   -> open       the upstream was not reached; a retry may claim the key
//! open   -> started
//! ```
//!
//! The status "not run" refers to the key, not to one attempt: it is reported only if a read or
//! the call's own write shows that no call with the key has run. While the table is unavailable
//! this cannot be determined, so the call is refused with `store_unavailable` and "may have run",
//! and the caller retries with the same key.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_once::{Action, Response, Call, RequestDigest, CallKey, Request};
//! use dogwoodlb_external::service::Reply;
//! use dogwoodlb_external::table::Outcome;
//! use dogwoodlb_types::prelude::*;
//!
//! let now = Instant::from_millis(0);
//! let mut call = Call::new(Request {
//!     key: CallKey::new(&"quotes".parse()?, "order-17")?,
//!     operation: id::Operation(7),
//!     digest: RequestDigest::new("POST", "/orders", b"{}"),
//!     created: Timestamp::from_millis(1_700_000_000_000),
//!     deadline: Instant::from_millis(10_000),
//! });
//!
//! // The intent is written first.
//! let actions = call.poll(now);
//! assert!(matches!(actions[..], [Action::Commit { .. }]));
//! let actions = call.on_commit(&Ok(Outcome::Applied { version: 5 }), now)?;
//! assert!(matches!(actions[..], [Action::Dispatch { .. }]));
//!
//! // The caller gets the reply immediately; the outcome is stored afterwards.
//! let reply = Reply { status: 201, content_type: None, body: b"ok".to_vec() };
//! let actions = call.on_dispatch(&Ok(reply.clone()), now)?;
//! assert_eq!(actions[0], Action::Respond(Response::Reply(reply)));
//! assert!(matches!(actions[1], Action::Commit { .. }));
//! call.on_commit(&Ok(Outcome::Applied { version: 6 }), now)?;
//! assert!(call.is_finished());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod action;
mod call;
mod claim;
mod error;
mod key;
mod row;
mod settle;

pub use action::{Action, Response};
pub use call::{execution_after_failure, Call, Request};
pub use error::{Category, Error};
pub use key::{CallKey, RequestDigest, ROW_KEY_PREFIX};
pub use row::{is_expired, KEY_TTL, MAX_STORED_REPLY_BYTES};

/// The result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
