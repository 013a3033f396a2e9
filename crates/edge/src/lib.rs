//! The node of the rollout service: one asynchronous thread around the decision cores.
//!
//! Every machine runs the same [`Node`]. It serves callers, follows the metadata store, beats
//! to the other nodes, and leads services whose leader is gone. What the platform says is
//! decoded by a [`Protocol`], so that nothing here knows its names. docs/platform.md tells what
//! lives where and what happens when a part fails.
//!
//! # Examples
//!
//! ```
//! let error = dogwoodlb_edge::settings::from_str("{ /* nothing */ }").unwrap_err();
//! assert!(error.to_string().contains("missing field"));
//! ```

mod archive;
mod cache;
mod clock;
mod coordinator;
mod error;
mod fleet;
mod follow;
mod forward;
mod front;
mod headers;
mod known;
mod leader;
mod lister;
mod metrics;
mod node;
mod orders;
mod peers;
pub mod protocol;
mod reader;
mod reply;
mod run;
mod score;
pub mod settings;
mod storage;
mod submit;
mod sweep;
mod tools;

pub use error::Error;
pub use node::{Command, Dependencies, Node};
pub use protocol::Protocol;
pub use settings::Settings;
