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
//! use dogwoodlb_weights::{Claim, StoreTime};
//! use std::time::Duration;
//!
//! let lease = Duration::from_secs(3);
//! let claim = Claim { node: "edge-1".into(), at_ms: 10_000 };
//! let soon = StoreTime {
//!     earliest_ms: 10_001,
//!     steady_for: Duration::from_secs(60),
//!     max_jump: Duration::from_secs(5),
//! };
//! assert_eq!(claim.check_available("edge-1", soon, lease), Ok(()));
//! assert!(claim.check_available("edge-2", soon, lease).is_err());
//! let later = StoreTime { earliest_ms: 15_000, ..soon };
//! assert_eq!(claim.check_available("edge-2", later, lease), Ok(()));
//! ```

mod assignments;
mod claim;
mod plan;
mod scheduler;

pub use assignments::{Candidate, ModelAssignments};
pub use claim::{Claim, ClaimHeld, StoreTime, ORDER_WINDOW};
pub use plan::{interleave_loads, plan_loads, LoadGoal, LoadReason, LoadedWeights, PlannedLoad};
pub use scheduler::{Load, ModelDemand, Replica, Scheduler};
