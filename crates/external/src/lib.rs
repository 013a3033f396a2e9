//! Traits for the external systems that dogwoodlb calls.
//!
//! Each trait has one implementation, its adapter, so that porting to another platform requires
//! only new adapters. The state machines that make decisions build the request types of this crate
//! and interpret its response types without calling the traits; only code that performs I/O does.
//!
//! # Examples
//!
//! A conditional write that creates a row only if it doesn't exist:
//!
//! ```
//! use dogwoodlb_external::table::Txn;
//!
//! let txn = Txn::new().absent("lease/trainer/layout/fence").put("lease/trainer/layout/fence", "1");
//! assert_eq!(txn.checks.len(), 1);
//! assert_eq!(txn.puts.len(), 1);
//! ```

pub mod engine;
mod error;
pub mod objects;
pub mod service;
pub mod store;
pub mod table;
pub mod vms;

pub use engine::Engine;
pub use error::{Category, Cause, Error};
pub use objects::ObjectStore;
pub use service::Service;
pub use store::MetadataStore;
pub use table::Table;
pub use vms::VmList;

/// The result of a call to an external system.
pub type Result<T> = std::result::Result<T, Error>;
