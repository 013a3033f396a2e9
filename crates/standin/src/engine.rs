//! A stand-in for a model engine.

mod completion;
mod job;
mod slots;
mod text;
mod weights;

use crate::fault::{FaultPlan, Faults};
use crate::server::{endpoint_not_found, error_response, parse, Backend, StandinServer};
use crate::Result;
use dogwoodlb_external::engine::{Load, Weights};
use dogwoodlb_http::{Request, Responder, Response};
use dogwoodlb_types::id;
use serde::Deserialize;
use serde_json::json;
use slots::Slots;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Limit on the request ids with a generation count, which bounds memory.
const MAX_COUNTED_REQUESTS: usize = 1 << 20;

/// Configuration of a stand-in engine.
#[derive(Clone, Debug)]
pub struct Config {
    /// The models and versions served at startup.
    pub models: Vec<(id::Model, id::Version)>,
    /// The seed of generated text and lengths.
    pub seed: u64,
    /// The generation speed of each request; infinity disables throttling.
    pub tokens_per_second: f64,
    /// The minimum length of a completion before `max_tokens` is applied.
    pub min_tokens: u32,
    /// The exponent of the Pareto distribution of completion lengths; smaller values give a heavier
    /// tail.
    pub length_exponent: f64,
    /// The number of requests that generate concurrently.
    pub slots: usize,
    /// The number of requests that may wait; further ones are refused with status 503.
    pub queue_capacity: usize,
    /// Whether orders with a stale fencing token are refused.
    pub checks_fencing: bool,
    /// The duration of a weight swap; the old version serves requests until it completes.
    pub swap_duration: Duration,
    /// The age of the reported load.
    pub load_report_lag: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            models: Vec::new(),
            seed: 0,
            tokens_per_second: f64::INFINITY,
            min_tokens: 4,
            length_exponent: 1.5,
            slots: 16,
            queue_capacity: 256,
            checks_fencing: true,
            swap_duration: Duration::ZERO,
            load_report_lag: Duration::ZERO,
        }
    }
}

/// A model engine that generates reproducible text.
///
/// Serves `POST` on `/v1/completions` and `/v1/chat/completions` (streamed or not), `/v1/cancel`
/// and `/v1/orders`; `GET` on `/v1/load` and `/v1/weights`, and on `/v1/counts` for tests.
///
/// The text depends only on the configured seed, the prompt and the request's `seed`, so a
/// repeated request yields the same text. The report names the version that generated each
/// token. Requests with a lower `priority` value are scheduled first.
pub struct Engine {
    server: StandinServer,
    shared: Arc<Shared>,
}

struct Shared {
    config: Config,
    slots: Slots,
    weights: Mutex<weights::ModelWeights>,
    generations: Mutex<HashMap<String, u64>>,
    token_budget: TokenBudget,
}

/// Limits the tokens of all requests so that tests can halt generation at an exact token.
#[derive(Default)]
struct TokenBudget {
    /// The tokens that may still be generated; `None` for no limit.
    remaining: Mutex<Option<u64>>,
    changed: Condvar,
}

