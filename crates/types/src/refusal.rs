use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Whether a refused or failed request may have been executed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// Nothing was executed; the request can be retried safely.
    NotRun,
    /// The request, or a part of it, may have been executed.
    MayHaveRun,
}

/// The reason of a [`Refusal`], as reported to callers and listed in docs/api.md.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[non_exhaustive]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The request is larger than the limit.
    TooLarge,
    /// The caller is not in the manifest or is not permitted to use the requested resource.
    Forbidden,
    /// The endpoint doesn't exist.
    NotFound,
    /// The manifest has no such model.
    UnknownModel,
    /// The manifest has no such service.
    UnknownService,
    /// The manifest has no such trainer.
    UnknownTrainer,
    /// The request conflicts with an earlier one.
    Conflict,
    /// Another VM owns the trainer or the lease.
    WrongNode,
    /// The session was replaced by a later one.
    StaleSession,
    /// The request can't start before its deadline, or the queue is full.
    Overloaded,
    /// No upstream can take the request.
    NoUpstream,
    /// The upstream failed after the request was sent.
    UpstreamFailed,
    /// The deadline passed after the request was sent.
    DeadlineExceeded,
    /// The table service or the object store is unavailable.
    StoreUnavailable,
    /// The node can't determine which manifest is in force.
    ManifestUnknown,
    /// The node is shutting down.
    Leaving,
    /// An internal invariant check failed and stopped the operation.
    Invariant,
}

/// A refused or failed request: the reason, a message and whether it may have been executed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub code: Code,
    /// What was refused and how the caller can resolve it.
    pub message: String,
    /// Whether the request may have been executed.
    pub execution: Execution,
    /// How long to wait before a retry, if a retry can succeed.
    pub retry_after: Option<Duration>,
    /// The address of the node that can handle the request, if known.
    pub owner: Option<SocketAddr>,
}

impl Refusal {
    /// Creates the refusal of a request that was not executed.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            execution: Execution::NotRun,
            retry_after: None,
            owner: None,
        }
    }

    /// Creates the refusal of a request that may have been executed.
    pub fn may_have_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            execution: Execution::MayHaveRun,
            retry_after: None,
            owner: None,
        }
    }

    /// Sets the address of the node that can handle the request.
    #[must_use]
    pub fn owner(mut self, owner: Option<SocketAddr>) -> Self {
        self.owner = owner;
        self
    }

    /// Sets how long the caller should wait before a retry.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.message)
    }
}

impl std::error::Error for Refusal {}
