//! Ends batches.

use super::{Submitter, RETRY_INTERVAL};
use crate::batch_store::Error;
use crate::clock;
use crate::identity::Caller;
use crate::reply::{self, Body};
use crate::storage::{self, SHARED};
use bytes::Bytes;
use dogwoodlb_batch::{BatchHeader, Record};
use dogwoodlb_external::store::{Outcome, Txn};
use dogwoodlb_mirror::Versioned;
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::sleep;

/// How long the node tries to end a batch. The caller gives up after its acknowledgement
/// time-out.
const END_TIMEOUT: Duration = Duration::from_millis(3_500);

/// The result of one attempt to end a batch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum EndOutcome {
    /// The batch is ended.
    Ended,
    /// A concurrent write changed the header first.
    Conflict,
    /// The batch does not exist.
    NoBatch,
}

impl Submitter {
    /// Ends a batch.
    pub(crate) async fn end(&self, batch: &str, caller: &Caller) -> Response<Body> {
        let until = clock::now() + END_TIMEOUT;
        let mut outcome = "conflict";
        loop {
            match self.end_via_any_node(batch, caller).await {
                Ok(EndOutcome::Ended) => break,
                Ok(EndOutcome::Conflict) => {}
                Ok(EndOutcome::NoBatch) => {
                    tracing::info!(batch, outcome = "not_found", "batch_ended");
                    return reply::plain_text(StatusCode::NOT_FOUND, "there is no such batch");
                }
                Err(error) => {
                    tracing::debug!(batch, %error, "end_not_written");
                    outcome = "unknown";
                }
            }
            if clock::now() + RETRY_INTERVAL >= until {
                tracing::warn!(batch, outcome, "batch_ended");
                return reply::plain_text(StatusCode::GATEWAY_TIMEOUT, "the end is not stored yet");
            }
            sleep(RETRY_INTERVAL).await;
        }
        tracing::info!(batch, outcome = "ended", "batch_ended");
        self.cluster.notify_changed();
        reply::json(Bytes::from_static(b"{}"))
    }

    /// Tries once to end a batch, through another node if this one can't reach the store.
    async fn end_via_any_node(&self, batch: &str, caller: &Caller) -> Result<EndOutcome, Error> {
        if !self.storage.is_reachable(clock::now()) {
            if let Some(outcome) = self.peers.relay_end(batch, caller).await {
                return Ok(outcome);
            }
        }
        self.try_end(batch, caller).await
    }

    /// Tries once to end a batch for another node. Returns `None` if the outcome is unknown, or if
    /// the batch has an organisation and the other node does not know the one of its caller yet.
    pub(crate) async fn end_for_peer(&self, batch: &str, caller: &Caller) -> Option<EndOutcome> {
        let (caller, is_verified) = self.cluster.verify_relayed(caller);
        let ended = self.try_end(batch, &caller).await;
        let log = |error: &Error| tracing::info!(batch, %error, "end_not_written");
        let ended = ended.inspect_err(log).ok();
        ended.filter(|ended| is_verified || *ended != EndOutcome::NoBatch)
    }

    /// Tries once to end a batch. For a caller of another organisation, the batch does not exist.
    async fn try_end(&self, batch: &str, caller: &Caller) -> Result<EndOutcome, Error> {
        let Some(Versioned {
            row_version,
            value: header,
        }) = self.batch_store.header(batch).await?
        else {
            return Ok(EndOutcome::NoBatch);
        };
        if !caller.may_access(header.organisation.as_deref()) {
            return Ok(EndOutcome::NoBatch);
        }
        if header.ended {
            return Ok(EndOutcome::Ended);
        }
        let ended = BatchHeader {
            ended: true,
            ..header
        };
        let key = storage::header_key(batch);
        let txn = Txn::default().check(SHARED, &key, row_version);
        let txn = txn.put(SHARED, &key, ended.to_vec()?);
        match self.storage.commit(&txn).await? {
            Outcome::Done { version, .. } => {
                self.cluster
                    .put_batch_header(batch, version, ended, version);
                Ok(EndOutcome::Ended)
            }
            Outcome::Conflict { rows, version } => {
                self.apply_header_rows(batch, &rows, version);
                Ok(EndOutcome::Conflict)
            }
        }
    }
}
