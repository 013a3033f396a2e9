//! The borders of dogwoodlb: traits for everything outside that it talks to.
//!
//! Each trait has one adapter, so that another platform is met by new adapters alone. The
//! decision cores build the request types of this crate and interpret its reply types; only
//! the shells call the traits.
//!
//! # Examples
//!
//! A conditional write that creates a row only if nobody else has:
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

/// The result of a call over one of the borders.
pub type Result<T> = std::result::Result<T, Error>;
