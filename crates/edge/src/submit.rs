//! Accepts batches and their ends.

use crate::archive::{Archive, Error};
use crate::clock;
use crate::headers::{millis, text};
use crate::known::{Known, Stored};
use crate::metrics::Metrics;
use crate::peers::{Peers, RELAY_BYTES};
use crate::protocol::Protocol;
use crate::reply::{self, Body};
use crate::storage::{self, Storage, BODIES, SHARED, TXN_BYTES};
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

/// How long a caller waits who does not say.
const DEFAULT_WAIT: Duration = Duration::from_secs(5);
/// How long a write is repeated that certainly did not happen; after that another node may
/// have more luck.
const REFUSED_WAIT: Duration = Duration::from_millis(900);
/// How long the end of a batch is tried; the caller gives up after the time to acknowledge.
const END_WAIT: Duration = Duration::from_millis(3_500);
const RETRY: Duration = Duration::from_millis(80);
/// When a refused caller should come back.
const COME_BACK: Duration = Duration::from_millis(300);
/// The longest id, which becomes part of a key.
const MAX_ID_BYTES: usize = 120;
/// The parts in one transaction.
const PARTS_AT_ONCE: usize = TXN_BYTES / parts::PART_BYTES;

/// Accepts batches.
pub(crate) struct Submitter {
    pub(crate) archive: Rc<Archive>,
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) known: Rc<Known>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) node: String,
    pub(crate) peers: Rc<Peers>,
    pub(crate) storage: Rc<Storage>,
}

/// What became of a write.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) enum Written {
    /// The batch is in the store.
    Accepted { is_new: bool },
    /// The batch is not in the store and won't be.
    Refused,
    /// Nobody can tell.
    Unknown,
}

impl Written {
    /// Returns what holds after two tries, of which the second one came later.
    fn or(self, later: Self) -> Self {
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

/// What became of one try to end a batch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Ended {
    /// The batch is ended.
    Yes,
    /// Another write came first.
    NotYet,
    /// There is no such batch.
    NoBatch,
}

/// A batch that a node can't store itself.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Relayed {
    /// The id of the batch.
    pub(crate) id: String,
    host: String,
    path: String,
    body: Vec<u8>,
    wait_ms: u64,
}

fn is_key(id: &str) -> bool {
    let is_safe = |byte: u8| byte.is_ascii_graphic() && byte != b'/';
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(is_safe)
}

fn accepted() -> Response<Body> {
    let mut response = reply::json(Bytes::from_static(b"{}"));
    *response.status_mut() = StatusCode::ACCEPTED;
    response
}

