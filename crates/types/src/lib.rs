//! Identifiers, time, request classes and refusals shared by the dogwoodlb libraries.
//!
//! The decision logic consists of state machines without I/O that take the current time as an
//! argument, so that tests can run them in virtual time. [`Instant`] is therefore a plain number
//! of milliseconds on the monotonic clock of one process, and [`Timestamp`] a plain number of
//! milliseconds since the Unix epoch.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_types::prelude::*;
//! use std::time::Duration;
//!
//! let trainer: id::Trainer = "layout".parse()?;
//! let sample = id::Sample::new(trainer, id::Step(7), 3, 1);
//! assert_eq!(sample.to_string(), "layout/7/3/1");
//!
//! let sent = Instant::from_millis(1_000);
//! assert_eq!(sent + Duration::from_secs(2), Instant::from_millis(3_000));
//!
//! let refusal = Refusal::not_run(Code::Leaving, "this VM is shutting down");
//! assert_eq!(refusal.execution, Execution::NotRun);
//! # Ok::<(), dogwoodlb_types::Error>(())
//! ```

mod class;
mod error;
pub mod id;
#[macro_use]
mod opaque;
pub mod prelude;
mod refusal;
mod span;
mod time;

pub use class::Class;
pub use error::{Category, Error};
pub use refusal::{Code, Execution, Refusal};
pub use span::{check_spans, oldest_version, Span};
pub use time::{Clock, Instant, Timestamp};

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
