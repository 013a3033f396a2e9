//! Reverse proxy for plain services: forwards a caller's request to a replica and returns its
//! response.

use crate::clock;
use crate::headers::{header_millis, header_number, header_str, remove_hop_by_hop};
use crate::identity::{Caller, Forwarding};
use crate::metrics::Metrics;
use crate::protocol::Protocol;
use crate::reply::{self, Body};
use crate::routing::{Selection, ServiceRouters};
use crate::usage::{RequestUsage, UsageMeter};
use crate::waiting::{ReplicaRequest, ServiceQueues};
use bytes::Bytes;
use dogwoodlb_client::Client;
use dogwoodlb_config::{Organisation, Route, RouteKind, Snapshot};
use dogwoodlb_limit::DrainAdmission;
use dogwoodlb_route::Outcome;
use dogwoodlb_types::{id, Instant};
use hyper::body::{Body as _, Incoming};
use hyper::header::{HeaderValue, CONTENT_LENGTH, HOST};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

mod exchange;
mod hedged;
mod upload;

/// Bodies whose content length is at most this are buffered, so that a request can be retried and
/// a response can be verified before it is passed on. Bodies with a larger content length are
/// streamed. Without a content length, a request body is buffered up to the configured
/// `max_body_bytes`, and a response body is streamed, except to callers of HTTP/1.0.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;
/// The time-out of a request whose caller states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Subtracted from the deadline given to the replica, to leave time for returning the response.
const RETURN_MARGIN: Duration = Duration::from_millis(15);
/// The interval at which a request without a free replica retries the selection.
const SELECT_POLL: Duration = Duration::from_millis(15);
/// The share of the route's latency objective that a request may wait for a free replica.
const MAX_WAIT_SHARE: f64 = 0.2;
/// The retry-after time of refused requests.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// The retry-after time of requests that the node can't finish before its exit: other nodes serve.
const DRAIN_RETRY_AFTER: Duration = Duration::ZERO;

/// Forwards requests to the replicas of plain services.
pub(crate) struct Forwarder {
    pub(crate) client: Client,
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) routers: Rc<ServiceRouters>,
    pub(crate) queues: ServiceQueues,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) usage: Rc<UsageMeter>,
    /// Knows which requests end before an exit of the node.
    pub(crate) drain_admission: watch::Sender<DrainAdmission>,
}

/// A request that is being forwarded.
struct ProxiedRequest<'a> {
    route: &'a Route,
    service: &'a str,
    /// The organisation of the caller, if it has a key.
    organisation: Option<Arc<Organisation>>,
    /// Which headers about the caller replicas get.
    forwarding: Forwarding<'a>,
    request_id: String,
    began: Instant,
    /// When the caller gives up, if it says so.
    caller_deadline: Option<Instant>,
    /// When the response head is due: the caller's deadline or the route's time-out.
    deadline: Instant,
    head: &'a Parts,
    body: Bytes,
    /// Counts the request once it has begun to run.
    usage: RequestUsage,
    /// Whether the configuration has organisations, so that the request waits in a queue.
    is_queued: bool,
    /// The retry-after time if no replica takes the request.
    retry_after: Cell<Duration>,
}

/// The result of one attempt.
enum Attempt {
    /// The response for the caller.
    Responded(Response<Body>),
    /// The replica did not run the request.
    NotRun,
    /// The request was not sent, because the replica began to leave.
    Unsent,
    /// The request may have run. The response, if any, is a server error of the replica.
    Failed(Option<Response<Body>>),
    /// The deadline of the request passed; it may have run.
    TimedOut,
}

impl Forwarder {
    /// From now on refuses requests that might not have ended at `exit_at`, also those that wait for
    /// a replica.
    pub(crate) fn begin_drain(&self, exit_at: Instant) {
        self.drain_admission
            .send_modify(|admission| admission.begin(exit_at));
    }

