//! Accepts and ends batches.

use crate::batch_store::BatchStore;
use crate::clock;
use crate::cluster::ClusterState;
use crate::headers::{header_millis, header_str};
use crate::identity::Caller;
use crate::metrics::Metrics;
use crate::peers::{Peers, MAX_RELAY_BYTES};
use crate::protocol::Protocol;
use crate::reply::{self, Body};
use crate::storage::{self, Storage};
use crate::table_watcher::TableWatcher;
use bytes::Bytes;
use dogwoodlb_batch::{BatchHeader, Record, Submission};
use dogwoodlb_config::{Route, RouteKind, Snapshot};
use dogwoodlb_external::store::Row;
use dogwoodlb_types::Instant;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;

mod end;
mod write;

pub(crate) use end::EndOutcome;

/// The time-out of a request whose caller states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_INTERVAL: Duration = Duration::from_millis(80);
/// The retry-after time of refused requests.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// The maximum length of a batch id, which becomes part of row keys.
const MAX_ID_BYTES: usize = 120;

/// Accepts and ends batches.
pub(crate) struct Submitter {
    pub(crate) batch_store: Rc<BatchStore>,
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) cluster: Rc<ClusterState>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) node: String,
    pub(crate) peers: Rc<Peers>,
    pub(crate) storage: Rc<Storage>,
    pub(crate) watcher: Rc<TableWatcher>,
}

/// The result of storing a batch.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) enum SubmitOutcome {
    /// The batch is in the store.
    Accepted { is_new: bool },
    /// The batch is not in the store and will not be stored later.
    Refused,
    /// The batch may or may not be in the store.
    Unknown,
    /// Another organisation has a batch with this id. Nodes of the previous version don't know this
    /// outcome, and take it for an unknown one.
    Foreign,
}

impl SubmitOutcome {
    /// Combines the results of two consecutive attempts.
    fn combine(self, later: Self) -> Self {
        match (self, later) {
            (Self::Unknown, Self::Refused) => Self::Unknown,
            (_, later) => later,
        }
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Accepted { is_new: true } => "accepted",
            Self::Accepted { is_new: false } => "repeated",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::Foreign => "foreign",
        }
    }

    /// Returns whether another attempt through another node is pointless.
    fn is_final(self) -> bool {
        matches!(self, Self::Accepted { .. } | Self::Foreign)
    }
}

/// A batch that is relayed through another node.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct RelayedBatch {
    pub(crate) id: String,
    host: String,
    path: String,
    body: Vec<u8>,
    wait_ms: u64,
}

fn is_valid_id(id: &str) -> bool {
    let is_safe = |byte: u8| byte.is_ascii_graphic() && byte != b'/';
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(is_safe)
}

fn accepted_response() -> Response<Body> {
    let mut response = reply::json(Bytes::from_static(b"{}"));
    *response.status_mut() = StatusCode::ACCEPTED;
    response
}

fn foreign_response() -> Response<Body> {
    let reason = "the id of the batch is in use; it has not run";
    reply::plain_text(StatusCode::CONFLICT, reason)
}

impl Submitter {
    /// Accepts a batch. The caller gets an acknowledgement only after the batch is in the store.
    pub(crate) async fn submit(
        &self,
        request: Request<Incoming>,
        host: &str,
        config: &Snapshot,
        route: &Route,
        caller: &Caller,
    ) -> Response<Body> {
        let began = clock::now();
        let headers = self.protocol.headers();
        let (head, body) = request.into_parts();
        let id = header_str(&head.headers, &headers.request_id).unwrap_or_default();
        if !is_valid_id(id) {
            return reply::plain_text(StatusCode::BAD_REQUEST, "the id of the batch is not usable");
        }
        let wait = header_millis(&head.headers, &headers.deadline_ms).unwrap_or(DEFAULT_TIMEOUT);
        if let Some(known) = self.known_outcome(id, caller) {
            return self.respond_repeated(id, known);
        }
        let limit = config.limits().max_body_bytes;
        let body = match reply::read_body(body, limit, wait).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let path = head.uri.path();
        let submission = match self.protocol.decode_submission(id, host, path, &body) {
            Ok(submission) => submission,
            Err(error) => {
                tracing::warn!(batch = id, %error, outcome = "malformed", "batch_refused");
                return reply::plain_text(StatusCode::BAD_REQUEST, "the batch can't be read");
            }
        };
        let deadline = began + wait;
        let mut result = SubmitOutcome::Refused;
        if self.storage.is_reachable(began) {
            result = self
                .store_batch(&submission, caller, route, began, deadline)
                .await;
        }
        let left = deadline.saturating_since(clock::now());
        // If the batch may already be in the store, relaying it is safe: the existing header
        // prevents a second write.
        if !result.is_final() && body.len() <= MAX_RELAY_BYTES {
            let relayed = RelayedBatch {
                id: id.to_owned(),
                host: host.to_owned(),
                path: path.to_owned(),
                body: body.to_vec(),
                wait_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            };
            result = result.combine(self.peers.relay_batch(relayed, caller, left).await);
        }
        // No other node stored the batch, so try the store although it did not respond recently.
        if matches!(result, SubmitOutcome::Refused) && !self.storage.is_reachable(began) {
            result = self
                .store_batch(&submission, caller, route, clock::now(), deadline)
                .await;
        }
        self.respond(&submission, began, result)
    }

