//! Accepts and ends batches.

use crate::batch_store::{BatchStore, Error};
use crate::clock;
use crate::cluster::{ClusterState, Versioned};
use crate::headers::{header_millis, header_str};
use crate::metrics::Metrics;
use crate::peers::{Peers, MAX_RELAY_BYTES};
use crate::protocol::Protocol;
use crate::reply::{self, Body};
use crate::storage::{self, Storage, BODIES, MAX_TXN_BYTES, SHARED};
use bytes::Bytes;
use dogwoodlb_batch::{parts, BatchHeader, Record, Submission};
use dogwoodlb_config::{Route, Snapshot};
use dogwoodlb_external::store::{Outcome, Row, Txn};
use dogwoodlb_types::Instant;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The time-out of a request whose caller states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a write that was certainly not applied is retried. After that, another node may be
/// able to reach the store.
const UNAPPLIED_RETRY_TIME: Duration = Duration::from_millis(900);
/// How long the node tries to end a batch. The caller gives up after its acknowledgement
/// time-out.
const END_TIMEOUT: Duration = Duration::from_millis(3_500);
const RETRY_INTERVAL: Duration = Duration::from_millis(80);
/// The retry-after time of refused requests.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// The maximum length of a batch id, which becomes part of row keys.
const MAX_ID_BYTES: usize = 120;
/// The maximum number of parts in a transaction.
const PARTS_PER_TXN: usize = MAX_TXN_BYTES / parts::PART_BYTES;

/// Accepts and ends batches.
pub(crate) struct Submitter {
    pub(crate) batch_store: Rc<BatchStore>,
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) cluster: Rc<ClusterState>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) node: String,
    pub(crate) peers: Rc<Peers>,
    pub(crate) storage: Rc<Storage>,
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
        }
    }
}

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

impl Submitter {
    /// Accepts a batch. The caller gets an acknowledgement only after the batch is in the store.
    pub(crate) async fn submit(
        &self,
        request: Request<Incoming>,
        host: &str,
        config: &Snapshot,
        route: &Route,
    ) -> Response<Body> {
        let began = clock::now();
        let headers = self.protocol.headers();
        let (head, body) = request.into_parts();
        let id = header_str(&head.headers, &headers.request_id).unwrap_or_default();
        if !is_valid_id(id) {
            return reply::plain_text(StatusCode::BAD_REQUEST, "the id of the batch is not usable");
        }
        let wait = header_millis(&head.headers, &headers.deadline_ms).unwrap_or(DEFAULT_TIMEOUT);
        if self.cluster.batch_header(id).is_some() {
            return accepted_response();
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
            result = self.store_batch(&submission, route, began, deadline).await;
        }
        let left = deadline.saturating_since(clock::now());
        // If the batch may already be in the store, relaying it is safe: the existing header
        // prevents a second write.
        if !matches!(result, SubmitOutcome::Accepted { .. }) && body.len() <= MAX_RELAY_BYTES {
            let relayed = RelayedBatch {
                id: id.to_owned(),
                host: host.to_owned(),
                path: path.to_owned(),
                body: body.to_vec(),
                wait_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            };
            result = result.combine(self.peers.relay_batch(relayed, left).await);
        }
        // No other node stored the batch, so try the store although it did not respond recently.
        if matches!(result, SubmitOutcome::Refused) && !self.storage.is_reachable(began) {
            result = self
                .store_batch(&submission, route, clock::now(), deadline)
                .await;
        }
        self.respond(&submission, began, result)
    }

    /// Accepts a batch on behalf of another node.
    pub(crate) async fn accept_relayed(&self, relayed: &RelayedBatch) -> SubmitOutcome {
        let began = clock::now();
        let Some(config) = self.cluster.config() else {
            return SubmitOutcome::Refused;
        };
        let (id, host, path) = (&relayed.id, &relayed.host, &relayed.path);
        let Some(route) = config.route(host, path) else {
            return SubmitOutcome::Refused;
        };
        if self.cluster.batch_header(id).is_some() {
            return SubmitOutcome::Accepted { is_new: false };
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
        self.store_batch(&submission, route, began, deadline).await
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
            SubmitOutcome::Refused => reply::unavailable("the batch is not stored", RETRY_AFTER),
            SubmitOutcome::Unknown => {
                let reason = "the store does not say whether the batch is stored";
                reply::plain_text(StatusCode::GATEWAY_TIMEOUT, reason)
            }
        }
    }

