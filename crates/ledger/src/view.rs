use dogwoodlb_external::table::Txn;
use dogwoodlb_types::{id, Refusal, Span};

/// Settings of a ledger.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The trainer that the ledger belongs to.
    pub trainer: id::Trainer,
    /// The maximum staleness of a delivered sample, in model versions.
    pub staleness_bound: u64,
    /// The model version in use until the trainer publishes one.
    pub initial_version: id::Version,
    /// The maximum size in bytes of the buffer of accepted samples; the buffer excludes samples
    /// whose transaction is in flight.
    pub max_buffer_bytes: usize,
}

/// An object to store before the transaction that refers to it is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// The object name; it contains the operation id, so it is unique to the operation.
    pub name: String,
    /// The content.
    pub body: Vec<u8>,
}

/// A transaction for the I/O driver to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Commit {
    /// The operation id, to pass to [`Ledger::on_commit`](crate::Ledger::on_commit).
    pub operation: id::Operation,
    /// The objects that the transaction refers to. Store them first and retry failed puts. Empty
    /// if the transaction is resent, because its objects are already stored.
    pub objects: Vec<Object>,
    /// The transaction to commit.
    pub txn: Txn,
}

/// The first result of a ledger operation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Start {
    /// The operation completed without a transaction.
    Done(Completion),
    /// The operation takes effect once this transaction commits.
    Commit(Commit),
    /// Another transaction is in flight; retry the operation after it completes.
    Busy,
}

/// The action that follows a reply from the table service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// The operation completed.
    Done(Completion),
    /// Read the row and pass it to [`Ledger::on_read_back`](crate::Ledger::on_read_back).
    ReadBack {
        /// The operation id.
        operation: id::Operation,
        /// The key of the row to read.
        key: String,
    },
    /// Send the same transaction again after a delay.
    Resend(Commit),
    /// Another process has taken over the trainer, or the stored rows do not match this ledger.
    /// Drop this ledger, and load a new one if this process still holds the lease.
    OwnershipLost(Refusal),
    /// The reply does not match the operation in flight.
    Ignored,
}

/// The result of a completed operation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Completion {
    /// The session that was opened.
    Session(id::Session),
    /// The step is submitted, by this operation or an earlier one.
    Submitted(id::Step),
    /// The number of accepted samples that were committed to the table.
    Flushed(usize),
    /// The step is delivered, by this operation or an earlier one.
    Delivered(Delivery),
    /// The step is not complete yet.
    Waiting {
        /// The progress of the step.
        progress: Progress,
        /// The samples that exceeded the staleness bound and must be generated again.
        stale: Vec<id::Sample>,
    },
    /// The step is acknowledged, by this operation or an earlier one.
    Acknowledged(id::Step),
    /// The version is published, by this operation or an earlier one.
    Published {
        /// The published version.
        version: id::Version,
        /// The samples that exceeded the staleness bound and must be generated again.
        stale: Vec<id::Sample>,
    },
    /// The number of rows of acknowledged steps that were deleted.
    RowsDeleted(usize),
}

/// The progress of a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Progress {
    /// The number of accepted samples, including those that are not yet committed.
    pub accepted: usize,
    /// The number of samples in the step.
    pub total: usize,
}

/// A step delivered to its trainer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Delivery {
    /// The delivery number; repeated fetches of a step return the same number.
    pub delivery: id::Delivery,
    /// The step number.
    pub step: id::Step,
    /// The samples, ordered by group and index.
    pub samples: Vec<Sample>,
}

/// A delivered sample.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sample {
    /// The sample id.
    pub sample: id::Sample,
    /// The attempt that was accepted.
    pub attempt: u32,
    /// The number of tokens.
    pub tokens: u32,
    /// The model versions that produced the tokens.
    pub spans: Vec<Span>,
    /// The staleness at delivery: versions between the oldest span and the published version.
    pub staleness: u64,
    /// The object that holds the body; see [`decode_bodies`](crate::decode_bodies).
    pub object: String,
    /// The index of the body in the object.
    pub position: usize,
}

/// An attempt at a sample that an engine has finished.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinishedAttempt {
    /// The sample id.
    pub sample: id::Sample,
    /// The attempt number.
    pub attempt: u32,
    /// The number of tokens.
    pub tokens: u32,
    /// The model versions that the engine reported for the tokens.
    pub spans: Vec<Span>,
    /// The encoded text and score, opaque to the ledger.
    pub body: String,
}

/// The outcome of [`Ledger::accept`](crate::Ledger::accept).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcceptOutcome {
    /// The attempt was accepted and will be committed by a later flush.
    Buffered,
    /// Another attempt at the sample was accepted earlier; this one is discarded.
    Duplicate,
    /// The attempt exceeds the staleness bound; generate the sample again.
    Stale,
    /// There are too many spans, or they do not cover the tokens exactly; generate the sample
    /// again.
    InvalidSpans,
}

/// The state of an open step, as input for the rollout planner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StepView {
    /// The step number.
    pub step: id::Step,
    /// The number of samples in each group.
    pub group_sizes: Vec<u32>,
    /// The maximum number of tokens per sample.
    pub max_tokens: u32,
    /// The object that holds the prompts; see [`Content`](crate::Content).
    pub prompts_object: String,
    /// Whether the step has been delivered.
    pub delivered: bool,
    /// The samples without an accepted attempt.
    pub missing: Vec<id::Sample>,
}

/// The number of attempts that were rejected or discarded, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RejectedCounts {
    /// Attempts at samples that already had an accepted attempt.
    pub duplicates: u64,
    /// Attempts that exceeded the staleness bound, at acceptance or later.
    pub stale: u64,
    /// Attempts with too many spans or with spans that do not cover the tokens exactly.
    pub invalid_spans: u64,
}
