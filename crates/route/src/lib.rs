//! Load balancing across the replicas of one model or plain service.
//!
//! A node has one [`Router`] per model and per plain service. The router uses a deterministic
//! subset of the replicas, estimates their load from its own in-flight requests and from delayed
//! load reports, and prefers nearby replicas and those likely to have the prompt's prefix
//! cached. See docs/design.md, section 4.11.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_route::{LoadReport, Outcome, Replica, Request, Router, Settings};
//! use dogwoodlb_types::prelude::*;
//! use rand::{rngs::StdRng, SeedableRng};
//!
//! let mut router = Router::new(Settings {
//!     vm: "entry-1".parse()?,
//!     region: "ljubljana".parse()?,
//!     centre: "lj-a".parse()?,
//! });
//! router.update(&[Replica {
//!     upstream: "engine-1".parse()?,
//!     region: "ljubljana".parse()?,
//!     centre: "lj-a".parse()?,
//!     slots: 32,
//!     leaving: false,
//! }])?;
//!
//! let mut rng = StdRng::seed_from_u64(1);
//! let now = Instant::from_millis(0);
//! let request = Request::new(Class::Customer).prompt(b"You are a helpful");
//! let pick = router.pick(&request, now, &mut rng)?;
//! assert_eq!(pick.upstream.as_str(), "engine-1");
//!
//! // The request was sent, and the response carried a load report.
//! router.on_start(pick.ticket)?;
//! let load = LoadReport { sequence: 1, running: 1, waiting: 0 };
//! router.on_load_report(&pick.upstream, load, now)?;
//! router.on_end(pick.ticket, Outcome::Success, now)?;
//! assert!(router.on_end(pick.ticket, Outcome::Success, now).is_err());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod choose;
mod endpoint;
mod error;
mod health;
mod prefix_cache;
mod replica;
mod request;
mod router;
mod subset;
mod ticket;

pub use endpoint::LoadReport;
pub use error::{Category, Error};
pub use prefix_cache::{CacheChange, CacheEvent};
pub use replica::{Locality, Replica, Settings};
pub use request::{Freshness, Pick, Request};
pub use router::Router;
pub use subset::SUBSET_SIZE;
pub use ticket::{Outcome, Ticket};

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
