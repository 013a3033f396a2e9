//! Failure detection between nodes, based on heartbeats.
//!
//! Each node sends a [`Heartbeat`] to all others. A heartbeat contains the interval of its sender,
//! so the interval can grow with the number of nodes while nodes with a leader role keep a short
//! one. The SWIM implementation of the `member` crate needs two to three seconds to detect a dead
//! node. A training step takes about four seconds, so that is too slow for a node that runs one.
//!
//! A [`Message`] adds the replicas that have lately told the sender that they are leaving, so that
//! the other nodes stop using them sooner. No node depends on it.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_liveness::{Heartbeat, Peers};
//! use dogwoodlb_types::Instant;
//! use std::time::Duration;
//!
//! let heartbeat = Heartbeat::new("edge-2", "10.0.0.2:7700".parse()?, "10.0.0.2:80".parse()?);
//! let mut peers = Peers::new("edge-1");
//! peers.on_heartbeat(heartbeat.clone(), Instant::from_millis(0));
//! assert!(peers.is_live("edge-2", Instant::from_millis(900)));
//! assert!(!peers.is_live("edge-2", Instant::from_millis(9_000)));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod heartbeat;
mod message;
mod outbox;
mod peers;
mod quota;

pub use heartbeat::{Heartbeat, MIN_INTERVAL};
pub use message::{Departure, Message, MAX_DEPARTURES, MAX_MESSAGE_BYTES};
pub use outbox::Outbox;
pub use peers::{interval, Peers};
pub use quota::Quota;
