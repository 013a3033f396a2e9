//! A local copy of a table that follows its change feed.
//!
//! A [`Mirror`] accepts full reads, changes and the copies of other nodes in any order. Its rows
//! never revert: a row or a removal with an older version than the known one is ignored.
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

pub use mirror::{Mirror, NextRequest};
