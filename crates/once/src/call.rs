use crate::error::Inner;
use crate::row::{Row, State};
use crate::{Action, CallKey, Error, RequestDigest, Response, Result};
use dogwoodlb_external::service::Reply;
use dogwoodlb_external::table::{self, Outcome, Txn};
use dogwoodlb_external::{self as external, Category};
use dogwoodlb_types::prelude::*;
use std::time::Duration;

/// The timeout of one table request.
const TABLE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long to retry writing the outcome after the response. An outage of the table may last
/// longer, but the state of a call must not be kept indefinitely.
pub(crate) const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// A call with an idempotency key.
#[derive(Clone, Debug)]
pub struct Request {
    /// The row key of the call.
    pub key: CallKey,
    /// The id of this attempt, chosen at random.
    pub operation: id::Operation,
    /// The digest of the request.
    pub digest: RequestDigest,
    /// When the caller sent the request; the TTL of the key starts then.
    pub created: Timestamp,
    /// When the caller stops waiting for the response.
    pub deadline: Instant,
}

/// The state machine of one call.
///
/// Start it with [`poll`](Self::poll), execute the returned actions, pass their results to the
/// `on_` methods, and poll again at [`next_poll`](Self::next_poll). At most one table request or
/// dispatch is pending at any time.
#[derive(Debug)]
pub struct Call {
    pub(crate) request: Request,
    pub(crate) phase: Phase,
    pending: Pending,
    /// Whether an unconfirmed copy of this call's intent may have been applied, or may still be.
    pub(crate) intent_may_apply: bool,
    /// Whether another operation holds the key, or may hold it.
    pub(crate) held_by_other: bool,
    retries: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Phase {
    /// The intent is not yet confirmed.
    Claim,
    /// The row with this version is confirmed to hold this call's intent.
    Dispatch {
        version: u64,
    },
    /// The response was returned; the final state of the row is not yet written.
    Settle {
        state: State,
        until: Instant,
    },
    Finished,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pending {
    NotStarted,
    Timer(Instant),
    Read,
    Commit,
    Dispatch,
    Idle,
}

/// Returns whether the upstream may have executed a call whose dispatch failed.
pub fn execution_after_failure(category: Category) -> Execution {
    match category {
        Category::NotSent | Category::Refused => Execution::NotRun,
        _ => Execution::MayHaveRun,
    }
}

impl Call {
    /// Creates a call; nothing is sent before the first [`poll`](Self::poll).
    pub fn new(request: Request) -> Self {
        Self {
            request,
            phase: Phase::Claim,
            pending: Pending::NotStarted,
            intent_may_apply: false,
            held_by_other: false,
            retries: 0,
        }
    }

    /// Starts the call, or resumes it when its timer has expired.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        match self.pending {
            Pending::NotStarted if now < self.request.deadline => self.claim(0, now),
            Pending::NotStarted => self.refuse_at_deadline(now),
            Pending::Timer(at) if now >= at => match self.phase {
                Phase::Claim if now >= self.request.deadline => self.refuse_at_deadline(now),
                Phase::Settle { until, .. } if now >= until => self.finish(),
                _ => self.read(now),
            },
            _ => Vec::new(),
        }
    }

    /// Returns when to call [`poll`](Self::poll), unless the call waits for a result.
    pub fn next_poll(&self) -> Option<Instant> {
        match self.pending {
            Pending::NotStarted => Some(Instant::default()),
            Pending::Timer(at) => Some(at),
            _ => None,
        }
    }

    /// Returns whether the call is complete; its response was returned before.
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    /// Handles the result of a read.
    ///
    /// # Errors
    ///
    /// [`Category::UnexpectedResult`](crate::Category::UnexpectedResult) if no read is pending;
    /// the state does not change.
    pub fn on_read(
        &mut self,
        result: &external::Result<Option<table::Row>>,
        now: Instant,
    ) -> Result<Vec<Action>> {
        self.expect_pending(Pending::Read, "read")?;
        let Ok(row) = result else {
            return Ok(self.read_after_backoff(now));
        };
        Ok(match self.phase {
            Phase::Claim => self.on_claim_read(row.as_ref(), now),
            _ => self.on_settle_read(row.as_ref(), now),
        })
    }

