//! Brings the replicas of a service to new weight versions.

use crate::clock;
use crate::dialect::{Order, Report};
use crate::storage::{self, SHARED};
use crate::tools::Tools;
use bytes::Bytes;
use dogwoodlb_batch::Planner;
use dogwoodlb_config::Engine;
use dogwoodlb_directory::Entry;
use dogwoodlb_external::store::{Outcome, Txn};
use dogwoodlb_types::Instant;
use dogwoodlb_weights::{plan, share, Candidate, Choice, Claim, Holding, Homes, Wish, WINDOW};
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
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
/// One in this many replicas may change weights at a time, but two in any case.
const AT_ONCE_SHARE: usize = 5;
const AT_ONCE: usize = 2;
const REPORT_BYTES: usize = 256 * 1024;

/// What the leader knows of the weights on the replicas of its service.
#[derive(Default)]
pub(crate) struct Loads {
    /// Versions that replicas reported or that answers showed, by replica and model.
    observed: RefCell<BTreeMap<(String, String), u64>>,
    /// The replicas and models with an order under way.
    closed: RefCell<BTreeSet<(String, String)>>,
    /// The loads of each model's newest version.
    counts: RefCell<BTreeMap<String, (u64, usize)>>,
    /// Which replica is kept fresh for which model.
    homes: RefCell<Homes>,
    /// When a replica is tried again.
    not_before: RefCell<BTreeMap<String, Instant>>,
}

