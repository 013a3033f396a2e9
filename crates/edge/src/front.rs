//! The HTTP listeners for callers and for the platform.

use crate::cluster::ClusterState;
use crate::forward::{self, Forwarder};
use crate::headers::header_str;
use crate::identity::{Caller, MAX_CONFIG_AGE};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::protocol::{Protocol, RequestKind};
use crate::reader::BatchReader;
use crate::reply::{self, Body};
use crate::settings::Settings;
use crate::submit::Submitter;
use crate::task;
use bytes::Bytes;
use dogwoodlb_config::RouteKind;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

mod access;

pub(crate) use access::RejectionLog;

/// The maximum number of open connections. Further connections wait in the kernel's accept queue.
const MAX_CONNECTIONS: usize = 4_000;
/// The pause after a failed `accept`, for instance for lack of file descriptors, and while
/// [`MAX_CONNECTIONS`] connections are open.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// The minimum interval between two checks whether a connection is idle.
const MIN_IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The retry-after time of refused requests.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// The maximum size of a request head before a configuration is known. A configured maximum below
/// it has no effect.
const DEFAULT_HEAD_BYTES: usize = 64 * 1024;
/// The most that is read of a request body before a configuration is known.
const DEFAULT_BODY_BYTES: usize = 32 * 1024 * 1024;
/// The idle time-out of connections before a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Handles the requests of one listener.
pub(crate) trait Handler {
    /// Handles a request.
    fn handle(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = Response<Body>>;
}

/// Handles the requests of callers.
pub(crate) struct FrontHandler {
    /// The address of the listener.
    pub(crate) address: SocketAddr,
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) cluster: Rc<ClusterState>,
    pub(crate) forwarder: Forwarder,
    pub(crate) reader: BatchReader,
    pub(crate) submitter: Submitter,
    /// The number of requests being handled.
    pub(crate) in_flight: Rc<Cell<usize>>,
    /// The number of batch ends being stored. They continue if their callers disconnect.
    pub(crate) pending_ends: Rc<Cell<usize>>,
    /// The number of open connections.
    pub(crate) open_connections: Rc<Cell<usize>>,
    pub(crate) rejections: RejectionLog,
    /// Whether pending requests are answered with a time-out at once, because the process is
    /// about to exit.
    pub(crate) aborting: watch::Sender<bool>,
}

/// Counts a request, a connection or a task until it is dropped, also by a panic.
struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Handler for FrontHandler {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let _counted = Counted::new(&self.in_flight);
        let mut aborting = self.aborting.subscribe();
        tokio::select! {
            response = self.dispatch(request) => response.unwrap_or_else(|refusal| refusal),
            // `wait_for` fails only if the sender is dropped, and `self` owns it.
            _ = aborting.wait_for(|is_aborting| *is_aborting) => forward::gateway_timeout(),
        }
    }
}

impl FrontHandler {
    /// Returns whether no caller is connected and no work for a disconnected caller remains.
    pub(crate) fn is_drained(&self) -> bool {
        self.open_connections.get() == 0 && self.pending_ends.get() == 0
    }

