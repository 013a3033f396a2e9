//! The node of dogwoodlb: sockets, threads and the decision cores wired together.
//!
//! All entry VMs run the same node. It serves callers, trainers and operators over HTTP, and
//! talks to the other nodes over UDP and TCP; what must be agreed or kept goes through the
//! platform's table service and object store. See docs/design.md.
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

mod adopting;
mod api;
mod calls;
mod cleaner;
mod clock;
mod commit;
mod completion;
mod error;
mod generate;
mod group;
mod keeper;
mod link;
mod metrics;
mod node;
mod once;
mod operators;
mod owner;
mod ownership;
mod peers;
mod plain;
mod platform;
mod pool;
mod recorder;
mod sampling;
mod shared;
mod store;
mod swapper;
mod trainers;
mod upstreams;
mod watch;

pub use clock::SystemClock;
pub use error::{Category, Error};
pub use node::Node;
pub use platform::Platform;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Locks a mutex; a thread that panicked while it held it can't have left partial state, since
/// the cores change their state only as a whole.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
