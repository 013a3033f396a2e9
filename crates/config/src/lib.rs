//! The configuration in force as one immutable snapshot.
//!
//! A node swaps the whole [`Snapshot`] at once, and a request takes everything that it needs
//! from the snapshot that was in force when it arrived. So a request never sees the routes of
//! one version beside the services of another.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_config::{Kind, Limits, Route, Snapshot};
//!
//! let mut route = Route::new("pages", "shop.example", "/quotes/", Kind::Safe);
//! route.split = vec![("portal".into(), 1)];
//! let snapshot = Snapshot::new(7, vec![route], Vec::new(), Limits::default());
//! let route = snapshot.route("shop.example", "/quotes/42").unwrap();
//! assert_eq!(route.service(0.5), Some("portal"));
//! assert!(snapshot.route("shop.example", "/quotes").is_none());
//! ```

mod limits;
mod route;
mod service;
mod snapshot;

pub use limits::Limits;
pub use route::{Kind, Route};
pub use service::{Engine, Service};
pub use snapshot::Snapshot;
