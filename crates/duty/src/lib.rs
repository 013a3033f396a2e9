//! Duties that one node at a time performs at the provider, and the usage that it reports there.
//!
//! The load is a few calls per second at most, which have to be made in any failure of nodes, links
//! and the store, and of which none may be made by two nodes at once.
//!
//! - [`Holder`] decides whether this node may make a call of a duty, and with which fencing token.
//!   Any duty can use it: the progress of the duty is opaque to it.
//! - [`Windows`] decides which usage report is decided, sent, repeated and removed.
//! - [`Meter`] counts the requests of a node by reporting window.
//! - [`WallClock`] keeps the numbers of the windows steady when the clock of a machine is stepped.
//!
//! See docs/design/duties.md.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_duty::{Holder, Moment};
//! use dogwoodlb_types::Instant;
//! use dogwoodlb_weights::StoreTime;
//! use std::time::Duration;
//!
//! let mut holder = Holder::new("edge-1", 7, Duration::from_secs(3));
//! let now = Moment {
//!     local: Instant::from_millis(1_000),
//!     store: StoreTime {
//!         earliest_ms: 500_000,
//!         steady_for: Duration::from_secs(60),
//!         max_jump: Duration::ZERO,
//!     },
//!     store_latest_ms: 500_010,
//! };
//! let write = holder.claim(Vec::new(), 42, &now)?;
//! assert_eq!(write.expected_version, 0);
//!
//! // The store wrote the row as version 90, which is the fencing token of the call.
//! let token = holder.on_written(90).expect("a write was pending");
//! assert_eq!(token.fence, 90);
//! assert!(token.permits(Instant::from_millis(1_899)));
//! assert!(!token.permits(Instant::from_millis(1_900)));
//! # Ok::<(), dogwoodlb_duty::Refusal>(())
//! ```

mod counts;
mod holder;
mod meter;
mod record;
mod wall_clock;
mod windows;

pub use counts::{add_up, Counts};
pub use holder::{ClaimWrite, Holder, Moment, Refusal, Token};
pub use meter::{Meter, TallyWrite};
pub use record::Record;
pub use wall_clock::WallClock;
pub use windows::{Progress, Schedule, Task, Windows};
