//! Trainers, model replicas and a store in virtual time.
//!
//! An experiment plays a [`Scenario`] with the decision cores that a node runs, the
//! [`Planner`](dogwoodlb_batch::Planner) and the
//! [`Scheduler`](dogwoodlb_weights::Scheduler), and answers in seconds how a change of a policy
//! changes the steps of the trainers. Lengths of texts follow from the seed, the step and the
//! item alone, so that two builds see the same work and their reports can be compared in pairs.
//!
//! The model leaves out connections, processor time and the nodes' own calls to each other; see
//! docs/experiments.md for what it is good for and how far it is off.
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
