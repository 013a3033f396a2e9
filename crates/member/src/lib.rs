//! SWIM-style membership with suspicion, and graceful shutdown.
//!
//! [`Membership`] detects which entry VMs are alive. Every 500 ms it probes one peer, asks three
//! others to probe it if the acknowledgement is late, and piggybacks membership updates on these
//! frames (Das, Gupta and Motivala 2002; Dadgar, Phillips and Currey 2018). [`Drain`] implements
//! the graceful shutdown of docs/design.md, section 4.10.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_member::{Action, Membership, Peer};
//! use dogwoodlb_types::{id, Instant};
//! use dogwoodlb_wire::Status;
//! use rand::SeedableRng;
//!
//! let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
//! let status = Status::default();
//! let now = Instant::from_millis(0);
//! let peers = [
//!     Peer { vm: "entry-1".parse()?, address: "10.0.0.1:9001".parse()? },
//!     Peer { vm: "entry-2".parse()?, address: "10.0.0.2:9001".parse()? },
//! ];
//! let mut first = Membership::new("entry-1".parse()?, id::Incarnation(1_000), &mut rng);
//! let mut second = Membership::new("entry-2".parse()?, id::Incarnation(2_000), &mut rng);
//! first.set_peers(&peers, &mut rng)?;
//! second.set_peers(&peers, &mut rng)?;
//! assert_eq!(first.live().len(), 1);
//!
//! // The I/O driver sends each frame and passes received frames to `on_frame`.
//! for action in first.tick(now, &status, &mut rng) {
//!     let Action::Send { frame, .. } = action else { continue };
//!     for action in second.on_frame(&frame, now, &status, &mut rng)? {
//!         let Action::Send { frame, .. } = action else { continue };
//!         first.on_frame(&frame, now, &status, &mut rng)?;
//!     }
//! }
//! assert_eq!(first.live().len(), 2);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod drain;
mod error;
mod frames;
mod gossip;
mod membership;
mod peer_record;
mod probe;
mod update;

pub use drain::{Drain, DrainAction, DrainPhase};
pub use error::{Category, Error};
pub use membership::{Action, Membership, Peer};

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
