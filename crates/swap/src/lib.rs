//! The weight swap core: orders the replicas of one model to load new weights.
//!
//! The holder of `lease/model/<m>` runs one [`Swap`]. It polls the version that each replica
//! serves and orders outdated replicas to load the target version. Progress is not persisted:
//! a new holder reads it from the replicas. See docs/design.md, sections 4.2 and 4.9.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_external::engine::Weights;
//! use dogwoodlb_swap::{Action, LeaseGrant, Outcome, Replica, Settings, Swap, Target};
//! use dogwoodlb_types::{id, Instant, Timestamp};
//! use rand::SeedableRng;
//!
//! let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
//! let at = Instant::from_millis;
//! let noon = Timestamp::from_millis(1_000_000);
//! let mut swap = Swap::new("scorer".parse()?, Settings::default());
//! swap.set_replicas(&[Replica { upstream: "engine-1".parse()?, checks_fencing: true }])?;
//! swap.set_target(Target { version: id::Version(2), object: "weights/scorer/2".to_owned() })?;
//! swap.set_lease(Some(LeaseGrant { fence: id::Fence(7), until: at(5_740) }), at(0));
//!
//! // The replica has to be read before it gets an order.
//! let is_allowed = |_start, _longest| true;
//! let actions = swap.poll(at(0), noon, &is_allowed, &mut rng);
//! let [Action::Read { upstream }] = &actions[..] else { panic!("expected a read") };
//! let old = Weights { model: "scorer".parse()?, version: Some(id::Version(1)), loading: None };
//! swap.on_weights(upstream, at(0), Some(&old), at(2));
//!
//! let actions = swap.poll(at(1_000), noon, &is_allowed, &mut rng);
//! let Some(Action::Order { upstream, order, start_by }) = actions.last() else {
//!     panic!("expected an order")
//! };
//! assert!(at(1_001) < *start_by);
//! swap.on_order_result(upstream, order.order, Outcome::Accepted, at(1_003));
//!
//! let new = Weights { version: Some(id::Version(2)), ..old };
//! swap.on_weights(upstream, at(2_000), Some(&new), at(2_002));
//! assert_eq!(swap.progress().settled, 1);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod error;
mod order;
mod replica_state;
mod report;
mod settings;
mod swap;
mod token_bucket;

pub use error::{Category, Error};
pub use report::Outcome;
pub use settings::{LeaseGrant, Replica, Settings, Target};
pub use swap::{Action, Progress, Swap};

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
