//! Autoscaling of a service: how many replicas to order from the provider, and where.
//!
//! A [`Planner`] compares the work of the service with its replicas and returns the orders to send.
//! It performs no I/O and reads no clock. See docs/design/replica-count.md.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_config::Scaling;
//! use dogwoodlb_scaling::{Centre, Planner, View};
//! use dogwoodlb_types::Instant;
//! use std::time::Duration;
//!
//! let scaling = Scaling { max: 16, ..Scaling::default() };
//! let centres = [Centre::new("lj-a", 2, 0), Centre::new("mb-a", 2, 0)];
//! let mut planner = Planner::default();
//! let view = View {
//!     scaling: &scaling,
//!     centres: &centres,
//!     slots: 6,
//!     work: Duration::from_secs(90),
//! };
//! // 90 s of work on 24 slots takes longer than the items may wait. Orders are absolute.
//! let orders = planner.plan(&view, Instant::from_millis(0));
//! assert_eq!((orders.len(), orders[0].count), (1, 3));
//! ```

mod centre;
mod order;
mod peak;
mod planner;

pub use centre::{Centre, View};
pub use order::Order;
pub use planner::Planner;
