//! Weight versions on replicas: which replica loads which version and when, and which node may
//! order the load.
//!
//! A [`Scheduler`] tracks the replicas of a service and decides which of them load which version:
//! [`ModelAssignments`] assigns each replica to one model, [`plan_loads`] plans the loads of a
//! model, and [`interleave_loads`] selects loads of all models in turn.
//!
//! A [`Claim`] is the right to send one load order to one replica. A node writes it to the store
//! before the order, and other nodes wait until it expires. No node holds a lease between orders,
//! so a node that takes over can order at once unless its predecessor has just done so.
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
pub use claim::{Claim, ClaimHeld, ORDER_WINDOW};
pub use plan::{interleave_loads, plan_loads, LoadGoal, LoadReason, LoadedWeights, PlannedLoad};
pub use scheduler::{Load, ModelDemand, Replica, Scheduler};