    /// Writes a batch to the store, its header last.
    async fn store_batch(
        &self,
        submission: &Submission,
        route: &Route,
        began: Instant,
        deadline: Instant,
    ) -> SubmitOutcome {
        let Some(service) = route.select_service(rand::random()) else {
            return SubmitOutcome::Refused;
        };
        let bytes = match submission.to_vec() {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(batch = submission.id, %error, "batch_not_encoded");
                return SubmitOutcome::Refused;
            }
        };
        let body_parts = parts::split(&bytes);
        let Some(submitted_ms) = self.store_time_ms().await else {
            return SubmitOutcome::Refused;
        };
        let leader = self.cluster.leader(service).map(|leader| leader.value);
        let header = BatchHeader {
            owner: leader.unwrap_or_else(|| self.node.clone()),
            writer_id: 0,
            host: submission.host.clone(),
            path: submission.path.clone(),
            service: service.to_owned(),
            item_count: u32::try_from(submission.items.len()).unwrap_or(u32::MAX),
            part_count: u32::try_from(body_parts.len()).unwrap_or(u32::MAX),
            result_count: 0,
            ended: false,
            submitted_ms,
        };
        let txns = transactions(&submission.id, &header, body_parts);
        let mut not_applied = true;
        for (number, txn) in (1..).zip(&txns) {
            let is_last = number == txns.len();
            let unapplied_deadline = began + UNAPPLIED_RETRY_TIME;
            match self
                .commit_with_retry(txn, unapplied_deadline, deadline, &mut not_applied)
                .await
            {
                Some(Outcome::Done { version, .. }) => {
                    if !is_last {
                        continue;
                    }
                    self.cluster
                        .put_batch_header(&submission.id, version, header.clone());
                    let submission = Rc::new(submission.clone());
                    self.batch_store
                        .cache
                        .put_submission(&submission.id, submission.clone());
                    self.cluster.notify_changed();
                }
                Some(Outcome::Conflict { rows }) => {
                    self.apply_header_rows(&submission.id, &rows);
                    return SubmitOutcome::Accepted { is_new: false };
                }
                // Without the last transaction, which writes the header, the batch does not exist.
                None if not_applied || !is_last => return SubmitOutcome::Refused,
                None => return SubmitOutcome::Unknown,
            }
        }
        SubmitOutcome::Accepted { is_new: true }
    }

    /// Returns an upper bound of the store's time, from which the lifetime of items is counted. A
    /// node that copied its tables from other nodes has not seen the store's clock yet.
    async fn store_time_ms(&self) -> Option<u64> {
        if let Some(now_ms) = self.storage.latest_time_ms() {
            return Some(now_ms);
        }
        let key = storage::node_key(&self.node);
        if let Err(error) = self.storage.get(SHARED, &key).await {
            tracing::info!(%error, "store_clock_not_read");
        }
        self.storage.latest_time_ms()
    }

    /// Retries a transaction until its result is known. `not_applied` becomes false when an
    /// attempt may have been applied although no result was received.
    async fn commit_with_retry(
        &self,
        txn: &Txn,
        unapplied_deadline: Instant,
        deadline: Instant,
        not_applied: &mut bool,
    ) -> Option<Outcome> {
        loop {
            match self.storage.commit(txn).await {
                Ok(outcome) => return Some(outcome),
                Err(error) => {
                    *not_applied &= storage::is_not_applied(&error);
                    let until = if *not_applied {
                        unapplied_deadline
                    } else {
                        deadline
                    };
                    if clock::now() + RETRY_INTERVAL >= until {
                        tracing::info!(%error, "write_abandoned");
                        return None;
                    }
                }
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    fn apply_header_rows(&self, batch: &str, rows: &[Row]) {
        let key = storage::header_key(batch);
        for row in rows.iter().filter(|row| row.key == key && row.version > 0) {
            match BatchHeader::from_slice(&row.value) {
                Ok(header) => self.cluster.put_batch_header(batch, row.version, header),
                Err(error) => tracing::error!(batch, %error, "row_not_decoded"),
            }
        }
    }

    /// Ends a batch.
    pub(crate) async fn end(&self, batch: &str) -> Response<Body> {
        let until = clock::now() + END_TIMEOUT;
        let mut outcome = "conflict";
        loop {
            match self.end_via_any_node(batch).await {
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
    async fn end_via_any_node(&self, batch: &str) -> Result<EndOutcome, Error> {
        if !self.storage.is_reachable(clock::now()) {
            if let Some(outcome) = self.peers.relay_end(batch).await {
                return Ok(outcome);
            }
        }
        self.try_end(batch).await
    }

    /// Tries once to end a batch.
    pub(crate) async fn try_end(&self, batch: &str) -> Result<EndOutcome, Error> {
        let Some(Versioned {
            row_version,
            value: header,
        }) = self.batch_store.header(batch).await?
        else {
            return Ok(EndOutcome::NoBatch);
        };
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
                self.cluster.put_batch_header(batch, version, ended);
                Ok(EndOutcome::Ended)
            }
            Outcome::Conflict { rows } => {
                self.apply_header_rows(batch, &rows);
                Ok(EndOutcome::Conflict)
            }
        }
    }
}

/// Returns the transactions that store a batch. The last one writes the header and thereby accepts
/// the batch.
fn transactions(batch: &str, header: &BatchHeader, body_parts: Vec<Vec<u8>>) -> Vec<Txn> {
    let header_key = storage::header_key(batch);
    // Every transaction requires that no header exists, so that resubmitting an id changes nothing.
    let new_batch = || Txn::default().check(SHARED, &header_key, 0);
    let mut txns = vec![new_batch()];
    for (number, part) in (0..).zip(body_parts) {
        let is_full = txns
            .last()
            .is_none_or(|txn| txn.puts.len() >= PARTS_PER_TXN);
        if is_full {
            txns.push(new_batch());
        }
        if let Some(txn) = txns.pop() {
            let key = storage::numbered_key(batch, number);
            txns.push(txn.put(BODIES, &key, part));
        }
    }
    match (txns.pop(), header.to_vec()) {
        (Some(txn), Ok(header)) => txns.push(txn.put(SHARED, &header_key, header)),
        (_, header) => tracing::error!(batch, error = ?header.err(), "header_not_encoded"),
    }
    txns
}
