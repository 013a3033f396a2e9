//! Batch submissions of trainers: their stored records and the scheduling of their items.
//!
//! An accepted [`Submission`] is stored in the table service as a [`BatchHeader`] and a body that
//! is split over several rows. Each finished item is stored as an [`Outcome`] at the next
//! position; a position is immutable once its transaction is committed. The [`Planner`] decides
//! which item runs on which replica. It performs no I/O and reads no clock.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_batch::{parts, Item, Record, Submission};
//!
//! let submission = Submission {
//!     id: "b1".into(),
//!     host: "lab.example".into(),
//!     path: "/runs/1".into(),
//!     items: vec![Item { id: "i1".into(), body: b"prompt".to_vec(), ..Item::default() }],
//!     ..Submission::default()
//! };
//! let bytes = submission.to_vec()?;
//! let stored = parts::split(&bytes);
//! let joined = parts::join(stored.iter().map(|part| part.as_slice()));
//! assert_eq!(Submission::from_slice(&joined)?, submission);
//! # Ok::<(), dogwoodlb_batch::Error>(())
//! ```

mod error;
mod header;
mod outcome;
pub mod parts;
mod planner;
mod prefill;
mod progress;
mod record;
mod replica;
mod submission;
mod work;

pub use error::Error;
pub use header::{BatchHeader, Ownership, WriteOutcome};
pub use outcome::{Outcome, OutcomeState};
pub use planner::{Action, Demand, NewBatch, Planner, Restart, RunEnd, Stall};
pub use prefill::PromptPart;
pub use progress::{ItemText, Progress, MAX_TEXT_BYTES};
pub use record::Record;
pub use replica::{Replica, ReplicaState};
pub use submission::{Item, Scorer, Submission};
pub use work::WorkId;

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;
