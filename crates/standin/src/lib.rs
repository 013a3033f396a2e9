//! Stand-ins of the systems outside dogwoodlb, for tests and demonstrations.
//!
//! Each stand-in is a small HTTP server in the process that starts it. Tests inject faults
//! through [`Faults`], or with `POST /faults` when the stand-in runs in a separate process, and
//! read through accessor methods which requests were executed. docs/design.md, section 5,
//! describes the protocols.
//!
//! # Examples
//!
//! A table service that applies the next transaction but drops the reply:
//!
//! ```
//! use dogwoodlb_adapter::TableClient;
//! use dogwoodlb_external::table::Txn;
//! use dogwoodlb_external::{Category, Table as _};
//! use dogwoodlb_standin::{bind_loopback, table, Effect, Fault};
//! use std::time::Duration;
//!
//! let server = table::Table::start(bind_loopback()?)?;
//! server.faults().inject(Fault::once("/txn", Effect::LoseReply));
//!
//! let table = TableClient::new(server.address());
//! let lost = table.commit(&Txn::new().put("a", "1"), Duration::from_secs(5));
//! assert_eq!(lost.map_err(|error| error.classify()), Err(Category::Ambiguous));
//! assert_eq!(server.row("a").map(|row| row.version), Some(1));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod engine;
mod error;
mod fault;
pub mod objects;
mod port;
mod server;
pub mod service;
pub mod table;
pub mod trainer;
pub mod vms;

pub use error::{Category, Error};
pub use fault::{Effect, Fault, Faults};
pub use port::free_address;
pub use server::bind_loopback;

/// A specialized [`Result`](std::result::Result) for this crate.
pub type Result<T> = std::result::Result<T, Error>;
