//! A simulation of trainers, model replicas and a store in virtual time.
//!
//! [`simulate`] runs a [`Scenario`] with the same decision logic as a node, the
//! [`Planner`](dogwoodlb_batch::Planner) and the
//! [`Scheduler`](dogwoodlb_weights::Scheduler). It shows within seconds how a change of a policy
//! affects the steps of the trainers. The length of a text depends only on the seed, the trainer,
//! the step and the item, so that two builds get the same work and their reports can be compared
//! seed by seed.
//!
//! The simulation leaves out connections, processor time and calls between nodes;
//! docs/experiments.md describes its uses and its error.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_emulator::{simulate, Scenario};
//!
//! let scenario = Scenario::parse(r#"{
//!     "name": "small",
//!     "duration_ms": 9000,
//!     "seeds": [1],
//!     "pool": { "replicas": 4, "slots": 8 },
//!     "trainers": [{ "model": "m", "groups": 4, "group_size": 4 }],
//! }"#)?;
//! let run = simulate(&scenario, 1);
//! assert!(run.steps.iter().any(|step| step.ended_ms.is_some()));
//! # Ok::<(), dogwoodlb_emulator::Error>(())
//! ```

mod engine;
mod error;
mod plot;
mod report;
mod scenario;
mod simulation;
mod trainer;

pub use error::Error;
pub use plot::render_svg;
pub use report::{Comparison, Metrics, Report, Run, Step};
pub use scenario::{Fault, LengthDistribution, Pool, Scenario, Trainer};
pub use simulation::simulate;

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
