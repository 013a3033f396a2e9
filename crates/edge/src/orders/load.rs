//! The load of one weight version on one replica.

use super::WeightLoads;
use crate::clock;
use crate::context::NodeContext;
use crate::departure;
use crate::protocol::{LoadOrder, ReplicaStatus};
use crate::storage::{self, SHARED};
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

/// How long the planner gets to move runs away from a replica before its weights change.
const VACATE_TIME: Duration = Duration::from_millis(130);
/// The time-out of a status request or an order.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The time before the first check whether a load is complete.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(750);
const CHECK_INTERVAL: Duration = Duration::from_millis(120);
/// Loads that take longer count as failed.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// An unacknowledged order that shows no effect for this long counts as failed, so that it can be
/// sent again.
const NO_EFFECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The pause before the next order to a replica at which one failed.
const RETRY_DELAY: Duration = Duration::from_millis(700);
const MAX_STATUS_BYTES: usize = 256 * 1024;

/// The reason why a load failed.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("request to the replica failed: {0}")]
    Unreachable(dogwoodlb_client::Error),
    #[error("{0}")]
    Decode(#[from] crate::protocol::DecodeError),
    #[error("another node holds the claim for {} more ms", .0.as_millis())]
    Claimed(Duration),
    #[error("the store's clock is unknown")]
    NoClock,
    #[error("cannot read or write the claim: {0}")]
    Store(#[from] dogwoodlb_external::Error),
    #[error("another node claimed the replica first")]
    ClaimConflict,
    #[error("the claim expired before the order was sent")]
    ClaimExpired,
    #[error("the replica is leaving")]
    Leaving,
    #[error("cannot encode or decode the claim: {0}")]
    Codec(#[from] postcard::Error),
    #[error("the replica responded with status {0}")]
    Refused(StatusCode),
    #[error("the replica did not load the version in time")]
    NotLoaded,
}

/// A load of one weight version on one replica.
pub(super) struct Load {
    pub(super) loads: Rc<WeightLoads>,
    pub(super) context: Rc<NodeContext>,
    pub(super) replica: String,
    pub(super) address: SocketAddr,
    /// The start of the replica's process, which tells its incarnations apart.
    pub(super) born_ms: i64,
    pub(super) model: String,
    pub(super) version: u64,
    pub(super) finish_runs: bool,
    /// The start of a transaction that only takes effect while this node leads the service.
    pub(super) new_txn: Txn,
}

impl Load {
    pub(super) async fn run(self) {
        let outcome = self.load().await;
        let label = match &outcome {
            Ok(()) => "loaded",
            Err(_) => "failed",
        };
        self.context
            .metrics
            .orders
            .with_label_values(&[label])
            .inc();
        let end = match outcome {
            Ok(()) => {
                self.log("loaded", "");
                Ok(self.version)
            }
            Err(error) => {
                let wait = match &error {
                    Error::Claimed(wait) => *wait,
                    _ => RETRY_DELAY,
                };
                self.log("failed", &error.to_string());
                Err(clock::now() + wait)
            }
        };
        self.loads.finish(&self.replica, &self.model, end);
        self.context.cluster.notify_changed();
    }

    fn log(&self, outcome: &str, error: &str) {
        tracing::info!(
            replica = self.replica,
            model = self.model,
            version = self.version,
            outcome,
            error,
            "weight_load_ended"
        );
    }

    async fn load(&self) -> Result<(), Error> {
        sleep(VACATE_TIME).await;
        let status = self.fetch_status().await?;
        if self.has_version(&status) {
            return Ok(());
        }
        if !self.accepts_work() {
            return Err(Error::Leaving);
        }
        let (fence, sent) = self.claim().await?;
        let order = self.send_order(fence, status.accepted_orders, sent + ORDER_WINDOW);
        let acknowledged = match order.await {
            Ok(StatusCode::ACCEPTED | StatusCode::OK) => true,
            Ok(status) => return Err(Error::Refused(status)),
            Err(dogwoodlb_client::Error::Revoked { .. }) if self.accepts_work() => {
                return Err(Error::ClaimExpired);
            }
            Err(dogwoodlb_client::Error::Revoked { .. }) => return Err(Error::Leaving),
            Err(error) if error.is_unsent() => return Err(Error::Unreachable(error)),
            // The order may have been accepted, or may still be executed.
            Err(_) => false,
        };
        self.wait_until_loaded(status.accepted_orders, acknowledged)
            .await
    }

    fn accepts_work(&self) -> bool {
        let cluster = &self.context.cluster;
        cluster.accepts_work(&self.replica, self.born_ms)
    }

    /// Reads from a response whether the replica is leaving.
    fn observe<T>(&self, response: hyper::Response<T>) -> hyper::Response<T> {
        let (head, body) = response.into_parts();
        let headers = self.context.protocol.headers();
        let cluster = &self.context.cluster;
        departure::observe(cluster, headers, &self.replica, self.born_ms, &head);
        hyper::Response::from_parts(head, body)
    }

    fn has_version(&self, status: &ReplicaStatus) -> bool {
        let mut models = status.models.iter();
        models.any(|weights| weights.model == self.model && weights.version >= self.version)
    }

    /// Waits until the replica has the version.
    async fn wait_until_loaded(
        &self,
        accepted_orders: u64,
        acknowledged: bool,
    ) -> Result<(), Error> {
        let began = clock::now();
        let mut has_effect = acknowledged;
        sleep(FIRST_CHECK_DELAY).await;
        loop {
            let waited = clock::now().saturating_since(began);
            if let Ok(status) = self.fetch_status().await {
                if self.has_version(&status) {
                    return Ok(());
                }
                has_effect |= status.busy || status.accepted_orders > accepted_orders;
                let has_failed = !status.busy
                    && status.accepted_orders > accepted_orders
                    && waited > LOAD_TIMEOUT;
                if has_failed || (!has_effect && waited > NO_EFFECT_TIMEOUT) {
                    return Err(Error::NotLoaded);
                }
            }
            if waited > LOAD_TIMEOUT {
                return Err(Error::NotLoaded);
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    fn build_request(&self, method: Method, path: &str, body: Bytes) -> Request<Bytes> {
        let mut request = Request::new(body);
        *request.method_mut() = method;
        match path.parse() {
            Ok(path) => *request.uri_mut() = path,
            Err(error) => tracing::error!(path, %error, "path_invalid"),
        }
        let address = self.address.to_string();
        let instance = self.context.protocol.headers().instance.clone();
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

    async fn fetch_status(&self) -> Result<ReplicaStatus, Error> {
        let path = self.context.protocol.status_path();
        let request = self.build_request(Method::GET, path, Bytes::new());
        let client = &self.context.client;
        let call = client.call(self.address, request, CALL_TIMEOUT, MAX_STATUS_BYTES);
        let response = self.observe(call.await.map_err(Error::Unreachable)?);
        if response.status() != StatusCode::OK {
            return Err(Error::Refused(response.status()));
        }
        Ok(self.context.protocol.decode_status(response.body())?)
    }

    /// Writes the claim that entitles this node to send an order. Returns the fencing token and
    /// the time at which the write began.
    async fn claim(&self) -> Result<(u64, Instant), Error> {
        let storage = &self.context.storage;
        let key = storage::claim_key(&self.replica);
        let row = storage.get(SHARED, &key).await?;
        let now = storage.claim_time().ok_or(Error::NoClock)?;
        let node = &self.context.settings.node;
        if let Some(row) = &row {
            let lease = self.context.settings.order_lease();
            let claim = Claim::from_slice(&row.value)?;
            claim
                .check_available(node, now, lease)
                .map_err(|error| Error::Claimed(error.wait))?;
        }
        let sent = clock::now();
        let claim = Claim {
            node: node.clone(),
            at_ms: storage.latest_time_ms().ok_or(Error::NoClock)?,
        };
        let version = row.map_or(0, |row| row.version);
        let txn = self.new_txn.clone().check(SHARED, &key, version);
        let txn = txn.put(SHARED, &key, claim.to_vec()?);
        match storage.commit(&txn).await? {
            Outcome::Done { version, .. } => Ok((version, sent)),
            Outcome::Conflict { .. } => Err(Error::ClaimConflict),
        }
    }

    /// Sends the order, unless the claim has expired or the replica is leaving.
    async fn send_order(
        &self,
        fence: u64,
        accepted_orders: u64,
        until: Instant,
    ) -> Result<StatusCode, dogwoodlb_client::Error> {
        let order = LoadOrder {
            model: &self.model,
            version: self.version,
            finish_runs: self.finish_runs,
            holder: &self.context.settings.node,
            fence,
            expected_orders: accepted_orders,
        };
        let (path, body) = self.context.protocol.encode_order(&order);
        let request = self.build_request(Method::POST, path, body);
        let may_send = || clock::now() < until && self.accepts_work();
        // Responses to orders name no request, so that a late one must not be possible.
        let client = self.context.client.checked(&may_send).on_new_connection();
        let call = client.call(self.address, request, CALL_TIMEOUT, MAX_STATUS_BYTES);
        Ok(self.observe(call.await?).status())
    }
}
