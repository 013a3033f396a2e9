//! The replicas of all services, from the entries that they register in the store.
//!
//! The [`Directory`] receives each entry with its row version and ignores older versions. A
//! replica whose entry expired during an outage of the store is kept for
//! [`REREGISTRATION_TIME`] after the store has recovered, because a live replica registers again
//! within this time. A replica may also say itself that it is leaving
//! ([`Directory::mark_leaving`]), which holds for its incarnation whatever its entry says.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_directory::{Directory, Entry, Stage};
//! use dogwoodlb_types::Instant;
//!
//! let mut directory = Directory::default();
//! let now = Instant::from_millis(0);
//! let entry = Entry {
//!     service: "portal".into(),
//!     address: "10.0.0.9:80".parse()?,
//!     centre: "lj-a".into(),
//!     slots: 6,
//!     stage: Stage::Ready,
//!     models: Vec::new(),
//!     born_ms: 1,
//!     is_spot: false,
//! };
//! directory.put("replica-1", 4, entry, now);
//! assert_eq!(directory.ready_replicas("portal").count(), 1);
//! directory.remove("replica-1", 5, now);
//! assert_eq!(directory.ready_replicas("portal").count(), 0);
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod departures;
mod directory;
mod entry;

pub use departures::DEPARTURE_TTL;
pub use directory::{Directory, REREGISTRATION_TIME};
pub use entry::{Entry, Stage, Weights};
