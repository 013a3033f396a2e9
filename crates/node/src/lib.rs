//! The entry node daemon of dogwoodlb: sockets, threads, storage and peers around the decision
//! cores.
//!
//! The decision cores are state machines without I/O in the crates of this workspace: `manifest`,
//! `member`, `lease`, `ledger`, `rollout`, `route`, `limit`, `swap` and `once`. This crate passes
//! events and the time to them and executes the actions that they return.
//!
//! Every entry VM runs the same node. It serves callers, trainers and operators over HTTP and
//! communicates with other nodes over UDP and TCP. State that nodes must agree on or that must
//! persist goes through the platform's table service and object store. See docs/design.md.
//!
//! # Examples
//!
//! ```no_run
//! use dogwoodlb_manifest::settings;
//! use dogwoodlb_node::{Node, Platform};
//!
//! # fn example(platform: Platform) -> Result<(), Box<dyn std::error::Error>> {
//! let settings = settings::from_str(r#"{
//!   "vm": "entry-1", "region": "ljubljana", "centre": "lj-a",
//!   "address": "127.0.0.1:8001", "peer": "127.0.0.1:9001",
//!   "table": "127.0.0.1:7001", "objects": "127.0.0.1:7002", "vms": "127.0.0.1:7003",
//! }"#)?;
//! let node = Node::start(settings, platform, 1)?;
//! node.drain();
//! assert_eq!(node.join(), 0);
//! # Ok(())
//! # }
//! ```

mod adoption;
mod api;
mod at_most_once;
mod cleaner;
mod clock;
mod commit;
mod completion;
mod error;
mod generate;
mod lease_manager;
mod link;
mod metrics;
mod node;
mod operators;
mod owned_trainer;
mod owner;
mod peers;
mod platform;
mod pool;
mod recorder;
mod replica_set;
mod sampling;
mod service_call;
mod shared;
mod store;
mod swapper;
mod trainer_calls;
mod trainers;
mod upstreams;
mod waiter;
mod watch;

pub use clock::SystemClock;
pub use error::{Category, Error};
pub use node::Node;
pub use platform::Platform;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// The result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Locks a mutex, ignoring poisoning.
///
/// The decision cores update their state atomically, so a panic while the lock was held can't
/// leave partially updated state.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
