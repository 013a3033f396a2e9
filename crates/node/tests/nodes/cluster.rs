//! A node with one engine, stand-ins of the platform and a trainer.

use dogwoodlb_adapter as adapter;
use dogwoodlb_external::engine::{CompletionRequest, Load, Order, Report, Weights};
use dogwoodlb_external::service;
use dogwoodlb_external::table::{Outcome, Row, Txn};
use dogwoodlb_external::{Category, Cause, Engine, Error, Result, Service, Table};
use dogwoodlb_manifest::settings::Settings;
use dogwoodlb_node::{Node, Platform, SystemClock};
use dogwoodlb_standin::{bind_loopback, free_address, objects, table, vms};
use dogwoodlb_types::Clock;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The number of samples in a step.
pub(crate) const SAMPLES: u32 = 64;
const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longer than it takes an owner to notice that its trainer is gone.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(500);

/// An upstream that responds once it is released: as an engine with a refusal, as a scorer with a
/// score.
#[derive(Default)]
pub(crate) struct Blocking {
    /// The ids of the requests received.
    requests: Mutex<Vec<String>>,
    released: AtomicBool,
}

impl Blocking {
    pub(crate) fn count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    fn receive(&self, id: &str) {
        self.requests.lock().unwrap().push(id.to_owned());
        while !self.released.load(Ordering::SeqCst) {
            thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Service for Blocking {
    fn call(&self, call: &service::Call<'_>) -> Result<service::Reply> {
        self.receive(call.request_id);
        Ok(service::Reply {
            status: 200,
            content_type: None,
            body: br#"{"score":1.0}"#.to_vec(),
        })
    }
}

/// An engine that blocks, or that completes each call at once without text.
enum TestEngine {
    Blocking(Arc<Blocking>),
    Completing,
}

impl Engine for TestEngine {
    fn generate(
        &self,
        call: &CompletionRequest<'_>,
        _on_event: &mut dyn FnMut(&str) -> ControlFlow<()>,
    ) -> Result<Report> {
        match self {
            Self::Blocking(engine) => {
                engine.receive(call.request_id);
                Err(Error::new(Category::Refused, "engine", Cause::Status(503)))
            }
            Self::Completing => Ok(Report {
                request_id: call.request_id.to_owned(),
                spans: Vec::new(),
                tokens: 0,
                queue: 0,
            }),
        }
    }

    fn cancel(&self, _address: SocketAddr, _request: &str, _timeout: Duration) -> Result<()> {
        Ok(())
    }

    fn read_load(&self, _address: SocketAddr, _timeout: Duration) -> Result<Load> {
        Ok(Load::default())
    }

    fn read_weights(&self, _address: SocketAddr, _timeout: Duration) -> Result<Vec<Weights>> {
        Ok(Vec::new())
    }

    fn send_order(&self, _address: SocketAddr, _order: &Order, _timeout: Duration) -> Result<()> {
        Ok(())
    }
}

pub(crate) fn call(address: SocketAddr, method: &str, path: &str, body: &Value) -> service::Reply {
    let body = body.to_string();
    let call = service::Call {
        address,
        method,
        path,
        request_id: "one",
        content_type: Some("application/json"),
        body: body.as_bytes(),
        timeout: TIMEOUT,
    };
    adapter::ServiceClient::new().call(&call).unwrap()
}

/// Repeats a call until its status is as expected, and returns the response.
pub(crate) fn call_until(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &Value,
    status: u16,
) -> Value {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let reply = call(address, method, path, body);
        if reply.status == status {
            return serde_json::from_slice(&reply.body).unwrap();
        }
        assert!(Instant::now() < deadline, "{method} {path}: {reply:?}");
        thread::sleep(POLL_INTERVAL);
    }
}

pub(crate) fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

fn manifest(settings: &Settings, [engine, scorer]: [SocketAddr; 2], trainers: &Value) -> String {
    json!({
        "entry_vms": [{"vm": settings.vm, "region": settings.region, "centre": settings.centre,
            "address": settings.address, "peer": settings.peer}],
        "models": [{"model": "scorer", "version": 1, "object": "weights/1"}],
        "trainers": trainers,
        "callers": [{"caller": "quotes", "class": "customer", "models": ["scorer"],
            "services": []}],
        "engines": [{"upstream": "engine-1", "vm": "gpu-1", "region": settings.region,
            "centre": settings.centre, "address": engine, "models": ["scorer"],
            "checks_fencing": true}],
        "services": [{"service": "judge", "replicas": [{"upstream": "judge-1", "vm": "cpu-1",
            "region": settings.region, "centre": settings.centre, "address": scorer}]}],
    })
    .to_string()
}

pub(crate) fn commit(address: SocketAddr, base: u64, text: &str) {
    let body = json!({"base": base, "operator": "ana", "text": text});
    call_until(address, "POST", "/v1/manifest", &body, 200);
}

/// A table service whose calls about the leases of trainers can be slow.
pub(crate) struct LeaseTable {
    inner: adapter::TableClient,
    /// Whether such calls take [`SLOW_CALL`].
    pub(crate) is_slow: AtomicBool,
    /// Whether such a call is in progress.
    pub(crate) is_waiting: AtomicBool,
}

/// Longer than it takes to commit and adopt two manifests, and shorter than a lease.
pub(crate) const SLOW_CALL: Duration = Duration::from_secs(3);
const LEASE_PREFIX: &str = "lease/trainer/";

impl LeaseTable {
    fn delay(&self, key: &str) {
        if key.starts_with(LEASE_PREFIX) && self.is_slow.load(Ordering::SeqCst) {
            self.is_waiting.store(true, Ordering::SeqCst);
            thread::sleep(SLOW_CALL);
        }
    }
}

impl Table for LeaseTable {
    fn read(&self, key: &str, timeout: Duration) -> Result<Option<Row>> {
        self.delay(key);
        self.inner.read(key, timeout)
    }

    fn scan(&self, prefix: &str, timeout: Duration) -> Result<Vec<Row>> {
        self.delay(prefix);
        self.inner.scan(prefix, timeout)
    }

    fn commit(&self, txn: &Txn, timeout: Duration) -> Result<Outcome> {
        let first = txn.puts.first().map(|put| put.key.as_str());
        self.delay(first.unwrap_or_default());
        self.inner.commit(txn, timeout)
    }
}

pub(crate) struct Cluster {
    pub(crate) node: Node,
    /// The upstream that blocks: the engine, or the scorer of the trainer.
    pub(crate) upstream: Arc<Blocking>,
    pub(crate) leases: Arc<LeaseTable>,
    pub(crate) address: SocketAddr,
    /// The manifests with and without a trainer.
    pub(crate) manifests: [String; 2],
    _table: table::Table,
    _objects: objects::Objects,
    _vms: vms::Vms,
}

impl Cluster {
    /// Starts a node with one engine and a trainer, which has a scorer if `is_scored`.
    pub(crate) fn start(is_scored: bool) -> Self {
        Self::start_with(is_scored, Arc::new(SystemClock::new()))
    }

    /// Starts a node as [`Cluster::start`] does, with a clock.
    pub(crate) fn start_with(is_scored: bool, clock: Arc<dyn Clock>) -> Self {
        let table = table::Table::start(bind_loopback().unwrap()).unwrap();
        let objects = objects::Objects::start(bind_loopback().unwrap()).unwrap();
        let vms = vms::Vms::start(bind_loopback().unwrap(), &[]).unwrap();
        let settings = Settings {
            vm: "entry-1".parse().unwrap(),
            region: "ljubljana".parse().unwrap(),
            centre: "lj-a".parse().unwrap(),
            address: free_address(),
            peer: free_address(),
            table: table.address(),
            objects: objects.address(),
            vms: vms.address(),
            statsd: None,
            log: None,
        };
        let upstream = Arc::new(Blocking::default());
        let engine = match is_scored {
            true => TestEngine::Completing,
            false => TestEngine::Blocking(upstream.clone()),
        };
        let leases = Arc::new(LeaseTable {
            inner: adapter::TableClient::new(settings.table),
            is_slow: AtomicBool::new(false),
            is_waiting: AtomicBool::new(false),
        });
        let platform = Platform {
            clock,
            engine: Arc::new(engine),
            objects: Arc::new(adapter::ObjectStoreClient::new(settings.objects)),
            service: upstream.clone(),
            table: leases.clone(),
            vms: Arc::new(adapter::VmListClient::new(settings.vms)),
        };
        let address = settings.address;
        let upstreams = [free_address(), free_address()];
        let mut trainers = json!([{"trainer": "weld", "model": "scorer", "staleness_bound": 1,
            "group_size": SAMPLES, "step_samples": SAMPLES, "idle_weight": 0.5}]);
        if is_scored {
            trainers[0]["scorer"] = json!("judge");
        }
        let manifests =
            [trainers, json!([])].map(|trainers| manifest(&settings, upstreams, &trainers));
        let node = Node::start(settings, platform, 1).unwrap();
        commit(address, 0, &manifests[0]);
        Self {
            node,
            upstream,
            leases,
            address,
            manifests,
            _table: table,
            _objects: objects,
            _vms: vms,
        }
    }

    /// Waits until the upstream has received as many requests as it takes.
    pub(crate) fn wait_until_full(&self) {
        wait_for("the first requests", || self.upstream.count() > 0);
        thread::sleep(SETTLE_TIME);
    }

    /// Lets the upstream respond, and waits until others could have been sent.
    pub(crate) fn release(&self) {
        self.upstream.released.store(true, Ordering::SeqCst);
        thread::sleep(SETTLE_TIME * 2);
    }
}
