//! A stand-in for a plain service.

use crate::fault::{FaultPlan, Faults};
use crate::server::{endpoint_not_found, error_response, parse, Backend, StandinServer};
use crate::Result;
use dogwoodlb_http::{Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use xxhash_rust::xxh3::xxh3_64;

/// Limit on the recorded request ids, bodies and peers, which bounds memory.
const MAX_RECORDED: usize = 1 << 20;

/// A plain service that counts the requests it executes.
///
/// - `POST /score` with `{"sample","text"}` returns `{"score"}`, a number from 0 to 1 that
///   depends only on the text.
/// - Any method on `/echo` returns the request body.
/// - `POST /orders` places an order and returns its number.
/// - `GET /counts` returns the [`Counts`].
pub struct Service {
    server: StandinServer,
    log: Arc<RequestLog>,
}

/// The numbers of executed requests.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// The number of executions per `x-request-id`.
    pub requests: BTreeMap<String, u64>,
    /// The number of executions per request body.
    pub bodies: BTreeMap<String, u64>,
    /// The number of orders placed.
    pub orders: u64,
}

#[derive(Default)]
struct RequestLog {
    counts: Mutex<Counts>,
    peers: Mutex<BTreeSet<SocketAddr>>,
}

#[derive(Deserialize)]
struct ScoreRequest {
    #[serde(rename = "sample")]
    _sample: serde_json::Value,
    text: String,
}

/// Returns the score that `/score` assigns to a text.
pub fn score(text: &str) -> f64 {
    let thousandths = u16::try_from(xxh3_64(text.as_bytes()) % 1001).unwrap_or_default();
    f64::from(thousandths) / 1000.0
}

impl Service {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// [`Category::Io`](crate::Category::Io) if the server can't be started.
    pub fn start(listener: TcpListener) -> Result<Self> {
        let log = Arc::new(RequestLog::default());
        let server = StandinServer::start(listener, log.clone())?;
        Ok(Self { server, log })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Returns the numbers of executed requests.
    pub fn counts(&self) -> Counts {
        self.log.counts().clone()
    }

    /// Returns how often a request with this id was executed.
    pub fn executions(&self, request: &str) -> u64 {
        let counts = self.log.counts();
        counts.requests.get(request).copied().unwrap_or_default()
    }

    /// Returns the number of distinct peer socket addresses that sent requests.
    pub fn connections(&self) -> usize {
        self.log.peers().len()
    }

    /// Returns the number of orders placed.
    pub fn order_count(&self) -> u64 {
        self.log.counts().orders
    }
}

impl RequestLog {
    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn peers(&self) -> MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Counts {
    fn record(&mut self, request: &Request) -> bool {
        if self.requests.len().max(self.bodies.len()) >= MAX_RECORDED {
            return false;
        }
        if let Some(id) = request.header("x-request-id") {
            *self.requests.entry(id.to_owned()).or_default() += 1;
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        *self.bodies.entry(body).or_default() += 1;
        true
    }
}

impl Backend for RequestLog {
    fn execute(&self, request: &Request, _plan: &FaultPlan) -> Response {
        let mut peers = self.peers();
        if peers.len() < MAX_RECORDED {
            peers.insert(request.peer);
        }
        drop(peers);
        let mut counts = self.counts();
        let endpoint = (request.method.as_str(), request.path.as_str());
        match endpoint {
            ("GET", "/counts") => return Response::json(200, &*counts),
            ("POST", "/score" | "/orders") | (_, "/echo") => {}
            _ => return endpoint_not_found(),
        }
        let score_request = match endpoint.1 {
            "/score" => match parse::<ScoreRequest>(request) {
                Ok(score_request) => Some(score_request),
                Err(response) => return response,
            },
            _ => None,
        };
        if !counts.record(request) {
            return error_response(503, "full", "the limit of recorded requests is reached");
        }
        match (endpoint.1, score_request) {
            (_, Some(score_request)) => {
                Response::json(200, &json!({ "score": score(&score_request.text) }))
            }
            ("/orders", _) => {
                counts.orders += 1;
                Response::json(200, &json!({ "order": counts.orders }))
            }
            _ => {
                let media_type = request.header("content-type").unwrap_or("text/plain");
                Response::new(200, media_type, request.body.clone())
            }
        }
    }
}
