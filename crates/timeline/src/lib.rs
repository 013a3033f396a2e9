//! Events stamped by hybrid logical clocks, a ring buffer for them, and their causal merge.
//!
//! Each node stamps its events with a [`Clock`], which also observes the stamps of the frames
//! that the node receives. An event caused by another therefore has a later stamp, regardless of
//! the skew between wall clocks, and [`merge`] orders causes before effects.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_timeline::{merge, Clock, Event, Filter, Kind, RingBuffer};
//! use dogwoodlb_types::prelude::*;
//! use std::time::Duration;
//!
//! const GRANTED: Kind = Kind::new("lease_granted");
//! const ORDERED: Kind = Kind::new("order_sent");
//!
//! // The second node's wall clock is 300 ms behind that of the first.
//! let mut first = Clock::new(Duration::from_secs(1));
//! let mut second = Clock::new(Duration::from_secs(1));
//! let cause = first.tick(Timestamp::from_millis(5_000));
//! second.observe(cause, Timestamp::from_millis(4_700))?;
//! let effect = second.tick(Timestamp::from_millis(4_701));
//!
//! let mut ring = RingBuffer::new(1_000);
//! ring.push(Event::new(effect, "entry-2".parse()?, ORDERED).with("upstream", "engine-1"));
//! let other = vec![Event::new(cause, "entry-1".parse()?, GRANTED)];
//!
//! let merged = merge([ring.to_vec(), other]);
//! assert_eq!(merged[0].kind, GRANTED);
//! let filter = Filter { kind: Some(ORDERED), ..Filter::default() };
//! assert_eq!(merged.iter().filter(|event| filter.matches(event)).count(), 1);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod clock;
mod error;
mod event;
mod filter;
mod record;
mod ring;

pub use clock::{Clock, Stamp};
pub use error::{Category, Error};
pub use event::{Event, Kind};
pub use filter::Filter;
pub use ring::{merge, RingBuffer};

/// The result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
