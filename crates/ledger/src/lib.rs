//! The sample ledger of a trainer: submitted steps, accepted samples, deliveries and
//! acknowledgements, with exactly-once delivery of each sample.
//!
//! [`Ledger`] is a sans-IO state machine. Each operation returns a [`Refusal`], an immediate
//! result, or one [`Commit`] for the I/O driver to execute, whose replies go to
//! [`Ledger::on_commit`] and [`Ledger::on_read_back`]. At most one transaction is in flight.
//! Every transaction checks the version of the lease's fence row, so the transaction of a
//! former owner conflicts. Sample bodies live in the object store; the driver stores the
//! objects of a [`Commit`] before it sends the transaction. See docs/design.md, sections 4.3,
//! 4.7 and 4.8.
//!
//! [`Refusal`]: dogwoodlb_types::Refusal
//!
//! # Examples
//!
//! The life of a step with one sample, from opening a session to the acknowledgement:
//!
//! ```
//! use dogwoodlb_ledger::*;
//! use dogwoodlb_external::table::{Check, Outcome};
//! use dogwoodlb_types::prelude::*;
//!
//! let trainer: id::Trainer = "weld".parse()?;
//! let settings = Settings {
//!     trainer: trainer.clone(),
//!     staleness_bound: 2,
//!     initial_version: id::Version(1),
//!     max_buffer_bytes: 1 << 20,
//! };
//! let fence = Check { key: "lease/trainer/weld/fence".to_owned(), version: 7 };
//! // The rows come from a scan of `Ledger::prefix` that began after the lease was acquired.
//! let mut ledger = Ledger::load(settings, fence, &[])?;
//!
//! // Replaces the I/O driver: every transaction is applied.
//! let mut versions = 8..;
//! let mut commit = |ledger: &mut Ledger, commit: Commit| {
//!     let version = versions.next().unwrap_or_default();
//!     match ledger.on_commit(commit.operation, Ok(Outcome::Applied { version })) {
//!         Next::Done(completion) => completion,
//!         next => panic!("{next:?}"),
//!     }
//! };
//! let expect_commit = |start| match start {
//!     Start::Commit(commit) => commit,
//!     start => panic!("{start:?}"),
//! };
//!
//! let start = expect_commit(ledger.open_session(id::Operation(1))?);
//! let Completion::Session(session) = commit(&mut ledger, start) else { panic!() };
//!
//! let groups = vec![Group { prompt: "2 + 2 =".to_owned(), size: 1 }];
//! let content = Content { groups, max_tokens: 16 };
//! let start = expect_commit(ledger.submit(session, id::Step(1), &content, id::Operation(2))?);
//! assert_eq!(start.objects.len(), 1);
//! commit(&mut ledger, start);
//!
//! let accepted = ledger.accept(FinishedAttempt {
//!     sample: id::Sample::new(trainer, id::Step(1), 0, 0),
//!     attempt: 0,
//!     tokens: 1,
//!     spans: vec![Span { version: id::Version(1), from: 0, to: 1 }],
//!     body: "4".to_owned(),
//! })?;
//! assert_eq!(accepted, AcceptOutcome::Buffered);
//! let start = ledger.flush(Instant::from_millis(0), id::Operation(3)).ok_or("no flush due")?;
//! assert_eq!(decode_bodies(&start.objects[0].body)?, ["4"]);
//! commit(&mut ledger, start);
//!
//! let start = expect_commit(ledger.deliver(session, id::Step(1), id::Operation(4))?);
//! let Completion::Delivered(delivery) = commit(&mut ledger, start) else { panic!() };
//! assert_eq!(delivery.samples[0].staleness, 0);
//!
//! let start = ledger.acknowledge(session, id::Step(1), delivery.delivery, id::Operation(5))?;
//! commit(&mut ledger, expect_commit(start));
//! assert_eq!(ledger.acknowledged(), Some(id::Step(1)));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod accept;
mod buffer;
mod content;
mod error;
mod ledger;
mod operation;
mod pending;
mod published;
mod row;
mod step;
mod view;

pub use accept::FLUSH_INTERVAL;
pub use content::{decode_bodies, Content, Group, MAX_SAMPLES};
pub use error::{Category, Error};
pub use ledger::Ledger;
pub use operation::MAX_OPEN_STEPS;
pub use published::PublishedWeights;
pub use view::{
    AcceptOutcome, Commit, Completion, Delivery, FinishedAttempt, Next, Object, Progress,
    RejectedCounts, Sample, Settings, Start, StepView,
};

/// The result of decoding rows or objects.
pub type Result<T> = std::result::Result<T, Error>;

/// The result of a ledger operation, which may be refused.
pub type OperationResult<T> = std::result::Result<T, dogwoodlb_types::Refusal>;
