//! The listeners towards callers and the platform.

use crate::clock;
use crate::forward::{self, Forwarder};
use crate::headers::text;
use crate::known::Known;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::protocol::{Protocol, RequestKind};
use crate::reader::Reader;
use crate::reply::{self, Body};
use crate::settings::Settings;
use crate::submit::Submitter;
use bytes::Bytes;
use dogwoodlb_config::Kind;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

/// The connections open at a time; further ones wait in the kernel's queue.
const MAX_CONNECTIONS: usize = 4_000;
/// The pause after a connection could not be accepted, as without free descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// When a caller should come back to a node that knows no configuration yet.
const UNKNOWN_COME_BACK: Duration = Duration::from_millis(300);
/// A node that has not heard of the configuration for this long can't say that a route is
/// missing.
const CONFIG_AGE: Duration = Duration::from_millis(2_000);
/// The limits before a configuration is known.
const FIRST_LIMITS: (usize, Duration) = (64 * 1024, Duration::from_secs(30));

/// Answers one kind of connection.
pub(crate) trait Answer {
    /// Answers a request.
    fn answer(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = Response<Body>>;
}

/// What callers are served with.
pub(crate) struct Front {
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) known: Rc<Known>,
    pub(crate) forwarder: Forwarder,
    pub(crate) reader: Reader,
    pub(crate) submitter: Submitter,
    /// The requests being answered.
    pub(crate) in_flight: Cell<usize>,
    /// The open connections.
    pub(crate) open: Rc<Cell<usize>>,
    /// Whether requests are answered as late at once, since the process is about to end.
    pub(crate) ending: watch::Sender<bool>,
}

/// Counts a request until its answer begins.
struct InFlight<'a>(&'a Cell<usize>);

impl<'a> InFlight<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Answer for Front {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let _counted = InFlight::new(&self.in_flight);
        let mut ending = self.ending.subscribe();
        tokio::select! {
            response = self.call(request) => response,
            // Fails only without a sender, and this node has one.
            _ = ending.wait_for(|is_ending| *is_ending) => forward::late(),
        }
    }
}

impl Front {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        match self.protocol.classify(&head) {
            RequestKind::Results { batch, after, wait } => {
                self.reader.results(&batch, after, wait).await
            }
            RequestKind::ItemBody { batch, item } => self.reader.body(&batch, &item).await,
            RequestKind::EndBatch { batch } => self.submitter.end(&batch).await,
            RequestKind::Route => self.route(Request::from_parts(head, body)).await,
        }
    }

    async fn route(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(config) = self.known.config() else {
            return reply::refusal("no configuration is known yet", UNKNOWN_COME_BACK);
        };
        let host = request
            .headers()
            .get(HOST)
            .and_then(|host| host.to_str().ok());
        let host = host.or_else(|| request.uri().host()).unwrap_or_default();
        let host = host.split(':').next().unwrap_or_default().to_owned();
        let Some(route) = config.route(&host, request.uri().path()) else {
            return self.no_route(&request, &host, config.version());
        };
        if route.kind == Kind::Rollout && request.method() == Method::POST {
            return self.submitter.submit(request, &host, &config, route).await;
        }
        self.forwarder.serve(request, &config, route).await
    }

    fn no_route(&self, request: &Request<Incoming>, host: &str, version: u64) -> Response<Body> {
        let now = clock::now();
        let seen = self.known.config_seen();
        let age = seen.map(|at| now.saturating_since(at));
        let id = text(request.headers(), &self.protocol.headers().request_id).unwrap_or_default();
        let is_fresh = age.is_some_and(|age| age < CONFIG_AGE);
        tracing::info!(
            request = id,
            host,
            path = request.uri().path(),
            version,
            age_ms = age.map(|age| age.as_millis()),
            outcome = if is_fresh { "not_found" } else { "unsure" },
            "no_route"
        );
        if is_fresh {
            reply::status(StatusCode::NOT_FOUND, "the configuration has no such route")
        } else {
            reply::refusal("the configuration may be out of date", UNKNOWN_COME_BACK)
        }
    }
}

/// Tells callers which addresses to use.
pub(crate) struct Directory {
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) settings: Rc<Settings>,
}