/// Why no order was carried out.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("the replica does not report: {0}")]
    Report(dogwoodlb_client::Error),
    #[error("{0}")]
    Malformed(#[from] crate::dialect::Malformed),
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

impl Loads {
    /// Returns the version of a model on a replica.
    pub(crate) fn version(&self, replica: &str, model: &str, entry: Option<u64>) -> Option<u64> {
        let key = (replica.to_owned(), model.to_owned());
        let observed = self.observed.borrow().get(&key).copied();
        observed.max(entry)
    }

    /// Returns the models of a replica that take no new runs.
    pub(crate) fn closed(&self, replica: &str) -> Vec<String> {
        let closed = self.closed.borrow();
        let here = closed.iter().filter(|(name, _)| name == replica);
        here.map(|(_, model)| model.clone()).collect()
    }

    /// Notes the version that an answer showed.
    pub(crate) fn observe(&self, replica: &str, model: &str, version: u64) {
        let key = (replica.to_owned(), model.to_owned());
        self.observed.borrow_mut().insert(key, version);
    }

    /// Starts the loads that are due.
    pub(crate) fn advance(
        self: &Rc<Self>,
        tools: &Rc<Tools>,
        planner: &RefCell<Planner>,
        service: &str,
        engine: &Engine,
        single_version: bool,
    ) {
        let replicas = self.replicas(tools, planner, service);
        self.assign(tools, engine, &replicas);
        let choices: Vec<Vec<Choice>> = engine
            .models
            .iter()
            .enumerate()
            .map(|(index, model)| {
                let newest = tools.known.version(model);
                newest.map_or_else(Vec::new, |newest| {
                    let wish = self.wish(planner, model, newest, replicas.len(), engine);
                    plan(&self.holdings(&replicas, index, model, newest), &wish)
                })
            })
            .collect();
        let at_once = (replicas.len() / AT_ONCE_SHARE).max(AT_ONCE);
        let busy = replicas.iter().filter(|replica| replica.busy).count();
        for (index, replica) in share(&choices, at_once.saturating_sub(busy)) {
            let model = &engine.models[index];
            let known = replicas.iter().find(|known| known.name == replica);
            let (Some(known), Some(version)) = (known, tools.known.version(model)) else {
                continue;
            };
            if let Some(count) = self.counts.borrow_mut().get_mut(model) {
                count.1 += 1;
            }
            let key = (replica.clone(), model.clone());
            self.closed.borrow_mut().insert(key);
            let load = Load {
                loads: self.clone(),
                tools: tools.clone(),
                address: known.entry.address,
                replica,
                model: model.clone(),
                version,
                finish_runs: single_version,
            };
            tokio::task::spawn_local(load.run());
        }
    }

    /// Gives the replicas their home models.
    fn assign(&self, tools: &Tools, engine: &Engine, replicas: &[Known]) {
        let lag = |replica: &Known, model: &String| {
            let version = self.version(&replica.name, model, replica.entry.version(model));
            let newest = tools.known.version(model).unwrap_or(0);
            version.map_or(u64::MAX, |version| newest.saturating_sub(version))
        };
        let candidates: Vec<Candidate> = replicas
            .iter()
            .map(|replica| Candidate {
                replica: replica.name.clone(),
                lags: engine
                    .models
                    .iter()
                    .map(|model| lag(replica, model))
                    .collect(),
            })
            .collect();
        let shares = vec![1.0; engine.models.len()];
        self.homes.borrow_mut().assign(&candidates, &shares);
    }

    fn wish(
        &self,
        planner: &RefCell<Planner>,
        model: &str,
        newest: u64,
        replicas: usize,
        engine: &Engine,
    ) -> Wish {
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(model.to_owned()).or_insert((newest, 0));
        if count.0 != newest {
            *count = (newest, 0);
        }
        Wish {
            newest,
            min_version: planner.borrow().min_version(model).unwrap_or(0),
            waiting: planner.borrow().has_waiting(model),
            free_loads: replicas / engine.models.len().max(1),
            loads: count.1,
        }
    }

    fn replicas(&self, tools: &Tools, planner: &RefCell<Planner>, service: &str) -> Vec<Known> {
        let now = clock::now();
        let directory = tools.known.directory();
        let not_before = self.not_before.borrow();
        let known = |(name, entry): (&str, &Entry)| Known {
            name: name.to_owned(),
            entry: entry.clone(),
            busy: !self.closed(name).is_empty(),
            paused: not_before.get(name).is_some_and(|at| now < *at),
            running: planner.borrow().running(name, None),
        };
        directory.usable(service).map(known).collect()
    }

    /// Returns what the replicas at home with a model hold of it.
    fn holdings(&self, replicas: &[Known], index: usize, model: &str, newest: u64) -> Vec<Holding> {
        let homes = self.homes.borrow();
        let home = replicas.iter();
        let home = home.filter(|replica| homes.home(&replica.name) == Some(index));
        let holding = |replica: &Known| {
            let version = self.version(&replica.name, model, replica.entry.version(model));
            Some(Holding {
                replica: replica.name.clone(),
                version: version?,
                // A replica that only loads for another model is still to load for this one.
                busy: replica.busy || (replica.paused && version? < newest),
                running: replica.running,
            })
        };
        home.filter_map(holding).collect()
    }
}

/// A replica as the loads see it.
struct Known {
    name: String,
    entry: Entry,
    /// Whether an order to it is under way.
    busy: bool,
    /// Whether an order failed lately.
    paused: bool,
    running: usize,
}

/// One change of weights on one replica.
struct Load {
    loads: Rc<Loads>,
    tools: Rc<Tools>,
    replica: String,
    address: SocketAddr,
    model: String,
    version: u64,
    finish_runs: bool,
}

impl Load {
    async fn run(self) {
        let outcome = self.load().await;
        let label = match &outcome {
            Ok(()) => "loaded",
            Err(_) => "failed",
        };
        self.tools.metrics.orders.with_label_values(&[label]).inc();
        match outcome {
            Ok(()) => {
                self.loads.observe(&self.replica, &self.model, self.version);
                self.log("loaded", "");
            }
            Err(error) => {
                let wait = match &error {
                    Error::Claimed(wait) => *wait,
                    _ => RETRY,
                };
                let until = clock::now() + wait;
                self.loads
                    .not_before
                    .borrow_mut()
                    .insert(self.replica.clone(), until);
                self.log("failed", &error.to_string());
            }
        }
        let key = (self.replica.clone(), self.model.clone());
        self.loads.closed.borrow_mut().remove(&key);
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
        if clock::now().saturating_since(sent) >= WINDOW {
            return Err(Error::TooLate);
        }
        let answered = match self.order(fence, report.orders).await {
            Ok(StatusCode::ACCEPTED | StatusCode::OK) => true,
            Ok(status) => return Err(Error::Refused(status)),
            Err(error) if error.is_unsent() => return Err(Error::Report(error)),
            // The order may have been accepted, or may be carried out later.
            Err(_) => false,
        };
        self.wait(report.orders, answered).await
    }

    fn holds(&self, report: &Report) -> bool {
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
                seen |= report.busy || report.orders > orders;
                let is_over = !report.busy && report.orders > orders && waited > LOAD_TIMEOUT;
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
        let instance = self.tools.dialect.headers().instance.clone();
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

    async fn report(&self) -> Result<Report, Error> {
        let path = self.tools.dialect.report_path();
        let request = self.request(Method::GET, path, Bytes::new());
        let client = &self.tools.client;
        let call = client.call(self.address, request, CALL_TIMEOUT, REPORT_BYTES);
        let answer = call.await.map_err(Error::Report)?;
        if answer.status() != StatusCode::OK {
            return Err(Error::Refused(answer.status()));
        }
        Ok(self.tools.dialect.report(answer.body())?)
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
                .free_for(node, earliest, lease)
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
        let order = Order {
            model: &self.model,
            version: self.version,
            finish_runs: self.finish_runs,
            holder: &self.tools.settings.node,
            fence,
            expected_orders: orders,
        };
        let (path, body) = self.tools.dialect.order(&order);
        let request = self.request(Method::POST, path, body);
        let client = &self.tools.client;
        let call = client.call(self.address, request, CALL_TIMEOUT, REPORT_BYTES);
        Ok(call.await?.status())
    }
}
