//! Overload control: admission, retries, concurrency and the link between regions.
//!
//! - [`AdmissionController`] admits requests by class and deadline and refuses those that can't start in time.
//! - [`RetryBudget`] bounds the retries of a node.
//! - [`AdaptiveLimit`] finds the number of requests that an upstream serves without queueing.
//! - [`LinkLimiter`] shares the bytes between regions among the classes.
//!
//! See docs/design.md, sections 4.12 and 4.13.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_limit::{Action, Admission, AdmissionController};
//! use dogwoodlb_types::prelude::*;
//!
//! let mut gate = AdmissionController::new(1, 16);
//! let deadline = Instant::from_millis(5_000);
//! let now = Instant::from_millis(0);
//!
//! let Admission::Start(first) = gate.admit(Class::Customer, deadline, now)? else {
//!     panic!("the gate has a free slot");
//! };
//! let Admission::Wait(second) = gate.admit(Class::Customer, deadline, now)? else {
//!     panic!("the only slot is taken");
//! };
//!
//! // The end of the first request starts the second.
//! gate.on_end(first, Instant::from_millis(40))?;
//! let actions = gate.poll(Instant::from_millis(40));
//! assert_eq!(actions, [Action::Start(second)]);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod adaptive_limit;
mod admission;
mod error;
mod link_limiter;
mod queue;
mod retry_budget;
mod service_time;

pub use adaptive_limit::{AdaptiveLimit, Signal};
pub use admission::{Action, Admission, AdmissionController, Ticket};
pub use error::{Category, Error};
pub use link_limiter::{LinkDecision, LinkLimiter};
pub use retry_budget::RetryBudget;

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
