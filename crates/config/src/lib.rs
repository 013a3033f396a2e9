//! The configuration in force, as an immutable snapshot.
//!
//! A node replaces the whole [`Snapshot`] at once, and a request uses the snapshot that was in
//! force when it arrived. A request therefore never combines the routes of one version with the
//! services of another.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_config::{RouteKind, Limits, Route, Snapshot};
//!
//! let mut route = Route::new("pages", "shop.example", "/quotes/", RouteKind::Idempotent);
//! route.traffic_split = vec![("portal".into(), 1)];
//! let snapshot = Snapshot::new(7, vec![route], Vec::new(), Limits::default());
//! let route = snapshot.route("shop.example", "/quotes/42").unwrap();
//! assert_eq!(route.select_service(0.5), Some("portal"));
//! assert!(snapshot.route("shop.example", "/quotes").is_none());
//! ```

mod limits;
mod organisation;
mod route;
mod scaling;
mod service;
mod snapshot;

pub use limits::Limits;
pub use organisation::{ApiKey, Organisation, Organisations};
pub use route::{Route, RouteKind};
pub use scaling::Scaling;
pub use service::{Engine, Service};
pub use snapshot::Snapshot;