    /// Returns the outcome for a batch whose header is known, or `None` if there is none.
    fn known_outcome(&self, batch: &str, caller: &Caller) -> Option<SubmitOutcome> {
        let header = self.cluster.batch_header(batch)?;
        let organisation = header.value.organisation;
        Some(match caller.may_access(organisation.as_deref()) {
            true => SubmitOutcome::Accepted { is_new: false },
            false => SubmitOutcome::Foreign,
        })
    }

    /// Accepts a batch on behalf of another node.
    pub(crate) async fn accept_relayed(
        &self,
        relayed: &RelayedBatch,
        caller: &Caller,
    ) -> SubmitOutcome {
        let began = clock::now();
        // The other node may know a newer configuration, and the route determines the service.
        if let Err(error) = self.watcher.refresh_configuration().await {
            tracing::info!(batch = relayed.id, %error, "configuration_not_refreshed");
            return SubmitOutcome::Refused;
        }
        let Some(config) = self.cluster.config() else {
            return SubmitOutcome::Refused;
        };
        let (id, host, path) = (&relayed.id, &relayed.host, &relayed.path);
        let route = config.route(host, path);
        let Some(route) = route.filter(|route| route.kind == RouteKind::Rollout) else {
            return SubmitOutcome::Refused;
        };
        let (caller, is_verified) = self.cluster.verify_relayed(caller);
        if !is_verified && !route.is_public {
            tracing::info!(batch = id, outcome = "unverified", "batch_refused");
            return SubmitOutcome::Refused;
        }
        if let Some(known) = self.known_outcome(id, &caller) {
            return known;
        }
        let submission = match self
            .protocol
            .decode_submission(id, host, path, &relayed.body)
        {
            Ok(submission) => submission,
            Err(error) => {
                tracing::warn!(batch = id, %error, outcome = "malformed", "batch_refused");
                return SubmitOutcome::Refused;
            }
        };
        let deadline = began + Duration::from_millis(relayed.wait_ms);
        self.store_batch(&submission, &caller, route, began, deadline)
            .await
    }

    /// Returns the response to a repeated submission, whose body is not needed.
    fn respond_repeated(&self, batch: &str, outcome: SubmitOutcome) -> Response<Body> {
        match outcome {
            SubmitOutcome::Foreign => {
                let outcome = outcome.name();
                self.metrics.batches.with_label_values(&[outcome]).inc();
                tracing::info!(batch, outcome, "batch_submitted");
                foreign_response()
            }
            _ => accepted_response(),
        }
    }

    fn respond(
        &self,
        submission: &Submission,
        began: Instant,
        result: SubmitOutcome,
    ) -> Response<Body> {
        let outcome = result.name();
        self.metrics.batches.with_label_values(&[outcome]).inc();
        tracing::info!(
            batch = submission.id,
            step = submission.step,
            model = submission.model,
            items = submission.items.len(),
            min_version = submission.min_version,
            took_ms = clock::now().saturating_since(began).as_millis(),
            outcome,
            "batch_submitted"
        );
        match result {
            SubmitOutcome::Accepted { .. } => accepted_response(),
            SubmitOutcome::Foreign => foreign_response(),
            SubmitOutcome::Refused => reply::unavailable("the batch is not stored", RETRY_AFTER),
            SubmitOutcome::Unknown => {
                let reason = "the store does not say whether the batch is stored";
                reply::plain_text(StatusCode::GATEWAY_TIMEOUT, reason)
            }
        }
    }

    fn apply_header_rows(&self, batch: &str, rows: &[Row], as_of: u64) {
        let key = storage::header_key(batch);
        let is_header = |row: &&Row| row.key == key && row.version > 0 && !row.removed;
        for row in rows.iter().filter(is_header) {
            match BatchHeader::from_slice(&row.value) {
                Ok(header) => self
                    .cluster
                    .put_batch_header(batch, row.version, header, as_of),
                Err(error) => tracing::error!(batch, %error, "row_not_decoded"),
            }
        }
    }
}
