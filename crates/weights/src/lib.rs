//! Weight versions on replicas: which replica loads which version and when, and which node may
//! order it.
//!
//! A [`Scheduler`] holds what is known of a service's replicas and decides their loads: [`ModelAssignments`]
//! keeps each replica fresh for one model, [`plan_loads`] chooses the loads, and [`interleave_loads`] lets the
//! models take turns. [`Claim`] is the right to send one order to one replica: it is
//! written to the store before the order, it is short, and another node waits until it is over.
//! So no node holds a lease between orders, and a node that takes over can order at once
//! unless the earlier one has just done so.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_weights::Claim;
//! use std::time::Duration;
//!
//! let lease = Duration::from_secs(3);
//! let claim = Claim { node: "edge-1".into(), at_ms: 10_000 };
//! assert_eq!(claim.check_available("edge-1", 10_001, lease), Ok(()));
//! assert!(claim.check_available("edge-2", 10_001, lease).is_err());
//! assert_eq!(claim.check_available("edge-2", 15_000, lease), Ok(()));
//! ```

mod assignments;
mod claim;
mod plan;
mod scheduler;

pub use assignments::{Candidate, ModelAssignments};
pub use claim::{Claim, Error, ORDER_WINDOW};
pub use plan::{interleave_loads, plan_loads, LoadGoal, LoadReason, LoadedWeights, PlannedLoad};
pub use scheduler::{Load, ModelDemand, Replica, Scheduler};