/// The most addresses in one answer.
const MAX_ADDRESSES: usize = 64;

impl Answer for Directory {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let Some(place) = self.protocol.address_query(request.uri()) else {
            return reply::status(StatusCode::NOT_FOUND, "there is no such path");
        };
        let mut fronts = self.peers.fronts(&place.region);
        fronts.truncate(MAX_ADDRESSES);
        if fronts.is_empty() {
            return reply::refusal("no node serves", UNKNOWN_COME_BACK);
        }
        let ttl = self.settings.address_ttl();
        reply::json(self.protocol.encode_addresses(&fronts, ttl))
    }
}

/// Tells the platform whether the node is ready.
pub(crate) struct Ready {
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) known: Rc<Known>,
    pub(crate) peers: Rc<Peers>,
}

impl Answer for Ready {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        if !self.protocol.is_readiness_probe(request.uri()) {
            return reply::status(StatusCode::NOT_FOUND, "there is no such path");
        }
        if self.known.config().is_none() {
            return reply::refusal("no configuration is known yet", UNKNOWN_COME_BACK);
        }
        if self.peers.is_leaving() {
            return reply::refusal("the node is shutting down", UNKNOWN_COME_BACK);
        }
        Response::new(reply::whole(Bytes::new()))
    }
}

/// Serves the metrics.
pub(crate) struct Scrape {
    pub(crate) metrics: Rc<Metrics>,
}

impl Answer for Scrape {
    async fn answer(self: Rc<Self>, _request: Request<Incoming>) -> Response<Body> {
        Response::new(reply::whole(self.metrics.text().into()))
    }
}

/// Serves the connections of a listener until the end is announced, then lets them finish.
pub(crate) async fn serve<A: Answer + 'static>(
    listener: TcpListener,
    handler: Rc<A>,
    known: Rc<Known>,
    end: watch::Receiver<bool>,
    open: Rc<Cell<usize>>,
) {
    loop {
        if open.get() >= MAX_CONNECTIONS {
            sleep(ACCEPT_RETRY).await;
            continue;
        }
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "connection_not_accepted");
                sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        open.set(open.get() + 1);
        let (handler, known, open, end) =
            (handler.clone(), known.clone(), open.clone(), end.clone());
        tokio::task::spawn_local(async move {
            connection(stream, handler, &known, end).await;
            open.set(open.get() - 1);
        });
    }
}

async fn connection<A: Answer + 'static>(
    stream: TcpStream,
    handler: Rc<A>,
    known: &Known,
    mut end: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "nodelay_refused");
    }
    let limits = known.config().map(|config| *config.limits());
    let (head_bytes, idle) = limits.map_or(FIRST_LIMITS, |l| (l.head_bytes, l.idle_timeout));
    let busy = Rc::new(Cell::new(0_usize));
    let used = Rc::new(Cell::new(Instant::now()));
    let service = service_fn({
        let (busy, used) = (busy.clone(), used.clone());
        move |request| {
            let (handler, busy, used) = (handler.clone(), busy.clone(), used.clone());
            async move {
                let _counted = InFlight::new(&busy);
                let response = handler.answer(request).await;
                used.set(Instant::now());
                Ok::<_, Infallible>(response)
            }
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Counts from the end of the last answer, and so bounds idle time and a slow head.
        .header_read_timeout(idle * 2)
        .max_buf_size(head_bytes.max(FIRST_LIMITS.0))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    loop {
        let idle = known
            .config()
            .map_or(FIRST_LIMITS.1, |c| c.limits().idle_timeout);
        let until = used.get() + idle;
        tokio::select! {
            outcome = &mut connection => {
                if let Err(error) = outcome {
                    tracing::debug!(%error, "connection_ended");
                }
                return;
            }
            () = sleep_until(until.max(Instant::now() + ACCEPT_RETRY)) => {
                let is_idle = busy.get() == 0 && used.get() + idle <= Instant::now();
                if is_idle {
                    connection.as_mut().graceful_shutdown();
                }
            }
            _ = end.changed() => connection.as_mut().graceful_shutdown(),
        }
    }
}
