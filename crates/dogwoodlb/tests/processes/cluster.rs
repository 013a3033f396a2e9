//! Nodes and stand-ins, each in a process of its own.

use crate::process::{binary, standin, wait_for, Exit, Process};
use dogwoodlb_standin::free_address;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const HTTP_TIMEOUT: Duration = Duration::from_secs(30);
pub(crate) const REGIONS: [(&str, &str); 2] = [("ljubljana", "lj-a"), ("maribor", "mb-a")];

/// One node.
pub(crate) struct Node {
    pub(crate) vm: String,
    pub(crate) address: SocketAddr,
    pub(crate) process: Option<Process>,
    peer: SocketAddr,
    settings: PathBuf,
}

/// All parts of one test.
pub(crate) struct Cluster {
    pub(crate) nodes: Vec<Node>,
    pub(crate) table: SocketAddr,
    pub(crate) vms: SocketAddr,
    pub(crate) engines: Vec<SocketAddr>,
    pub(crate) stock: SocketAddr,
    scorer: SocketAddr,
    agent: ureq::Agent,
    directory: PathBuf,
    _standins: Vec<Process>,
}

/// An answer: the status and the body.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) text: String,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }
}

impl Cluster {
    /// Starts `count` nodes, alternately in the two regions, and commits the first manifest.
    pub(crate) fn start(test: &str, count: usize) -> Self {
        let mut standins = Vec::new();
        let mut serve = |args: &[&str]| {
            let args: Vec<String> = args.iter().map(|one| one.to_string()).collect();
            let (process, address) = Process::server(standin(), &args);
            standins.push(process);
            address
        };
        let table = serve(&["table"]);
        let objects = serve(&["objects"]);
        let vms = serve(&["vms", "--vm", "entry-1", "--vm", "entry-2"]);
        let engine = [
            "engine",
            "--model",
            "scorer=1",
            "--tokens-per-second",
            "100",
        ];
        let engines = vec![
            serve(&[&engine[..], &["--seed", "1", "--swap-ms", "100"]].concat()),
            serve(
                &[
                    &engine[..],
                    &["--seed", "2", "--swap-ms", "100", "--ignore-fencing"],
                ]
                .concat(),
            ),
        ];
        let (stock, scorer) = (serve(&["service"]), serve(&["service"]));
        let directory = format!("dogwoodlb-{test}-{}", std::process::id());
        let directory = std::env::temp_dir().join(directory);
        std::fs::create_dir_all(&directory).unwrap();
        let nodes = (0..count).map(|number| {
            let (region, centre) = REGIONS[number % 2];
            let vm = format!("entry-{}", number + 1);
            let (address, peer) = (free_address(), free_address());
            let settings = directory.join(format!("{vm}.json"));
            let text = json!({ "vm": vm, "region": region, "centre": centre, "address": address,
                "peer": peer, "table": table, "objects": objects, "vms": vms, "log": "warn" });
            std::fs::write(&settings, text.to_string()).unwrap();
            Node {
                vm,
                address,
                process: None,
                peer,
                settings,
            }
        });
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(HTTP_TIMEOUT));
        let mut cluster = Self {
            nodes: nodes.collect(),
            table,
            vms,
            engines,
            stock,
            scorer,
            agent: config.build().new_agent(),
            directory,
            _standins: standins,
        };
        for number in 0..count {
            cluster.start_node(number);
        }
        cluster.commit(0);
        cluster.wait_in_force(1);
        cluster
    }

    pub(crate) fn start_node(&mut self, number: usize) {
        let settings = self.nodes[number].settings.display().to_string();
        let args = ["run".to_owned(), "--settings".to_owned(), settings];
        let (process, _) = Process::server(binary("dogwoodlb"), &args);
        self.nodes[number].process = Some(process);
    }

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.address).collect()
    }

    pub(crate) fn call(
        &self,
        address: SocketAddr,
        (method, path): (&str, &str),
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Answer> {
        let mut request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let mut answer = self.agent.run(request.body(body).unwrap()).ok()?;
        let status = answer.status().as_u16();
        let text = answer.body_mut().read_to_string().ok()?;
        Some(Answer { status, text })
    }

    pub(crate) fn get(&self, address: SocketAddr, path: &str) -> Option<Value> {
        let answer = self.call(address, ("GET", path), &[], "")?;
        (answer.status == 200).then(|| answer.json())
    }

    /// Orders a fault of a stand-in.
    pub(crate) fn order(&self, standin: SocketAddr, fault: &Value) {
        let answer = self.call(standin, ("POST", "/faults"), &[], &fault.to_string());
        assert_eq!(answer.map(|answer| answer.status), Some(200));
    }

    pub(crate) fn clear_faults(&self, standin: SocketAddr) {
        let answer = self.call(standin, ("DELETE", "/faults"), &[], "");
        assert_eq!(answer.map(|answer| answer.status), Some(200));
    }

    /// Commits the manifest with `dogwoodctl`, which waits until it is in force everywhere.
    pub(crate) fn commit(&self, base: u64) {
        let file = self.write_manifest("first").display().to_string();
        let base = base.to_string();
        let exit = self.ctl(&[
            "commit",
            &file,
            "--base",
            &base,
            "--operator",
            "test",
            "--wait-ms",
            "60000",
        ]);
        assert!(exit.status.success(), "{exit}");
    }

    /// Writes the manifest to a file.
    pub(crate) fn write_manifest(&self, name: &str) -> PathBuf {
        let file = self.directory.join(format!("manifest-{name}.json"));
        std::fs::write(&file, self.manifest().to_string()).unwrap();
        file
    }

    /// Runs `dogwoodctl` to its end.
    pub(crate) fn ctl(&self, args: &[&str]) -> Exit {
        let mut all = Vec::new();
        for address in self.addresses() {
            all.extend(["--node".to_owned(), address.to_string()]);
        }
        all.extend(args.iter().map(|one| one.to_string()));
        Process::start(binary("dogwoodctl"), &all).wait()
    }

    pub(crate) fn wait_in_force(&self, revision: u64) {
        for address in self.addresses() {
            wait_for("manifest in force", || {
                let status = self.get(address, "/v1/status")?;
                let held = status["revision"] == revision && status["authority"] == "sole";
                held.then_some(())
            });
        }
    }

    /// Returns the number of the node that holds a lease.
    pub(crate) fn holder(&self, lease: &str) -> Option<usize> {
        self.nodes.iter().position(|node| {
            node.process.is_some()
                && self.get(node.address, "/v1/status").is_some_and(|status| {
                    let leases = status["leases"].as_array().cloned().unwrap_or_default();
                    leases.iter().any(|one| one["lease"] == lease)
                })
        })
    }

    /// Waits until a sample of a step of the trainer is in the table, or was until the step was
    /// acknowledged.
    pub(crate) fn wait_accepted(&self, step: u64) {
        let path = format!("/rows?prefix=trainer%2Fweld%2Fstep%2F{step}%2Fbatch");
        wait_for("an accepted sample", || {
            let rows = self.get(self.table, &path)?;
            let is_stored = !rows["rows"].as_array()?.is_empty();
            (is_stored || self.acknowledged() >= Some(step)).then_some(())
        });
    }

    /// Waits until a step was delivered to the trainer.
    pub(crate) fn wait_delivered(&self) {
        wait_for("a delivered step", || {
            let delivery = self.trainer_head()?["delivery"].as_u64()?;
            (delivery >= 1).then_some(())
        });
    }

    /// Returns the last step that the trainer acknowledged.
    fn acknowledged(&self) -> Option<u64> {
        self.trainer_head()?["acknowledged"]["step"].as_u64()
    }

    /// Returns the row of the trainer's progress.
    fn trainer_head(&self) -> Option<Value> {
        let rows = self.get(self.table, "/rows?key=trainer%2Fweld%2Fhead")?;
        serde_json::from_str(rows["rows"][0]["value"].as_str()?).ok()
    }

    /// Starts a trainer in a process of its own.
    pub(crate) fn trainer(&self, steps: u32, train_ms: u32) -> Process {
        let mut args = vec![
            "trainer".to_owned(),
            "--trainer".to_owned(),
            "weld".to_owned(),
        ];
        for address in self.addresses() {
            args.extend(["--address".to_owned(), address.to_string()]);
        }
        let options = [
            ("--steps", steps),
            ("--publish-every", 1),
            ("--train-ms", train_ms),
        ];
        for (option, value) in options {
            args.extend([option.to_owned(), value.to_string()]);
        }
        Process::start(standin(), &args)
    }

    /// Waits for a trainer's end and checks that nothing was lost, doubled or too old.
    pub(crate) fn check_trainer(trainer: Process) -> Value {
        let exit = trainer.wait();
        assert!(exit.status.success(), "the trainer ended: {exit}");
        serde_json::from_str(&exit.stdout).unwrap()
    }

    /// Asks the model for a streamed answer.
    pub(crate) fn stream(&self, address: SocketAddr, request: &str) -> Option<Answer> {
        let body = json!({ "model": "scorer", "prompt": "a part of 3 mm", "max_tokens": 16,
            "stream": true });
        let headers = [("x-caller", "quotes"), ("x-request-id", request)];
        self.call(
            address,
            ("POST", "/v1/completions"),
            &headers,
            &body.to_string(),
        )
    }

    fn manifest(&self) -> Value {
        let entries = (0..).zip(&self.nodes).map(|(number, node)| {
            let (region, centre) = REGIONS[number % 2];
            json!({ "vm": node.vm, "region": region, "centre": centre, "address": node.address,
                "peer": node.peer })
        });
        let engines = (0..).zip(&self.engines).map(|(number, address)| {
            let (region, centre) = REGIONS[number % 2];
            json!({ "upstream": format!("engine-{number}"), "vm": format!("gpu-{number}"),
                "region": region, "centre": centre, "address": address, "models": ["scorer"],
                "checks_fencing": number == 0 })
        });
        let replica = |name: &str, address| {
            json!({ "upstream": name, "vm": name, "region": "ljubljana", "centre": "lj-a",
                "address": address })
        };
        json!({
            "entry_vms": entries.collect::<Vec<_>>(),
            "models": [{ "model": "scorer", "version": 1, "object": "weights/scorer/1" }],
            "trainers": [{ "trainer": "weld", "model": "scorer", "staleness_bound": 2,
                "group_size": 4, "step_samples": 16, "idle_weight": 0.5, "scorer": "judge" }],
            "callers": [{ "caller": "quotes", "class": "customer", "models": ["scorer"],
                "services": ["stock"] }],
            "engines": engines.collect::<Vec<_>>(),
            "services": [
                { "service": "judge", "replicas": [replica("judge-1", self.scorer)] },
                { "service": "stock",
                  "non_idempotent": [{ "method": "POST", "path": "/orders" }],
                  "replicas": [replica("stock-1", self.stock)] },
            ],
        })
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_state();
        }
        // The directory is in the system's place for temporary files.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
