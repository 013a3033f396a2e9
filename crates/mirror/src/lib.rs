//! A copy of a table that follows its feed of changes.
//!
//! A [`Mirror`] takes in full reads, changes and the copies of other nodes in any order. It
//! never goes back: a row or a removal that is older than what is known is ignored.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_external::store::Row;
//! use dogwoodlb_mirror::{Mirror, Next};
//!
//! let row = |version| Row { key: "a".into(), version, ..Row::default() };
//! let mut mirror = Mirror::default();
//! assert_eq!(mirror.next(), Next::Read);
//! assert_eq!(mirror.replace(vec![row(4)], 9).len(), 1);
//! assert_eq!(mirror.next(), Next::Watch(9));
//! assert!(mirror.apply(vec![row(3)], 10).is_empty());
//! mirror.mark_stale();
//! assert_eq!(mirror.next(), Next::Read);
//! ```

mod mirror;

pub use mirror::{Mirror, Next};
