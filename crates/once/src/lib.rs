//! The at-most-once core of one non-idempotent call with a key.
//!
//! A [`Call`] writes an intent row before the first byte is sent, dispatches only after the
//! row is known to be its own, and writes the outcome afterwards. A later call with the same
//! key, on any node, finds the row: it replays the stored answer, or waits for it, or reports
//! that the call may have run. See docs/design.md, section 4.6.
//!
//! A key moves through these states; an arrow is a conditional write of the row:
//!
//! ```text
//! absent -> started -> done       the answer is stored
//!                   -> unknown    the upstream may have executed the call
//!                   -> open       the upstream was not reached; a retry may claim the key
//! open   -> started
//! ```
//!
//! "Not run" speaks of the key: it is said only where a read or an own write shows that no call
//! with the key has run. While the table is down a call can't know that, so it is refused with
//! `store_unavailable` as one that may have run, and the caller repeats it with the same key.
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
//! // The intent goes first.
//! let actions = call.poll(now);
//! assert!(matches!(actions[..], [Action::Commit { .. }]));
//! let actions = call.on_commit(&Ok(Outcome::Applied { version: 5 }), now)?;
//! assert!(matches!(actions[..], [Action::Dispatch { .. }]));
//!
//! // The answer goes to the caller at once; the outcome is stored after it.
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
pub use call::{ran_after_failure, Call, Request};
pub use error::{Category, Error};
pub use key::{CallKey, RequestDigest, ROW_KEY_PREFIX};
pub use row::{is_expired, KEY_TTL, MAX_STORED_REPLY_BYTES};

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
