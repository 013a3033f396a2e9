//! A local copy of a table that follows its change feed.
//!
//! A [`Mirror`] accepts full reads, changes and the copies of other nodes, in any order: what is
//! older than the copy, removals included, is ignored. See docs/incidents/returned-replica.md.
//!
//! A [`VersionedMap`] holds what a node derives from such rows, and from its own reads and writes of
//! them.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_external::store::Row;
//! use dogwoodlb_mirror::{Mirror, NextRequest};
//!
//! let row = |version| Row { key: "a".into(), version, ..Row::default() };
//! let mut mirror = Mirror::default();
//! assert_eq!(mirror.next_request(), NextRequest::Read);
//! assert_eq!(mirror.replace(vec![row(4)], 9).len(), 1);
//! assert_eq!(mirror.next_request(), NextRequest::Watch(9));
//! assert!(mirror.apply(vec![row(3)], 10).is_empty());
//! mirror.mark_stale();
//! assert_eq!(mirror.next_request(), NextRequest::Read);
//! ```

mod mirror;
mod versioned;

pub use mirror::{Mirror, NextRequest};
pub use versioned::{Versioned, VersionedMap};
