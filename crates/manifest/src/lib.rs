//! The manifest and the settings of a node: reading, checking, comparing, adopting and
//! committing.
//!
//! # Examples
//!
//! Every fault of a text is listed with its path, line and column:
//!
//! ```
//! let text = r#"{
//!   "entry_vms": [{"vm": "entry-1", "region": "ljubljana", "centre": "lj-a",
//!                  "address": "127.0.0.1:8001", "peer": "127.0.0.1:9001"}],
//!   "models": [{"model": "scorer", "version": 1, "object": "weights/scorer/1"}],
//!   "callers": [{"caller": "quotes", "class": "customer", "models": ["scorrer"]}],
//! }"#;
//! let error = dogwoodlb_manifest::from_str(text).unwrap_err();
//! assert_eq!(
//!     error.to_string(),
//!     "line 5 column 68: callers[0].models[0]: there is no model `scorrer`",
//! );
//!
//! let manifest = dogwoodlb_manifest::from_str(&text.replace("scorrer", "scorer"))?;
//! assert_eq!(manifest.quorum(), 1);
//! # Ok::<(), dogwoodlb_manifest::Error>(())
//! ```
//!
//! A node learns from the table which revision is in force, and acts on it while that read or
//! the reports of other nodes are fresh:
//!
//! ```
//! use dogwoodlb_manifest::adopt::{Action, Adoption, Authority, Event};
//! use dogwoodlb_types::Instant;
//!
//! let now = Instant::from_millis(0);
//! let mut rng = rand::rng();
//! let mut adoption = Adoption::new("entry-1".parse()?, now);
//! assert_eq!(adoption.on_event(Event::Tick, now, &mut rng), [Action::Read]);
//! adoption.on_event(Event::ReadFailed, now, &mut rng);
//! assert_eq!(adoption.authority(now), Authority::Unknown);
//! # Ok::<(), dogwoodlb_types::Error>(())
//! ```

pub mod adopt;
pub mod commit;
mod diff;
mod error;
mod evidence;
mod joint;
mod manifest;
mod proposal;
pub mod quiet;
mod reader;
pub mod record;
pub mod section;
pub mod settings;
mod syntax;

pub use diff::{diff, Change, ChangeKind};
pub use error::{Category, Cause, Error, Fault};
pub use joint::joint;
pub use manifest::Manifest;

/// The largest text that is read.
pub const MAX_BYTES: usize = 1 << 20;

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Reads a manifest from JSON with comments.
///
/// # Errors
///
/// All faults that the text has; a text that is not JSON with comments has a single fault,
/// because what follows it can't be read.
pub fn from_str(text: &str) -> Result<Manifest> {
    text.parse()
}

/// Writes a manifest as JSON that [`from_str`] reads.
pub fn to_string(manifest: &Manifest) -> String {
    // All keys are text and all numbers are finite, so writing can't fail.
    serde_json::to_string_pretty(manifest).unwrap_or_default()
}