    /// Handles a request. Returns the refusal of a request that is not run as the error.
    async fn dispatch(
        self: &Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Response<Body>> {
        let (head, body) = request.into_parts();
        if self.is_misdirected(&head) {
            let reason = "this is a node, not the replica";
            return Err(reply::plain_text(StatusCode::MISDIRECTED_REQUEST, reason));
        }
        match self.protocol.classify(&head) {
            RequestKind::Results { batch, after, wait } => {
                let caller = self.batch_caller(&head, &batch).await?;
                Ok(self.reader.results(&batch, &caller, after, wait).await)
            }
            RequestKind::ItemBody { batch, item } => {
                let caller = self.batch_caller(&head, &batch).await?;
                Ok(self.reader.body(&batch, &caller, &item).await)
            }
            RequestKind::EndBatch { batch } => {
                let caller = self.batch_caller(&head, &batch).await?;
                Ok(self.end_batch(batch, caller).await)
            }
            RequestKind::Route => self.route(head, body).await,
        }
    }

    /// Returns whether a node sent this request, because the entry of the replica that it is meant
    /// for holds the address of this node. Forwarded, it could come back any number of times.
    fn is_misdirected(&self, head: &Parts) -> bool {
        let instance = header_str(&head.headers, &self.protocol.headers().instance);
        let directory = self.cluster.directory();
        let entry = instance.and_then(|instance| directory.get(instance));
        entry.is_some_and(|entry| entry.address == self.address)
    }

    /// Ends a batch, even if the caller disconnects: the batch is no longer wanted.
    async fn end_batch(self: &Rc<Self>, batch: String, caller: Caller) -> Response<Body> {
        let this = self.clone();
        let counted = Counted::new(&self.pending_ends);
        let end = task::spawn_isolated("batch_end", async move {
            let _counted = counted;
            this.submitter.end(&batch, &caller).await
        });
        // Fails only if the task panicked.
        end.await.unwrap_or_else(|_| forward::gateway_timeout())
    }

    async fn route(&self, head: Parts, body: Incoming) -> Result<Response<Body>, Response<Body>> {
        let Some(config) = self.cluster.config() else {
            reply::discard_body(&head, body, DEFAULT_BODY_BYTES).await;
            let reason = "no configuration is known yet";
            return Err(reply::unavailable(reason, RETRY_AFTER));
        };
        let max_body_bytes = config.limits().max_body_bytes;
        let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
        let host = host.or_else(|| head.uri.host()).unwrap_or_default();
        let host = host.split(':').next().unwrap_or_default().to_owned();
        let Some(route) = config.route(&host, head.uri.path()) else {
            let refusal = self.no_route(&head, &host, config.version());
            reply::discard_body(&head, body, max_body_bytes).await;
            return Err(refusal);
        };
        let caller = match self.route_caller(&head, &config, route.is_public) {
            Ok(caller) => caller,
            Err(rejection) => {
                let refusal = self.reject(&head, &config, &route.name, rejection);
                reply::discard_body(&head, body, max_body_bytes).await;
                return Err(refusal);
            }
        };
        let request = Request::from_parts(head, body);
        if route.kind == RouteKind::Rollout && request.method() == Method::POST {
            let submitted = self
                .submitter
                .submit(request, &host, &config, route, &caller);
            return Ok(submitted.await);
        }
        Ok(self.forwarder.serve(request, &config, route, &caller).await)
    }

    fn no_route(&self, head: &Parts, host: &str, version: u64) -> Response<Body> {
        let age = self.config_age();
        let id = header_str(&head.headers, &self.protocol.headers().request_id).unwrap_or_default();
        let is_fresh = age.is_some_and(|age| age < MAX_CONFIG_AGE);
        tracing::info!(
            request = id,
            host,
            path = head.uri.path(),
            version,
            age_ms = age.map(|age| age.as_millis()),
            outcome = if is_fresh {
                "not_found"
            } else {
                "config_outdated"
            },
            "no_route"
        );
        if is_fresh {
            reply::plain_text(StatusCode::NOT_FOUND, "the configuration has no such route")
        } else {
            reply::unavailable("the configuration may be out of date", RETRY_AFTER)
        }
    }
}

/// Tells callers the addresses of the nodes that serve them. It is unrelated to
/// [`ClusterState::directory`], which lists the replicas.
pub(crate) struct DirectoryHandler {
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) settings: Rc<Settings>,
}

/// The maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 64;

impl Handler for DirectoryHandler {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let Some(query) = self.protocol.address_query(request.uri()) else {
            return reply::plain_text(StatusCode::NOT_FOUND, "there is no such path");
        };
        let mut addresses = self.peers.front_addresses(&query.region);
        addresses.truncate(MAX_ADDRESSES);
        if addresses.is_empty() {
            return reply::unavailable("no node serves", RETRY_AFTER);
        }
        let ttl = self.settings.address_ttl();
        reply::json(self.protocol.encode_addresses(&addresses, ttl))
    }
}

