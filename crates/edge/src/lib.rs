//! The node of the rollout service on the platform: one asynchronous thread around the decision
//! cores.
//!
//! Every entry VM runs the same [`Node`]. It serves callers, watches the tables of the metadata
//! store, exchanges heartbeats with the other nodes, and takes over services whose leader has
//! failed. Messages of the platform are decoded and encoded by a [`Protocol`], so that this crate
//! contains none of the platform's names or formats. See docs/platform.md for the placement of
//! state and the handling of failures.
//!
//! # Examples
//!
//! ```
//! let error = dogwoodlb_edge::settings::from_str("{ /* nothing */ }").unwrap_err();
//! assert!(error.to_string().contains("missing field"));
//! ```

mod batch_store;
mod cache;
mod candidacy;
mod clock;
mod cluster;
mod context;
mod coordinator;
mod correlation;
mod departure;
mod duty;
mod error;
mod event;
mod forward;
mod front;
mod headers;
mod hedge;
pub mod identity;
mod leader;
mod metrics;
mod node;
mod orders;
mod outcome_writer;
mod peers;
mod permit;
pub mod protocol;
mod reader;
mod relay;
mod reply;
mod retention;
mod routing;
mod run;
mod scaling;
mod score;
pub mod settings;
mod storage;
mod submit;
mod table_watcher;
mod task;
mod usage;
mod waiting;

pub use error::Error;
pub use node::{Command, Dependencies, Node};
pub use protocol::Protocol;
pub use settings::Settings;
