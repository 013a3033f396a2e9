//! Which nodes are alive, judged from the heartbeats that they send each other.
//!
//! Each node sends a [`Heartbeat`] to all others. A beat says how often its sender beats, so that
//! the interval can grow with the number of nodes while nodes with a duty keep beating fast.
//! The SWIM core of the crate `member` needs two to three seconds to find a dead node; a step
//! of a trainer lasts four, so that this is too late for a node that runs a step.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_liveness::{Heartbeat, Peers};
//! use dogwoodlb_types::Instant;
//! use std::time::Duration;
//!
//! let beat = Heartbeat::new("edge-2", "10.0.0.2:7700".parse()?, "10.0.0.2:80".parse()?);
//! let mut peers = Peers::new("edge-1");
//! peers.on_heartbeat(beat.clone(), Instant::from_millis(0));
//! assert!(peers.is_live("edge-2", Instant::from_millis(900)));
//! assert!(!peers.is_live("edge-2", Instant::from_millis(9_000)));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod beat;
mod peers;

pub use beat::{Heartbeat, MIN_INTERVAL};
pub use peers::{interval, Peers};
