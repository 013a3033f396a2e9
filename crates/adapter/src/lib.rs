//! HTTP implementations of the traits of [`dogwoodlb_external`].
//!
//! Clients never retry a call or follow a redirect, because only the calling code knows whether a
//! retry is safe. Every call has a timeout, and responses have a maximum size. A failure is
//! classified by what it implies about the effect of the call:
//! [`NotSent`](dogwoodlb_external::Category::NotSent) only if no connection was opened, and
//! [`Refused`](dogwoodlb_external::Category::Refused) only if the remote side responded with a
//! refusal. See docs/design.md, sections 4.3 and 4.6.
//!
//! # Examples
//!
//! A conditional write to the table service:
//!
//! ```
//! use dogwoodlb_adapter::TableClient;
//! use dogwoodlb_external::table::{Outcome, Txn};
//! use dogwoodlb_external::Table as _;
//! use dogwoodlb_standin::{bind_loopback, table};
//! use std::time::Duration;
//!
//! let server = table::Table::start(bind_loopback()?)?;
//! let table = TableClient::new(server.address());
//! let timeout = Duration::from_secs(5);
//!
//! let txn = Txn::new().absent("lease/a/fence").put("lease/a/fence", "1");
//! assert_eq!(table.commit(&txn, timeout)?, Outcome::Applied { version: 1 });
//! let row = table.read("lease/a/fence", timeout)?;
//! assert_eq!(row.map(|row| row.value).as_deref(), Some("1"));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod client;
mod engine;
mod framing;
mod objects;
mod service;
mod table;
mod vms;

pub use engine::EngineClient;
pub use objects::ObjectStoreClient;
pub use service::ServiceClient;
pub use table::TableClient;
pub use vms::VmListClient;