#[derive(Deserialize)]
struct Cancel {
    request_id: String,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// [`Category::Io`](crate::Category::Io) if the server can't be started.
    pub fn start(listener: TcpListener, config: Config) -> Result<Self> {
        let shared = Arc::new(Shared {
            slots: Slots::new(config.slots, config.queue_capacity),
            weights: Mutex::new(weights::ModelWeights::new(&config)),
            generations: Mutex::default(),
            token_budget: TokenBudget::default(),
            config,
        });
        let server = StandinServer::start(listener, shared.clone())?;
        Ok(Self { server, shared })
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Sets the version of a model immediately, without an order; `None` removes its weights.
    pub fn set_version(&self, model: &id::Model, version: Option<id::Version>) {
        self.shared.weights().set_version(model, version);
    }

    /// Returns the weights of all models.
    pub fn weights(&self) -> Vec<Weights> {
        self.shared.weights().list()
    }

    /// Returns the number of executed orders.
    pub fn order_count(&self) -> u64 {
        self.shared.weights().executed_orders()
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        self.shared.slots.load(Duration::ZERO)
    }

    /// Returns how often generation was started for a request id.
    pub fn generations(&self, request: &str) -> u64 {
        let counts = self.shared.generations();
        counts.get(request).copied().unwrap_or_default()
    }

    /// Returns the total number of generations started.
    pub fn total_generations(&self) -> u64 {
        self.shared.generations().values().sum()
    }

    /// Lets all requests together generate `tokens` further tokens and then pauses them.
    ///
    /// `None` removes the limit and is the initial setting.
    pub fn set_token_budget(&self, tokens: Option<u64>) {
        self.shared.token_budget.set(tokens);
    }
}

impl TokenBudget {
    fn set(&self, tokens: Option<u64>) {
        *self
            .remaining
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = tokens;
        self.changed.notify_all();
    }

    /// Waits until a token may be generated; returns `false` if `should_stop` returns `true` first.
    fn take(&self, should_stop: &dyn Fn() -> bool) -> bool {
        let mut remaining = self
            .remaining
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        loop {
            if should_stop() {
                return false;
            }
            match &mut *remaining {
                None => return true,
                Some(0) => {
                    let waited = self.changed.wait_timeout(remaining, slots::POLL_INTERVAL);
                    remaining = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
                Some(tokens) => {
                    *tokens -= 1;
                    return true;
                }
            }
        }
    }
}

impl Shared {
    fn weights(&self) -> MutexGuard<'_, weights::ModelWeights> {
        let mut weights = self.weights.lock().unwrap_or_else(PoisonError::into_inner);
        weights.complete_due_swaps();
        weights
    }

    fn generations(&self) -> MutexGuard<'_, HashMap<String, u64>> {
        let counts = self.generations.lock();
        counts.unwrap_or_else(PoisonError::into_inner)
    }

    fn count_generation(&self, request: &str) {
        let mut counts = self.generations();
        if counts.len() < MAX_COUNTED_REQUESTS {
            *counts.entry(request.to_owned()).or_default() += 1;
        }
    }

    fn cancel(&self, request: &Request) -> Response {
        match parse::<Cancel>(request) {
            Ok(cancel) if self.slots.cancel(&cancel.request_id) => Response::json(200, &json!({})),
            Ok(_) => error_response(404, "not_found", "no queued or running request has this id"),
            Err(response) => response,
        }
    }
}

impl Backend for Shared {
    fn execute(&self, request: &Request, plan: &FaultPlan) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/cancel") => self.cancel(request),
            ("POST", "/v1/orders") => match parse(request) {
                Ok(order) => self.weights().handle_order(&order, plan.fail_swap),
                Err(response) => response,
            },
            ("GET", "/v1/load") => {
                let lag = plan.lag.unwrap_or(self.config.load_report_lag);
                Response::json(200, &self.slots.load(lag))
            }
            ("GET", "/v1/counts") => {
                let generations: u64 = self.generations().values().sum();
                Response::json(200, &json!({ "generations": generations }))
            }
            ("GET", "/v1/weights") => {
                Response::json(200, &json!({ "weights": self.weights().list() }))
            }
            _ => endpoint_not_found(),
        }
    }

    fn respond(&self, request: &Request, plan: &FaultPlan, responder: Responder) {
        let chat = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/completions") => false,
            ("POST", "/v1/chat/completions") => true,
            _ => {
                let response = self.execute(request, plan);
                return match plan.lose_reply {
                    true => responder.abort(),
                    false => responder.send(response),
                };
            }
        };
        let job = job::Job::new(request, chat, &self.weights());
        match job {
            Ok(job) => completion::serve(self, &job, plan, responder),
            Err(response) => responder.send(response),
        }
    }
}