impl Submitter {
    /// Accepts a batch: it is in the store before the caller is told so.
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
        let id = text(&head.headers, &headers.request_id).unwrap_or_default();
        if !is_key(id) {
            return reply::status(StatusCode::BAD_REQUEST, "the id of the batch is not usable");
        }
        let wait = millis(&head.headers, &headers.deadline_ms).unwrap_or(DEFAULT_WAIT);
        if self.known.head(id).is_some() {
            return accepted();
        }
        let limit = config.limits().body_bytes;
        let body = match reply::read_body(body, limit, wait).await {
            Ok(body) => body,
            Err(refusal) => return refusal,
        };
        let path = head.uri.path();
        let submission = match self.protocol.decode_submission(id, host, path, &body) {
            Ok(submission) => submission,
            Err(error) => {
                tracing::warn!(batch = id, %error, outcome = "malformed", "batch_refused");
                return reply::status(StatusCode::BAD_REQUEST, "the batch can't be read");
            }
        };
        let deadline = began + wait;
        let mut written = Written::Refused;
        if self.storage.is_reached(began) {
            written = self.store(&submission, route, began, deadline).await;
        }
        let left = deadline.saturating_since(clock::now());
        // A batch that may be stored is not stored twice by another node: its head is in the
        // way of a second one.
        if !matches!(written, Written::Accepted { .. }) && body.len() <= RELAY_BYTES {
            let relayed = Relayed {
                id: id.to_owned(),
                host: host.to_owned(),
                path: path.to_owned(),
                body: body.to_vec(),
                wait_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            };
            written = written.or(self.peers.ask_batch(relayed, left).await);
        }
        if matches!(written, Written::Refused) && !self.storage.is_reached(began) {
            written = self.store(&submission, route, clock::now(), deadline).await;
        }
        self.answer(&submission, began, written)
    }

    /// Accepts a batch for another node.
    pub(crate) async fn accept(&self, relayed: &Relayed) -> Written {
        let began = clock::now();
        let Some(config) = self.known.config() else {
            return Written::Refused;
        };
        let (id, host, path) = (&relayed.id, &relayed.host, &relayed.path);
        let Some(route) = config.route(host, path) else {
            return Written::Refused;
        };
        if self.known.head(id).is_some() {
            return Written::Accepted { is_new: false };
        }
        let submission = match self
            .protocol
            .decode_submission(id, host, path, &relayed.body)
        {
            Ok(submission) => submission,
            Err(error) => {
                tracing::warn!(batch = id, %error, outcome = "malformed", "batch_refused");
                return Written::Refused;
            }
        };
        let deadline = began + Duration::from_millis(relayed.wait_ms);
        self.store(&submission, route, began, deadline).await
    }

    fn answer(&self, submission: &Submission, began: Instant, written: Written) -> Response<Body> {
        let outcome = written.name();
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
        match written {
            Written::Accepted { .. } => accepted(),
            Written::Refused => reply::refusal("the batch is not stored", COME_BACK),
            Written::Unknown => {
                let reason = "the store does not say whether the batch is stored";
                reply::status(StatusCode::GATEWAY_TIMEOUT, reason)
            }
        }
    }

    async fn store(
        &self,
        submission: &Submission,
        route: &Route,
        began: Instant,
        deadline: Instant,
    ) -> Written {
        let Some(service) = route.service(rand::random()) else {
            return Written::Refused;
        };
        let bytes = match submission.to_vec() {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(batch = submission.id, %error, "batch_not_encoded");
                return Written::Refused;
            }
        };
        let stored = parts::split(&bytes);
        let Some(submitted_ms) = self.clock().await else {
            return Written::Refused;
        };
        let leader = self.known.leader(service).map(|leader| leader.value);
        let head = BatchHeader {
            owner: leader.unwrap_or_else(|| self.node.clone()),
            writer_id: 0,
            host: submission.host.clone(),
            path: submission.path.clone(),
            service: service.to_owned(),
            items: u32::try_from(submission.items.len()).unwrap_or(u32::MAX),
            parts: u32::try_from(stored.len()).unwrap_or(u32::MAX),
            result_count: 0,
            ended: false,
            submitted_ms,
        };
        let txns = transactions(&submission.id, &head, stored);
        let mut is_certain = true;
        for (number, txn) in (1..).zip(&txns) {
            let is_last = number == txns.len();
            let patience = began + REFUSED_WAIT;
            match self.write(txn, patience, deadline, &mut is_certain).await {
                Some(Outcome::Done { version, .. }) => {
                    if !is_last {
                        continue;
                    }
                    self.known.put_head(&submission.id, version, head.clone());
                    let submission = Rc::new(submission.clone());
                    self.archive
                        .cache
                        .put_submission(&submission.id, submission.clone());
                    self.known.announce();
                }
                Some(Outcome::Conflict { rows }) => {
                    self.learn(&submission.id, &rows);
                    return Written::Accepted { is_new: false };
                }
                None if is_certain || !is_last => return Written::Refused,
                None => return Written::Unknown,
            }
        }
        Written::Accepted { is_new: true }
    }

    /// Returns the store's clock, from which the life of items counts. A node that took its
    /// copies from others has not seen it yet.
    async fn clock(&self) -> Option<u64> {
        if let Some(now_ms) = self.storage.latest_ms() {
            return Some(now_ms);
        }
        let key = storage::node_key(&self.node);
        if let Err(error) = self.storage.get(SHARED, &key).await {
            tracing::info!(%error, "clock_not_read");
        }
        self.storage.latest_ms()
    }

    /// Writes until the store says what happened. `is_certain` becomes false when a write may
    /// have happened unseen.
    async fn write(
        &self,
        txn: &Txn,
        patience: Instant,
        deadline: Instant,
        is_certain: &mut bool,
    ) -> Option<Outcome> {
        loop {
            match self.storage.commit(txn).await {
                Ok(outcome) => return Some(outcome),
                Err(error) => {
                    *is_certain &= storage::is_undone(&error);
                    let until = if *is_certain { patience } else { deadline };
                    if clock::now() + RETRY >= until {
                        tracing::info!(%error, "write_given_up");
                        return None;
                    }
                }
            }
            sleep(RETRY).await;
        }
    }

    fn learn(&self, batch: &str, rows: &[Row]) {
        let key = storage::head_key(batch);
        for row in rows.iter().filter(|row| row.key == key && row.version > 0) {
            match BatchHeader::from_slice(&row.value) {
                Ok(head) => self.known.put_head(batch, row.version, head),
                Err(error) => tracing::error!(batch, %error, "row_refused"),
            }
        }
    }

    /// Ends a batch.
    pub(crate) async fn end(&self, batch: &str) -> Response<Body> {
        let until = clock::now() + END_WAIT;
        let mut outcome = "ended";
        loop {
            match self.end_anywhere(batch).await {
                Ok(Ended::Yes) => break,
                Ok(Ended::NotYet) => {}
                Ok(Ended::NoBatch) => {
                    tracing::info!(batch, outcome = "not_found", "batch_ended");
                    return reply::status(StatusCode::NOT_FOUND, "there is no such batch");
                }
                Err(error) => {
                    tracing::debug!(batch, %error, "end_not_written");
                    outcome = "unknown";
                }
            }
            if clock::now() + RETRY >= until {
                tracing::warn!(batch, outcome, "batch_ended");
                return reply::status(StatusCode::GATEWAY_TIMEOUT, "the end is not stored yet");
            }
            sleep(RETRY).await;
        }
        tracing::info!(batch, outcome = "ended", "batch_ended");
        self.known.announce();
        reply::json(Bytes::from_static(b"{}"))
    }

    /// Tries once to end a batch, with the help of another node while the store is away.
    async fn end_anywhere(&self, batch: &str) -> Result<Ended, Error> {
        if !self.storage.is_reached(clock::now()) {
            if let Some(tried) = self.peers.ask_end(batch).await {
                return Ok(tried);
            }
        }
        self.try_end(batch).await
    }

    /// Tries once to end a batch.
    pub(crate) async fn try_end(&self, batch: &str) -> Result<Ended, Error> {
        let Some(Stored { row, value: head }) = self.archive.known_head(batch).await? else {
            return Ok(Ended::NoBatch);
        };
        if head.ended {
            return Ok(Ended::Yes);
        }
        let ended = BatchHeader {
            ended: true,
            ..head
        };
        let key = storage::head_key(batch);
        let txn = Txn::default().check(SHARED, &key, row);
        let txn = txn.put(SHARED, &key, ended.to_vec()?);
        match self.storage.commit(&txn).await? {
            Outcome::Done { version, .. } => {
                self.known.put_head(batch, version, ended);
                Ok(Ended::Yes)
            }
            Outcome::Conflict { rows } => {
                self.learn(batch, &rows);
                Ok(Ended::NotYet)
            }
        }
    }
}

/// Returns the transactions that store a batch; the last one, with the head, accepts it.
fn transactions(batch: &str, head: &BatchHeader, stored: Vec<Vec<u8>>) -> Vec<Txn> {
    let head_key = storage::head_key(batch);
    // Every transaction requires that the batch is new, so that a repeated id changes nothing.
    let new = || Txn::default().check(SHARED, &head_key, 0);
    let mut txns = vec![new()];
    for (number, part) in (0..).zip(stored) {
        let is_full = txns
            .last()
            .is_none_or(|txn| txn.puts.len() >= PARTS_AT_ONCE);
        if is_full {
            txns.push(new());
        }
        if let Some(txn) = txns.pop() {
            let key = storage::numbered_key(batch, number);
            txns.push(txn.put(BODIES, &key, part));
        }
    }
    match (txns.pop(), head.to_vec()) {
        (Some(txn), Ok(head)) => txns.push(txn.put(SHARED, &head_key, head)),
        (_, head) => tracing::error!(batch, error = ?head.err(), "head_not_encoded"),
    }
    txns
}
