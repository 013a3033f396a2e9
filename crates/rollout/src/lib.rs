//! The step planner of a trainer: decides which samples to generate, and with which priority.
//!
//! [`Planner`] is sans-IO: [`Planner::poll`] returns the attempts to start and to cancel, and
//! the I/O driver reports how attempts end. The planner only schedules attempts; the ledger decides
//! which attempt of a sample is accepted. See docs/design.md, section 4.14.
//!
//! # Examples
//!
//! A step of two samples with a limit of one attempt in flight:
//!
//! ```
//! use dogwoodlb_rollout::{Action, Planner, Settings};
//! use dogwoodlb_types::prelude::*;
//!
//! let trainer: id::Trainer = "weld".parse()?;
//! let settings = Settings { trainer, staleness_bound: 2, idle_weight: 0.5 };
//! let mut planner = Planner::new(settings, id::Version(1));
//! planner.submit(id::Step(1), &[2])?;
//!
//! let now = Instant::from_millis(0);
//! let actions = planner.poll(now, 1);
//! let [Action::Generate { sample, attempt, priority: _ }] = &actions[..] else { panic!() };
//! assert_eq!(sample.to_string(), "weld/1/0/0");
//!
//! planner.on_finished(now, sample, *attempt);
//! assert_eq!(planner.poll(now, 1).len(), 1);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod planner;
mod step_plan;

pub use planner::{run_ahead_depth, Action, Planner, Settings, MAX_OPEN_STEPS, MAX_SAMPLES};
