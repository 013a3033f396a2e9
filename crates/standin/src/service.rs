//! A plain service.

use crate::fault::{Faults, Plan};
use crate::host::{failure, not_found, parse, Host, Site};
use crate::Result;
use dogwoodlb_http::{Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use xxhash_rust::xxh3::xxh3_64;

/// Bounds what is remembered of the requests.
const MAX_COUNTED: usize = 1 << 20;

/// A plain service that counts what it executes.
///
/// - `POST /score` with `{"sample","text"}` answers `{"score"}`, a number from 0 to 1 that
///   depends on nothing but the text.
/// - Any method on `/echo` answers the body of the request.
/// - `POST /orders` counts an order and answers its number.
/// - `GET /counts` answers the [`Counts`].
pub struct Service {
    host: Host,
    log: Arc<Log>,
}

/// How often the service executed what.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// The executions for each `x-request-id`.
    pub requests: BTreeMap<String, u64>,
    /// The executions for each body.
    pub bodies: BTreeMap<String, u64>,
    /// The orders placed.
    pub orders: u64,
}

#[derive(Default)]
struct Log {
    counts: Mutex<Counts>,
    peers: Mutex<BTreeSet<SocketAddr>>,
}

#[derive(Deserialize)]
struct Judged {
    #[serde(rename = "sample")]
    _sample: serde_json::Value,
    text: String,
}

/// Returns the score that `/score` gives a text.
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
        let log = Arc::new(Log::default());
        let host = Host::start(listener, log.clone())?;
        Ok(Self { host, log })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Returns the ordered faults.
    pub fn faults(&self) -> &Faults {
        self.host.faults()
    }

    /// Returns how often the service executed what.
    pub fn counts(&self) -> Counts {
        self.log.lock().clone()
    }

    /// Returns how often a request id was executed.
    pub fn executions(&self, request: &str) -> u64 {
        let counts = self.log.lock();
        counts.requests.get(request).copied().unwrap_or_default()
    }

    /// Returns the number of addresses and ports that requests came from.
    pub fn connections(&self) -> usize {
        self.log.peers().len()
    }

    /// Returns the number of orders placed.
    pub fn order_count(&self) -> u64 {
        self.log.lock().orders
    }
}

impl Log {
    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn peers(&self) -> MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Counts {
    fn record(&mut self, request: &Request) -> bool {
        if self.requests.len().max(self.bodies.len()) >= MAX_COUNTED {
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

impl Site for Log {
    fn answer(&self, request: &Request, _plan: &Plan) -> Response {
        let mut peers = self.peers();
        if peers.len() < MAX_COUNTED {
            peers.insert(request.peer);
        }
        drop(peers);
        let mut counts = self.lock();
        let endpoint = (request.method.as_str(), request.path.as_str());
        match endpoint {
            ("GET", "/counts") => return Response::json(200, &*counts),
            ("POST", "/score" | "/orders") | (_, "/echo") => {}
            _ => return not_found(),
        }
        let judged = match endpoint.1 {
            "/score" => match parse::<Judged>(request) {
                Ok(judged) => Some(judged),
                Err(response) => return response,
            },
            _ => None,
        };
        if !counts.record(request) {
            return failure(503, "full", "too many requests counted");
        }
        match (endpoint.1, judged) {
            (_, Some(judged)) => Response::json(200, &json!({ "score": score(&judged.text) })),
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
