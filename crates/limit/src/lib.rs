//! Overload control: admission, retries, concurrency and the link between regions.
//!
//! - [`Gate`] admits requests by class and deadline and refuses those that can't start in time.
//! - [`Budget`] bounds the retries of a node.
//! - [`Adaptive`] finds the number of requests that an upstream serves without queueing.
//! - [`Link`] shares the bytes between regions among the classes.
//!
//! See docs/design.md, sections 4.12 and 4.13.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_limit::{Action, Admission, Gate};
//! use dogwoodlb_types::prelude::*;
//!
//! let mut gate = Gate::new(1, 16);
//! let deadline = Instant::from_millis(5_000);
//! let now = Instant::from_millis(0);
//!
//! let Admission::Start(first) = gate.arrive(Class::Customer, deadline, now)? else {
//!     panic!("the gate has a free slot");
//! };
//! let Admission::Wait(second) = gate.arrive(Class::Customer, deadline, now)? else {
//!     panic!("the only slot is taken");
//! };
//!
//! // The end of the first request starts the second.
//! gate.on_end(first, Instant::from_millis(40))?;
//! let actions = gate.poll(Instant::from_millis(40));
//! assert_eq!(actions, [Action::Start(second)]);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod adaptive;
mod budget;
mod error;
mod gate;
mod link;
mod queue;
mod service_time;

pub use adaptive::{Adaptive, Signal};
pub use budget::Budget;
pub use error::{Category, Error};
pub use gate::{Action, Admission, Gate, Ticket};
pub use link::{Link, Verdict};

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
