//! The manifest and the settings of a node: parsing, validation, comparison, adoption and commits.
//!
//! # Examples
//!
//! Validation reports every fault of a document with its path, line and column:
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
//! A node reads from the table which revision is in force. It may act on that revision as long as
//! the read, or the reports of other nodes, are recent enough:
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

/// The maximum size of a manifest or of settings in bytes.
pub const MAX_BYTES: usize = 1 << 20;

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Parses and validates a manifest in JSON with comments.
///
/// # Errors
///
/// Returns all faults of the document. A syntax error is reported as the only fault, because the
/// rest of the document cannot be parsed.
pub fn from_str(text: &str) -> Result<Manifest> {
    text.parse()
}

/// Serializes a manifest as JSON that [`from_str`] accepts.
pub fn to_string(manifest: &Manifest) -> String {
    // Serialization cannot fail: all keys are strings and all numbers are finite.
    serde_json::to_string_pretty(manifest).unwrap_or_default()
}