/// Answers the platform's readiness probe.
pub(crate) struct ReadinessHandler {
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) cluster: Rc<ClusterState>,
    pub(crate) peers: Rc<Peers>,
}

impl Handler for ReadinessHandler {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        if !self.protocol.is_readiness_probe(request.uri()) {
            return reply::plain_text(StatusCode::NOT_FOUND, "there is no such path");
        }
        if self.cluster.config().is_none() {
            return reply::unavailable("no configuration is known yet", RETRY_AFTER);
        }
        if self.peers.is_leaving() {
            return reply::unavailable("the node is shutting down", RETRY_AFTER);
        }
        Response::new(reply::full_body(Bytes::new()))
    }
}

/// Serves the metrics.
pub(crate) struct MetricsHandler {
    pub(crate) metrics: Rc<Metrics>,
}

impl Handler for MetricsHandler {
    async fn handle(self: Rc<Self>, _request: Request<Incoming>) -> Response<Body> {
        Response::new(reply::full_body(self.metrics.encode().into()))
    }
}

/// Accepts the connections of a listener. After shutdown is announced, open connections finish
/// their current request and close.
pub(crate) async fn serve<H: Handler + 'static>(
    listener: TcpListener,
    handler: Rc<H>,
    cluster: Rc<ClusterState>,
    shutdown: watch::Receiver<bool>,
    open_connections: Rc<Cell<usize>>,
) {
    loop {
        if open_connections.get() >= MAX_CONNECTIONS {
            sleep(ACCEPT_RETRY).await;
            continue;
        }
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "accept_failed");
                sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        let counted = Counted::new(&open_connections);
        let (handler, cluster, shutdown) = (handler.clone(), cluster.clone(), shutdown.clone());
        task::spawn_isolated("connection", async move {
            let _counted = counted;
            serve_connection(stream, handler, &cluster, shutdown).await;
        });
    }
}

async fn serve_connection<H: Handler + 'static>(
    stream: TcpStream,
    handler: Rc<H>,
    cluster: &ClusterState,
    mut shutdown: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "set_nodelay_failed");
    }
    let limits = cluster.config().map(|config| *config.limits());
    let (head_bytes, idle) = limits.map_or((DEFAULT_HEAD_BYTES, DEFAULT_IDLE_TIMEOUT), |limits| {
        (limits.max_head_bytes, limits.idle_timeout)
    });
    let in_flight = Rc::new(Cell::new(0_usize));
    let last_used = Rc::new(Cell::new(Instant::now()));
    let service = service_fn({
        let (in_flight, last_used) = (in_flight.clone(), last_used.clone());
        move |request| {
            let (handler, in_flight, last_used) =
                (handler.clone(), in_flight.clone(), last_used.clone());
            async move {
                let _counted = Counted::new(&in_flight);
                let response = handler.handle(request).await;
                last_used.set(Instant::now());
                Ok::<_, Infallible>(response)
            }
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This time-out restarts after each response, so it bounds both the idle time and the
        // time to receive a request head. It is twice the idle time-out, so that the loop below
        // normally closes an idle connection gracefully before this time-out drops it.
        .header_read_timeout(idle * 2)
        .max_buf_size(head_bytes.max(DEFAULT_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    loop {
        let idle = cluster
            .config()
            .map_or(DEFAULT_IDLE_TIMEOUT, |c| c.limits().idle_timeout);
        let until = last_used.get() + idle;
        tokio::select! {
            // A request that has arrived is read before a shutdown can close its connection.
            biased;
            outcome = &mut connection => {
                if let Err(error) = outcome {
                    tracing::debug!(%error, "connection_failed");
                }
                return;
            }
            () = sleep_until(until.max(Instant::now() + MIN_IDLE_CHECK_INTERVAL)) => {
                let is_idle = in_flight.get() == 0 && last_used.get() + idle <= Instant::now();
                if is_idle {
                    connection.as_mut().graceful_shutdown();
                }
            }
            _ = shutdown.changed() => connection.as_mut().graceful_shutdown(),
        }
    }
}
