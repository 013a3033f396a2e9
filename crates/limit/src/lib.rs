//! Overload control: admission, retry budgets, concurrency limits and inter-region bandwidth.
//!
//! - [`AdmissionController`] queues requests by class and refuses those that cannot start before
//!   their deadline.
//! - [`DrainAdmission`] refuses requests that might not have ended when a process exits.
//! - [`Hedging`] decides when an idempotent call is sent to a second replica, from the times of its
//!   route in a [`LatencyProfile`].
//! - [`RetryBudget`] limits the retries of a node.
//! - [`AdaptiveLimit`] finds the number of requests that an upstream serves without queueing.
//! - [`LinkLimiter`] divides the bandwidth between regions among the classes.
//!
//! See docs/design.md, sections 4.12 and 4.13.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_limit::{Action, Admission, AdmissionController};
//! use dogwoodlb_types::prelude::*;
//!
//! let mut controller = AdmissionController::new(1, 16);
//! let deadline = Instant::from_millis(5_000);
//! let now = Instant::from_millis(0);
//!
//! let Admission::Start(first) = controller.admit(Class::Customer, deadline, now)? else {
//!     panic!("a slot is free");
//! };
//! let Admission::Wait(second) = controller.admit(Class::Customer, deadline, now)? else {
//!     panic!("the only slot is in use");
//! };
//!
//! // The second request starts when the first one ends.
//! controller.on_end(first, Instant::from_millis(40))?;
//! let actions = controller.poll(Instant::from_millis(40));
//! assert_eq!(actions, [Action::Start(second)]);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod adaptive_limit;
mod admission;
mod drain_admission;
mod error;
mod hedged_call;
mod hedging;
mod latency_profile;
mod link_limiter;
mod retry_budget;
mod service_time;
mod wait_queue;

pub use adaptive_limit::{AdaptiveLimit, Signal};
pub use admission::{Action, Admission, AdmissionController, Ticket};
pub use drain_admission::DrainAdmission;
pub use error::{Category, Error};
pub use hedged_call::{CopyKey, HedgedCall};
pub use hedging::Hedging;
pub use latency_profile::LatencyProfile;
pub use link_limiter::{LinkDecision, LinkLimiter};
pub use retry_budget::RetryBudget;

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
