//! One change of weights on one replica.

use super::Loads;
use crate::clock;
use crate::protocol::{LoadOrder, ReplicaStatus};
use crate::storage::{self, SHARED};
use crate::tools::Tools;
use bytes::Bytes;
use dogwoodlb_external::store::{Outcome, Txn};
use dogwoodlb_types::Instant;
use dogwoodlb_weights::{Claim, ORDER_WINDOW};
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The time in which the planner takes runs away from a replica before its weights change.
const VACATE: Duration = Duration::from_millis(130);
/// How long a report or an order may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// A change of weights is not looked at before this time.
const FIRST_LOOK: Duration = Duration::from_millis(750);
const LOOK_INTERVAL: Duration = Duration::from_millis(120);
/// A change of weights that takes longer has failed.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// An order without an answer that shows no effect for this long is given again.
const NO_EFFECT: Duration = Duration::from_millis(1_200);
/// The pause before a replica is tried again at which an order failed.
const RETRY: Duration = Duration::from_millis(700);
const REPORT_BYTES: usize = 256 * 1024;

/// Why no order was carried out.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("the replica does not report: {0}")]
    Report(dogwoodlb_client::Error),
    #[error("{0}")]
    Decode(#[from] crate::protocol::DecodeError),
    #[error("another node may be ordering for {} ms", .0.as_millis())]
    Claimed(Duration),
    #[error("the store's clock is not known")]
    NoClock,
    #[error("the claim can't be written: {0}")]
    Store(#[from] dogwoodlb_external::Error),
    #[error("another node claimed the replica first")]
    Overtaken,
    #[error("the claim is over before the order was sent")]
    TooLate,
    #[error("the claim can't be encoded: {0}")]
    Codec(#[from] postcard::Error),
    #[error("the replica answered {0}")]
    Refused(StatusCode),
    #[error("the order shows no effect")]
    NoEffect,
}

/// One change of weights on one replica.
pub(super) struct Load {
    pub(super) loads: Rc<Loads>,
    pub(super) tools: Rc<Tools>,
    pub(super) replica: String,
    pub(super) address: SocketAddr,
    pub(super) model: String,
    pub(super) version: u64,
    pub(super) finish_runs: bool,
}

impl Load {
    pub(super) async fn run(self) {
        let outcome = self.load().await;
        let label = match &outcome {
            Ok(()) => "loaded",
            Err(_) => "failed",
        };
        self.tools.metrics.orders.with_label_values(&[label]).inc();
        let end = match outcome {
            Ok(()) => {
                self.log("loaded", "");
                Ok(self.version)
            }
            Err(error) => {
                let wait = match &error {
                    Error::Claimed(wait) => *wait,
                    _ => RETRY,
                };
                self.log("failed", &error.to_string());
                Err(clock::now() + wait)
            }
        };
        self.loads.end(&self.replica, &self.model, end);
        self.tools.known.announce();
    }

    fn log(&self, outcome: &str, error: &str) {
        tracing::info!(
            replica = self.replica,
            model = self.model,
            version = self.version,
            outcome,
            error,
            "weights_ordered"
        );
    }

    async fn load(&self) -> Result<(), Error> {
        sleep(VACATE).await;
        let report = self.report().await?;
        if self.holds(&report) {
            return Ok(());
        }
        let (fence, sent) = self.claim().await?;
        if clock::now().saturating_since(sent) >= ORDER_WINDOW {
            return Err(Error::TooLate);
        }
        let answered = match self.order(fence, report.accepted_orders).await {
            Ok(StatusCode::ACCEPTED | StatusCode::OK) => true,
            Ok(status) => return Err(Error::Refused(status)),
            Err(error) if error.is_unsent() => return Err(Error::Report(error)),
            // The order may have been accepted, or may be carried out later.
            Err(_) => false,
        };
        self.wait(report.accepted_orders, answered).await
    }

    fn holds(&self, report: &ReplicaStatus) -> bool {
        let mut models = report.models.iter();
        models.any(|one| one.model == self.model && one.version >= self.version)
    }

    /// Waits until the replica holds the version.
    async fn wait(&self, orders: u64, answered: bool) -> Result<(), Error> {
        let began = clock::now();
        let mut seen = answered;
        sleep(FIRST_LOOK).await;
        loop {
            let waited = clock::now().saturating_since(began);
            if let Ok(report) = self.report().await {
                if self.holds(&report) {
                    return Ok(());
                }
                seen |= report.busy || report.accepted_orders > orders;
                let is_over =
                    !report.busy && report.accepted_orders > orders && waited > LOAD_TIMEOUT;
                if is_over || (!seen && waited > NO_EFFECT) {
                    return Err(Error::NoEffect);
                }
            }
            if waited > LOAD_TIMEOUT {
                return Err(Error::NoEffect);
            }
            sleep(LOOK_INTERVAL).await;
        }
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Request<Bytes> {
        let mut request = Request::new(body);
        *request.method_mut() = method;
        match path.parse() {
            Ok(path) => *request.uri_mut() = path,
            Err(error) => tracing::error!(path, %error, "path_refused"),
        }
        let address = self.address.to_string();
        let instance = self.tools.protocol.headers().instance.clone();
        let values: [(HeaderName, &str); 3] = [
            (HOST, &address),
            (instance, &self.replica),
            (CONTENT_TYPE, "application/json"),
        ];
        for (name, value) in values {
            if let Ok(value) = HeaderValue::from_str(value) {
                request.headers_mut().insert(name, value);
            }
        }
        request
    }

    async fn report(&self) -> Result<ReplicaStatus, Error> {
        let path = self.tools.protocol.status_path();
        let request = self.request(Method::GET, path, Bytes::new());
        let client = &self.tools.client;
        let call = client.call(self.address, request, CALL_TIMEOUT, REPORT_BYTES);
        let answer = call.await.map_err(Error::Report)?;
        if answer.status() != StatusCode::OK {
            return Err(Error::Refused(answer.status()));
        }
        Ok(self.tools.protocol.decode_status(answer.body())?)
    }

    /// Writes the right to order; returns the fencing token and when the writing began.
    async fn claim(&self) -> Result<(u64, Instant), Error> {
        let storage = &self.tools.storage;
        let key = storage::claim_key(&self.replica);
        let row = storage.get(SHARED, &key).await?;
        let earliest = storage.earliest_ms().ok_or(Error::NoClock)?;
        let node = &self.tools.settings.node;
        if let Some(row) = &row {
            let lease = self.tools.settings.order_lease();
            let claim = Claim::from_slice(&row.value)?;
            claim
                .check_available(node, earliest, lease)
                .map_err(|error| Error::Claimed(error.wait))?;
        }
        let sent = clock::now();
        let claim = Claim {
            node: node.clone(),
            at_ms: storage.latest_ms().ok_or(Error::NoClock)?,
        };
        let version = row.map_or(0, |row| row.version);
        let txn = Txn::default().check(SHARED, &key, version);
        let txn = txn.put(SHARED, &key, claim.to_vec()?);
        match storage.commit(&txn).await? {
            Outcome::Done { version, .. } => Ok((version, sent)),
            Outcome::Conflict { .. } => Err(Error::Overtaken),
        }
    }

    async fn order(&self, fence: u64, orders: u64) -> Result<StatusCode, dogwoodlb_client::Error> {
        let order = LoadOrder {
            model: &self.model,
            version: self.version,
            finish_runs: self.finish_runs,
            holder: &self.tools.settings.node,
            fence,
            expected_orders: orders,
        };
        let (path, body) = self.tools.protocol.encode_order(&order);
        let request = self.request(Method::POST, path, body);
        let client = &self.tools.client;
        let call = client.call(self.address, request, CALL_TIMEOUT, REPORT_BYTES);
        Ok(call.await?.status())
    }
}
