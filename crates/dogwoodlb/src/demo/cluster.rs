use crate::error::{Error, Inner};
use crate::run::platform;
use dogwoodlb_external::vms::{State, Vm};
use dogwoodlb_manifest::settings::Settings;
use dogwoodlb_node::Node;
use dogwoodlb_standin::{bind_loopback, engine, free_address, objects, service, table, vms};
use dogwoodlb_types::id;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const HTTP_TIMEOUT: Duration = Duration::from_secs(15);
const WAIT: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(20);

/// The two nodes and the stand-ins of one demo.
pub(super) struct Cluster {
    _table: table::Table,
    pub(super) objects: objects::Objects,
    pub(super) engines: Vec<engine::Engine>,
    pub(super) stock: service::Service,
    _vms: vms::Vms,
    scorer: service::Service,
    settings: Vec<Settings>,
    nodes: Mutex<Vec<Node>>,
    pub(super) agent: ureq::Agent,
}

impl Cluster {
    /// Starts all parts; the nodes wait for their first manifest.
    pub(super) fn start(seed: u64) -> Result<Self, Error> {
        let listen = || bind_loopback().map_err(Error::from);
        let table = table::Table::start(listen()?)?;
        let objects = objects::Objects::start(listen()?)?;
        let vms = vms::Vms::start(listen()?, &listed()?)?;
        let mut engines = Vec::new();
        for number in 0..2 {
            engines.push(engine::Engine::start(
                listen()?,
                engine_config(seed + number)?,
            )?);
        }
        let platform_at = (table.address(), objects.address(), vms.address());
        let mut settings = Vec::new();
        let mut nodes = Vec::new();
        for (number, (region, centre)) in
            (1..).zip([("auckland", "akl-a"), ("christchurch", "chc-a")])
        {
            let one = node_settings(number, (region, centre), platform_at)?;
            nodes.push(Node::start(one.clone(), platform(&one), seed + number)?);
            settings.push(one);
        }
        Ok(Self {
            _table: table,
            objects,
            engines,
            stock: service::Service::start(listen()?)?,
            _vms: vms,
            scorer: service::Service::start(listen()?)?,
            settings,
            nodes: Mutex::new(nodes),
            agent: agent(),
        })
    }

    /// Returns where callers reach the nodes.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.settings.iter().map(|one| one.address).collect()
    }

    /// Commits the manifest; the second version adds a quiet hour and a caller.
    pub(super) fn commit(&self, base: u64, extended: bool) -> Result<(), Error> {
        let text = self.manifest(extended).to_string();
        let body = json!({ "base": base, "operator": "demo", "text": text });
        let url = format!("http://{}/v1/manifest", self.settings[0].address);
        let answer = self.agent.post(&url).send_json(&body);
        let mut answer = answer.map_err(|error| Inner::Manifest(error.to_string()))?;
        if answer.status() != 200 {
            let text = answer.body_mut().read_to_string().unwrap_or_default();
            return Err(Inner::Manifest(text).into());
        }
        Ok(())
    }

    /// Waits until all nodes hold a revision; a node that never does shows in the report.
    pub(super) fn wait_in_force(&self, revision: u64) {
        let end = Instant::now() + WAIT;
        while Instant::now() < end {
            let held = self
                .addresses()
                .into_iter()
                .all(|one| self.revision(one) == Some(revision));
            if held {
                return;
            }
            thread::sleep(POLL);
        }
    }

    fn revision(&self, address: SocketAddr) -> Option<u64> {
        let url = format!("http://{address}/v1/status");
        let mut answer = self.agent.get(&url).call().ok()?;
        let status: Value = answer.body_mut().read_json().ok()?;
        let sole = status["authority"] == "sole";
        status["revision"].as_u64().filter(|_| sole)
    }

    /// Drains all nodes and returns how many requests were interrupted.
    pub(super) fn drain(&self) -> usize {
        let nodes = std::mem::take(
            &mut *self
                .nodes
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner),
        );
        let drained = nodes.into_iter().map(|node| {
            thread::spawn(move || {
                node.drain();
                node.join()
            })
        });
        let drained: Vec<_> = drained.collect();
        drained
            .into_iter()
            .map(|one| one.join().unwrap_or(usize::MAX))
            .sum()
    }

    fn manifest(&self, extended: bool) -> Value {
        let entries = self.settings.iter().map(|one| {
            json!({ "vm": one.vm, "region": one.region, "centre": one.centre,
                "address": one.address, "peer": one.peer })
        });
        let places = [("auckland", "akl-a"), ("christchurch", "chc-a")];
        let engines = (1..)
            .zip(&self.engines)
            .zip(places)
            .map(|((number, engine), place)| {
                json!({ "upstream": format!("engine-{number}"), "vm": format!("gpu-{number}"),
                "region": place.0, "centre": place.1, "address": engine.address(),
                "models": ["advisor"], "checks_fencing": number == 1 })
            });
        let replica = |name: &str, address: SocketAddr| {
            json!({ "upstream": name, "vm": name, "region": "auckland", "centre": "akl-a",
                "address": address })
        };
        let mut callers = vec![json!({ "caller": "configurator", "class": "customer",
            "models": ["advisor"], "services": ["stock"] })];
        if extended {
            callers.push(json!({ "caller": "nightly", "class": "background",
                "models": ["advisor"], "services": [] }));
        }
        json!({
            "entry_vms": entries.collect::<Vec<_>>(),
            "models": [{ "model": "advisor", "version": 1, "object": "weights/advisor/1" }],
            "trainers": [{ "trainer": "layout", "model": "advisor",
                "staleness_bound": super::STALENESS_BOUND, "group_size": super::GROUP_SIZE,
                "step_samples": super::GROUPS * super::GROUP_SIZE, "idle_weight": 0.5,
                "scorer": "judge" }],
            "callers": callers,
            "engines": engines.collect::<Vec<_>>(),
            "services": [
                { "service": "judge", "non_idempotent": [],
                  "replicas": [replica("judge-1", self.scorer.address())] },
                { "service": "stock",
                  "non_idempotent": [{ "method": "POST", "path": "/orders" }],
                  "replicas": [replica("stock-1", self.stock.address())] },
            ],
        })
    }
}

fn listed() -> Result<Vec<Vm>, Error> {
    let names = ["entry-1", "entry-2", "gpu-1", "gpu-2", "judge-1", "stock-1"];
    let vms = names.into_iter().map(|name| {
        Ok(Vm {
            name: name.parse()?,
            state: State::Live,
        })
    });
    vms.collect()
}

fn engine_config(seed: u64) -> Result<engine::Config, Error> {
    Ok(engine::Config {
        models: vec![("advisor".parse()?, id::Version(1))],
        seed,
        tokens_per_second: 150.0,
        min_tokens: 8,
        swap_duration: Duration::from_millis(200),
        checks_fencing: seed % 2 == 1,
        load_report_lag: Duration::from_millis(500),
        ..engine::Config::default()
    })
}

fn node_settings(
    number: u64,
    (region, centre): (&str, &str),
    (table, objects, vms): (SocketAddr, SocketAddr, SocketAddr),
) -> Result<Settings, Error> {
    Ok(Settings {
        vm: format!("entry-{number}").parse()?,
        region: region.parse()?,
        centre: centre.parse()?,
        address: free_address(),
        peer: free_address(),
        table,
        objects,
        vms,
        statsd: None,
        log: None,
    })
}

/// Returns a client that takes any status as an answer.
pub(super) fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(HTTP_TIMEOUT));
    config.build().new_agent()
}
