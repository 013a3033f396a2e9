use dogwoodlb_external::table::Txn;
use dogwoodlb_types::{id, Refusal, Span};

/// The settings of a trainer's ledger.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The trainer.
    pub trainer: id::Trainer,
    /// How many versions old a delivered sample may be.
    pub staleness_bound: u64,
    /// The version in force before the trainer published one.
    pub initial_version: id::Version,
    /// The limit of bytes of accepted samples that aren't in the store yet.
    pub max_buffer_bytes: usize,
}

/// An object to store before a transaction is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// The name, which holds the operation id.
    pub name: String,
    /// The content.
    pub body: Vec<u8>,
}

/// A transaction to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Commit {
    /// Identifies the operation in the replies.
    pub operation: id::Operation,
    /// The objects to store first; the transaction refers to them. A failed put is repeated.
    pub objects: Vec<Object>,
    /// The transaction.
    pub txn: Txn,
}

/// How an operation of the ledger begins.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Start {
    /// The operation needs no transaction.
    Done(Completion),
    /// The operation takes effect with this transaction, the only one in flight.
    Commit(Commit),
    /// Another transaction is in flight: ask again after its end.
    Busy,
}

/// What to do after a reply of the table service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// The operation took effect.
    Done(Completion),
    /// Read the row and call [`Ledger::on_read_back`](crate::Ledger::on_read_back).
    ReadBack {
        /// Identifies the operation.
        operation: id::Operation,
        /// The key of the row.
        key: String,
    },
    /// Send the same transaction again, after a pause.
    Resend(Commit),
    /// Another owner wrote the rows: drop this ledger and, if still the owner, load another.
    OwnershipLost(Refusal),
    /// The reply belongs to no operation in flight.
    Ignored,
}

/// The result of an operation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Completion {
    /// A session was opened.
    Session(id::Session),
    /// A step was submitted, now or before.
    Submitted(id::Step),
    /// This number of accepted samples is in the table now.
    Flushed(usize),
    /// The step was delivered, now or before.
    Delivered(Delivery),
    /// The step isn't complete.
    Waiting {
        /// How far the step is.
        progress: Progress,
        /// The samples that became too old and must be generated again.
        stale: Vec<id::Sample>,
    },
    /// The step was acknowledged, now or before.
    Acknowledged(id::Step),
    /// The version was published, now or before.
    Published {
        /// The version.
        version: id::Version,
        /// The samples that became too old and must be generated again.
        stale: Vec<id::Sample>,
    },
    /// This number of rows of acknowledged steps was deleted.
    RowsDeleted(usize),
}

/// How far a step is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Progress {
    /// The accepted samples.
    pub accepted: usize,
    /// The samples of the step.
    pub total: usize,
}

/// A step as it is delivered to its trainer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Delivery {
    /// The number of the delivery, the same at each repeated fetch.
    pub delivery: id::Delivery,
    /// The step.
    pub step: id::Step,
    /// The samples, by group and index.
    pub samples: Vec<Sample>,
}

/// A delivered sample.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sample {
    /// The sample.
    pub sample: id::Sample,
    /// The attempt that was accepted.
    pub attempt: u32,
    /// The number of tokens.
    pub tokens: u32,
    /// The versions that produced the tokens.
    pub spans: Vec<Span>,
    /// The age in versions at the delivery, counted from the oldest span.
    pub staleness: u64,
    /// The object that holds the body; see [`bodies`](crate::bodies).
    pub object: String,
    /// The place of the body in the object.
    pub position: usize,
}

/// A sample as an engine finished it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinishedAttempt {
    /// The sample.
    pub sample: id::Sample,
    /// The attempt.
    pub attempt: u32,
    /// The number of tokens.
    pub tokens: u32,
    /// The versions that the engine reported.
    pub spans: Vec<Span>,
    /// Text and score in a form that the ledger doesn't read.
    pub body: String,
}

/// What became of a finished sample.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcceptOutcome {
    /// The attempt is the one that counts; it reaches the table with the next flush.
    Buffered,
    /// Another attempt was accepted before; this one is dropped.
    Duplicate,
    /// The attempt is too old already; generate the sample again.
    Stale,
    /// The spans don't cover the tokens; generate the sample again.
    InvalidSpans,
}

/// An open step, for the planner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StepView {
    /// The step.
    pub step: id::Step,
    /// The number of samples of each group.
    pub sizes: Vec<u32>,
    /// The limit of tokens for each sample.
    pub max_tokens: u32,
    /// The object that holds the prompts; see [`Content`](crate::Content).
    pub prompts_object: String,
    /// Whether the step was delivered.
    pub delivered: bool,
    /// The samples that no attempt was accepted for.
    pub missing: Vec<id::Sample>,
}

/// Counts of samples that were not accepted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RejectedCounts {
    /// Attempts of samples that had an accepted attempt.
    pub duplicates: u64,
    /// Attempts that were or became too old.
    pub stale: u64,
    /// Attempts whose spans didn't cover the tokens.
    pub invalid_spans: u64,
}
