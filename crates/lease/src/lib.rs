//! Leases with fencing tokens, stored in two rows of the platform's table service.
//!
//! The row `lease/<name>/fence` changes only when the holder changes. Every data write of the
//! holder can therefore check its version, so that a write of a former holder conflicts. The row
//! `lease/<name>/beat` changes with each renewal. See docs/design.md, sections 4.1 to 4.4.
//!
//! [`Lease`] is a sans-IO state machine: [`Lease::poll`] returns at most one request to the table
//! service, and the I/O driver passes the reply back together with its [`RequestId`].
//!
//! # Examples
//!
//! The first candidate acquires a lease that has never been held:
//!
//! ```
//! use dogwoodlb_lease::{Action, Lease, LeaseName};
//! use dogwoodlb_external::table::Outcome;
//! use dogwoodlb_types::prelude::*;
//! use rand::{rngs::SmallRng, SeedableRng};
//!
//! let mut rng = SmallRng::seed_from_u64(1);
//! let name = LeaseName::Trainer("weld".parse()?);
//! let mut lease = Lease::new(name, "entry-1".parse()?, id::Incarnation(1), 0);
//!
//! let now = Instant::from_millis(10);
//! let Some(Action::Read { request_id, prefix }) = lease.poll(now, &mut rng) else { panic!() };
//! assert_eq!(prefix, "lease/trainer/weld/");
//! lease.on_read(now, request_id, Ok(Vec::new()))?;
//!
//! let Some(Action::Commit { request_id, txn }) = lease.poll(now, &mut rng) else { panic!() };
//! assert_eq!(txn.checks[0].version, 0);
//! lease.on_commit(now, request_id, Ok(Outcome::Applied { version: 7 }));
//!
//! let guard = lease.held(now).ok_or("the lease is not held")?;
//! assert_eq!((guard.fence, guard.fence_row_version), (id::Fence(1), 7));
//! assert_eq!(guard.expires_at, Instant::from_millis(10 + 5_740));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod error;
mod lease;
mod name;
mod outage;
mod rank;
mod row;
mod timing;
mod view;
mod write;

pub use error::{Category, Error};
pub use lease::Lease;
pub use name::LeaseName;
pub use outage::{OutageBackoff, MAX_RECOVERY_JITTER};
pub use rank::rank;
pub use timing::{HOLDER_VALIDITY, LEASE_TTL, RANK_DELAY, RENEWAL_INTERVAL, TAKEOVER_WAIT};
pub use view::{Action, Guard, Holder, RequestId};

/// The result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