    /// Forwards one request.
    pub(crate) async fn serve(
        &self,
        request: Request<Incoming>,
        config: &Snapshot,
        route: &Route,
        caller: &Caller,
    ) -> Response<Body> {
        let began = clock::now();
        let headers = self.protocol.headers();
        let (head, body) = request.into_parts();
        let stated_wait = header_millis(&head.headers, &headers.deadline_ms);
        let caller_wait = stated_wait.unwrap_or(DEFAULT_TIMEOUT);
        let wait = route
            .timeout
            .map_or(caller_wait, |timeout| timeout.min(caller_wait));
        let Some(service) = route.select_service(rand::random()) else {
            return reply::unavailable("the route leads to no service", RETRY_AFTER);
        };
        let request_id = header_str(&head.headers, &headers.request_id).unwrap_or_default();
        let mut proxied = ProxiedRequest {
            route,
            service,
            organisation: caller.organisation().cloned(),
            forwarding: caller.into(),
            request_id: request_id.to_owned(),
            began,
            caller_deadline: stated_wait.map(|wait| began + wait),
            deadline: began + wait,
            head: &head,
            body: Bytes::new(),
            usage: self
                .usage
                .observe(caller.organisation().map(|organisation| &**organisation)),
            is_queued: config.organisations().is_some(),
            retry_after: Cell::new(RETRY_AFTER),
        };
        let max_body_bytes = config.limits().max_body_bytes;
        let content_length = body.size_hint().exact();
        if content_length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64) {
            let served = self.serve_upload(&proxied, body, max_body_bytes);
            return served.await;
        }
        proxied.body = match reply::read_body(body, max_body_bytes, wait).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let attempts = async {
            match route.kind {
                RouteKind::Idempotent => self.run_hedged(&proxied).await,
                RouteKind::NonIdempotent | RouteKind::Rollout => self.run_attempts(&proxied).await,
            }
        };
        let served = timeout(wait, attempts).await;
        served.unwrap_or_else(|_| self.time_out(&proxied, 0))
    }

    fn time_out(&self, proxied: &ProxiedRequest<'_>, attempts: usize) -> Response<Body> {
        self.record_failure(proxied, "timeout", attempts);
        gateway_timeout()
    }

    /// Returns whether the request may be sent to a replica: the node does not shut down, or the
    /// request surely ends before the exit.
    fn admits(&self, proxied: &ProxiedRequest<'_>) -> bool {
        let admission = self.drain_admission.borrow();
        admission.admits(proxied.caller_deadline)
    }

    /// Waits until the request may no longer be sent to a replica.
    async fn refusal_due(&self, proxied: &ProxiedRequest<'_>) {
        let mut admission = self.drain_admission.subscribe();
        let refuses = |admission: &DrainAdmission| !admission.admits(proxied.caller_deadline);
        // Fails only if the sender is dropped, and `self` owns it.
        let _ = admission.wait_for(refuses).await;
    }

    fn refuse_while_draining(
        &self,
        proxied: &ProxiedRequest<'_>,
        attempts: usize,
    ) -> Response<Body> {
        self.record_failure(proxied, "draining", attempts);
        let reason = "the node exits too soon to finish the request; it has not run";
        reply::unavailable(reason, DRAIN_RETRY_AFTER)
    }

    /// Sends a request that must not run twice until a replica may have run it.
    async fn run_attempts(&self, proxied: &ProxiedRequest<'_>) -> Response<Body> {
        let mut tried: Vec<id::Upstream> = Vec::new();
        let max_attempts = proxied.route.max_attempts.max(1) as usize;
        while tried.len() < max_attempts && self.admits(proxied) {
            let Some(selection) = self.wait_for_replica(proxied, &tried).await else {
                break;
            };
            tried.push(selection.replica.clone());
            match self.attempt(proxied, &selection).await {
                Attempt::Responded(response) | Attempt::Failed(Some(response)) => return response,
                Attempt::NotRun => {}
                Attempt::Unsent => {
                    tried.pop();
                }
                Attempt::TimedOut => return self.time_out(proxied, tried.len()),
                Attempt::Failed(None) => return self.fail(proxied, tried.len()),
            }
        }
        self.refuse(proxied, tried.len())
    }

    /// Returns the response to a request that may have run, and for which no replica has one.
    fn fail(&self, proxied: &ProxiedRequest<'_>, attempts: usize) -> Response<Body> {
        self.record_failure(proxied, "failed", attempts);
        let reason = "the replica failed; it may have run";
        reply::plain_text(StatusCode::BAD_GATEWAY, reason)
    }

    /// Returns the response to a request that no replica has run.
    fn refuse(&self, proxied: &ProxiedRequest<'_>, attempts: usize) -> Response<Body> {
        if !self.admits(proxied) {
            return self.refuse_while_draining(proxied, attempts);
        }
        self.record_failure(proxied, "not_run", attempts);
        let reason = "no replica took the request; it has not run";
        reply::unavailable(reason, proxied.retry_after.get())
    }

    /// Selects a replica, waiting for a limited time if none is free. The wait ends once the request
    /// may no longer be sent.
    async fn wait_for_replica(
        &self,
        proxied: &ProxiedRequest<'_>,
        tried: &[id::Upstream],
    ) -> Option<Selection> {
        tokio::select! {
            biased;
            () = self.refusal_due(proxied) => None,
            selection = self.select_replica(proxied, tried) => selection,
        }
    }

    async fn select_replica(
        &self,
        proxied: &ProxiedRequest<'_>,
        tried: &[id::Upstream],
    ) -> Option<Selection> {
        if proxied.is_queued {
            let request = ReplicaRequest {
                request_id: &proxied.request_id,
                service: proxied.service,
                route: proxied.route,
                organisation: proxied.organisation.as_deref(),
                deadline: proxied.deadline,
                tried,
            };
            let selected = self.queues.select(&request).await;
            return selected
                .inspect_err(|refused| proxied.retry_after.set(refused.retry_after))
                .ok();
        }
        self.poll_for_replica(proxied, tried).await
    }

    /// Selects a replica that has not got the request, waiting for a limited time if none is free.
    async fn poll_for_replica(
        &self,
        proxied: &ProxiedRequest<'_>,
        tried: &[id::Upstream],
    ) -> Option<Selection> {
        let until = proxied.began + proxied.route.latency_target.mul_f64(MAX_WAIT_SHARE);
        loop {
            let selection = self.routers.select(proxied.service, tried);
            if selection.is_some() || clock::now() >= until {
                return selection;
            }
            if self.routers.has_only_leaving(proxied.service) {
                return None;
            }
            sleep(SELECT_POLL).await;
        }
    }

    async fn attempt(&self, proxied: &ProxiedRequest<'_>, selection: &Selection) -> Attempt {
        let left = proxied.deadline.saturating_since(clock::now());
        let outcome = timeout(left, self.exchange(proxied, selection)).await;
        outcome.unwrap_or_else(|_| {
            selection.finish(Outcome::Failure);
            tracing::info!(
                request = proxied.request_id,
                replica = %selection.replica,
                wait_ms = left.as_millis(),
                "attempt_timeout"
            );
            Attempt::TimedOut
        })
    }

    fn build_request(
        &self,
        proxied: &ProxiedRequest<'_>,
        selection: &Selection,
        left: Duration,
    ) -> Request<()> {
        let names = self.protocol.headers();
        let mut request = Request::new(());
        *request.method_mut() = proxied.head.method.clone();
        *request.uri_mut() = proxied.head.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&proxied.head.headers);
        remove_hop_by_hop(headers);
        headers.remove(CONTENT_LENGTH);
        headers.remove(&names.leaving);
        let left = left.saturating_sub(RETURN_MARGIN).as_millis();
        headers.insert(names.deadline_ms.clone(), header_number(left));
        if let Ok(replica) = HeaderValue::from_str(selection.replica.as_str()) {
            headers.insert(names.instance.clone(), replica);
        }
        if !headers.contains_key(HOST) {
            if let Ok(host) = HeaderValue::from_str(&proxied.route.host) {
                headers.insert(HOST, host);
            }
        }
        proxied.forwarding.apply(headers, names);
        request
    }

    /// Counts and logs a request that ended without a response from a replica.
    fn record_failure(&self, proxied: &ProxiedRequest<'_>, outcome: &'static str, attempts: usize) {
        self.metrics.count_refusal(outcome);
        tracing::info!(
            request = proxied.request_id,
            route = proxied.route.name,
            service = proxied.service,
            attempts,
            took_ms = clock::now().saturating_since(proxied.began).as_millis(),
            outcome,
            "request_ended"
        );
    }
}

/// Returns the response to a request whose deadline has passed.
pub(crate) fn gateway_timeout() -> Response<Body> {
    let reason = "no answer in time; it may have run";
    reply::plain_text(StatusCode::GATEWAY_TIMEOUT, reason)
}