    /// Handles the result of a commit.
    ///
    /// # Errors
    ///
    /// [`Category::UnexpectedResult`](crate::Category::UnexpectedResult) if no commit is pending;
    /// the state does not change.
    pub fn on_commit(
        &mut self,
        result: &external::Result<Outcome>,
        now: Instant,
    ) -> Result<Vec<Action>> {
        self.expect_pending(Pending::Commit, "commit")?;
        let result = result.as_ref().map_err(external::Error::classify);
        Ok(match self.phase {
            Phase::Claim => self.on_claim_commit(result, now),
            _ if matches!(result, Ok(Outcome::Applied { .. })) => self.finish(),
            _ => self.read_after_backoff(now),
        })
    }

    /// Handles the result of the dispatch.
    ///
    /// # Errors
    ///
    /// [`Category::UnexpectedResult`](crate::Category::UnexpectedResult) if no dispatch is pending;
    /// the state does not change.
    pub fn on_dispatch(
        &mut self,
        result: &external::Result<Reply>,
        now: Instant,
    ) -> Result<Vec<Action>> {
        self.expect_pending(Pending::Dispatch, "dispatch")?;
        let Phase::Dispatch { version } = self.phase else {
            return Err(Error::from(Inner::Unexpected("dispatch")));
        };
        let (state, response) = self.classify_dispatch(result, now);
        Ok(self.settle(state, version, response, now))
    }

    fn classify_dispatch(
        &self,
        result: &external::Result<Reply>,
        now: Instant,
    ) -> (State, Response) {
        let error = match result {
            Ok(reply) => return (State::done(reply), Response::Reply(reply.clone())),
            Err(error) => error,
        };
        let message = error.to_string();
        match execution_after_failure(error.classify()) {
            Execution::NotRun => {
                let refusal = Refusal::not_run(Code::NoUpstream, message);
                (State::Open, Response::Refuse(refusal))
            }
            Execution::MayHaveRun => {
                let past_deadline = now >= self.request.deadline;
                let code = if past_deadline {
                    Code::DeadlineExceeded
                } else {
                    Code::UpstreamFailed
                };
                let refusal = Refusal::may_have_run(code, message);
                (State::Unknown, Response::Refuse(refusal))
            }
        }
    }

    pub(crate) fn dispatch(&mut self, version: u64, now: Instant) -> Vec<Action> {
        self.phase = Phase::Dispatch { version };
        self.pending = Pending::Dispatch;
        let timeout = self.request.deadline.saturating_since(now);
        vec![Action::Dispatch { timeout }]
    }

    pub(crate) fn read(&mut self, now: Instant) -> Vec<Action> {
        self.pending = Pending::Read;
        vec![Action::Read {
            key: self.request.key.as_str().to_owned(),
            timeout: self.table_timeout(now),
        }]
    }

    /// Schedules a read after an exponential backoff, capped at the end of the current phase, so
    /// that the deadline is checked in time.
    pub(crate) fn read_after_backoff(&mut self, now: Instant) -> Vec<Action> {
        // The limit of 5 keeps the shift from overflowing; the delay reaches `MAX_BACKOFF` there.
        let delay = INITIAL_BACKOFF * (1 << self.retries.min(5));
        self.retries = self.retries.saturating_add(1);
        self.start_timer(delay.min(MAX_BACKOFF), now)
    }

    pub(crate) fn start_timer(&mut self, delay: Duration, now: Instant) -> Vec<Action> {
        let end = match self.phase {
            Phase::Settle { until, .. } => until,
            _ => self.request.deadline,
        };
        self.pending = Pending::Timer((now + delay).min(end));
        Vec::new()
    }

    /// Writes the row if it still has this version; version 0 means that it does not exist.
    pub(crate) fn commit(&mut self, state: State, version: u64, now: Instant) -> Action {
        self.pending = Pending::Commit;
        let key = self.request.key.as_str();
        let row = Row {
            operation: self.request.operation,
            digest: self.request.digest,
            created_ms: self.request.created,
            state,
        };
        Action::Commit {
            txn: Txn::new().check(key, version).put(key, row.to_value()),
            operation: self.request.operation,
            timeout: self.table_timeout(now),
        }
    }

    pub(crate) fn finish(&mut self) -> Vec<Action> {
        self.phase = Phase::Finished;
        self.pending = Pending::Idle;
        Vec::new()
    }

    fn table_timeout(&self, now: Instant) -> Duration {
        let remaining = self.request.deadline.saturating_since(now);
        match self.phase {
            Phase::Claim => TABLE_TIMEOUT.min(remaining),
            _ => TABLE_TIMEOUT,
        }
    }

    fn expect_pending(&self, pending: Pending, name: &'static str) -> Result<()> {
        if self.pending == pending {
            Ok(())
        } else {
            Err(Error::from(Inner::Unexpected(name)))
        }
    }
}
