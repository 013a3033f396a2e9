//! Measures what a node adds to a model call, against direct calls in the same run.
//!
//! Eight engine stand-ins and one node on loopback; direct and routed calls alternate, so that
//! both see the same machine. Prints the times to the first event and to the end, as median
//! and 99th percentile, and the calls a second with several clients.

use argh::FromArgs;
use dogwoodlb_adapter as adapter;
use dogwoodlb_http::sse::{EventReader, DONE};
use dogwoodlb_manifest::settings::Settings;
use dogwoodlb_node::{Node, Platform, SystemClock};
use dogwoodlb_standin::{bind_loopback, engine, free_address, objects, table, vms};
use dogwoodlb_types::id;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const MAX_EVENT_BYTES: usize = 1 << 20;
const TIMEOUT: Duration = Duration::from_secs(60);
const ENGINES: usize = 8;

/// Measures what a node adds to a model call.
#[derive(FromArgs)]
struct Args {
    /// calls of each kind
    #[argh(option, default = "1000")]
    calls: u64,
    /// clients that call at the same time in the second part
    #[argh(option, default = "16")]
    clients: u64,
}

#[derive(Serialize)]
struct Report {
    direct_first_us: [u64; 2],
    routed_first_us: [u64; 2],
    direct_whole_us: [u64; 2],
    routed_whole_us: [u64; 2],
    direct_calls_per_s: u64,
    routed_calls_per_s: u64,
}

struct Bench {
    node: SocketAddr,
    engines: Vec<engine::Engine>,
    agent: ureq::Agent,
    _parts: (table::Table, objects::Objects, vms::Vms, Node),
}

fn main() -> Result<(), Box<dyn Error>> {
    let args: Args = argh::from_env();
    let bench = Bench::start()?;
    let (direct, routed) = bench.alternate(args.calls)?;
    let direct_calls_per_s = bench.rate(bench.engines[0].address(), &args)?;
    let routed_calls_per_s = bench.rate(bench.node, &args)?;
    let report = Report {
        direct_first_us: direct.0,
        routed_first_us: routed.0,
        direct_whole_us: direct.1,
        routed_whole_us: routed.1,
        direct_calls_per_s,
        routed_calls_per_s,
    };
    println!("{}", serde_json::to_string_pretty(&report)?);
    std::process::exit(0)
}

/// The median and the 99th percentile of the times to the first event and to the end.
type Times = ([u64; 2], [u64; 2]);

impl Bench {
    fn start() -> Result<Self, Box<dyn Error>> {
        let config = engine::Config {
            models: vec![("scorer".parse()?, id::Version(1))],
            slots: 512,
            queue_capacity: 1024,
            ..engine::Config::default()
        };
        let engines =
            (0..ENGINES).map(|_| Ok(engine::Engine::start(bind_loopback()?, config.clone())?));
        let engines = engines.collect::<Result<Vec<_>, Box<dyn Error>>>()?;
        let table = table::Table::start(bind_loopback()?)?;
        let objects = objects::Objects::start(bind_loopback()?)?;
        let vms = vms::Vms::start(bind_loopback()?, &[])?;
        let settings = Settings {
            vm: "entry-1".parse()?,
            region: "ljubljana".parse()?,
            centre: "lj-a".parse()?,
            address: free_address(),
            peer: free_address(),
            table: table.address(),
            objects: objects.address(),
            vms: vms.address(),
            statsd: None,
            log: None,
        };
        let platform = Platform {
            clock: Arc::new(SystemClock::new()),
            engine: Arc::new(adapter::EngineClient::new()),
            objects: Arc::new(adapter::ObjectStoreClient::new(settings.objects)),
            service: Arc::new(adapter::ServiceClient::new()),
            table: Arc::new(adapter::TableClient::new(settings.table)),
            vms: Arc::new(adapter::VmListClient::new(settings.vms)),
        };
        let (address, peer) = (settings.address, settings.peer);
        let node = Node::start(settings, platform, 1)?;
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections_per_host(64)
            .timeout_global(Some(TIMEOUT));
        let bench = Self {
            node: address,
            engines,
            agent: config.build().new_agent(),
            _parts: (table, objects, vms, node),
        };
        bench.commit(peer)?;
        Ok(bench)
    }

    fn commit(&self, peer: SocketAddr) -> Result<(), Box<dyn Error>> {
        let engines = (1..).zip(&self.engines).map(|(number, engine)| {
            json!({ "upstream": format!("engine-{number}"), "vm": format!("gpu-{number}"),
                "region": "ljubljana", "centre": "lj-a", "address": engine.address(),
                "models": ["scorer"], "checks_fencing": true })
        });
        let engines: Vec<_> = engines.collect();
        let manifest = json!({
            "entry_vms": [{ "vm": "entry-1", "region": "ljubljana", "centre": "lj-a",
                "address": self.node, "peer": peer }],
            "models": [{ "model": "scorer", "version": 1, "object": "weights/scorer/1" }],
            "callers": [{ "caller": "bench", "class": "customer", "models": ["scorer"],
                "services": [] }],
            "engines": engines,
        });
        let body = json!({ "base": 0, "operator": "bench", "text": manifest.to_string() });
        let url = format!("http://{}/v1/manifest", self.node);
        let answer = self.agent.post(&url).send_json(&body)?;
        assert_eq!(answer.status(), 200);
        while self.call(self.node, 0).is_err() {
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Makes one call and returns the times to the first event and to the end.
    fn call(
        &self,
        address: SocketAddr,
        number: u64,
    ) -> Result<(Duration, Duration), Box<dyn Error>> {
        let body = json!({ "model": "scorer", "prompt": format!("part {number}"),
            "max_tokens": 32, "stream": true });
        let began = Instant::now();
        let request = self.agent.post(format!("http://{address}/v1/completions"));
        let request = request.header("x-caller", "bench");
        let request = request.header("x-request-id", format!("b{number}"));
        let answer = request.send_json(&body)?;
        if answer.status() != 200 {
            return Err(format!("status {}", answer.status()).into());
        }
        let mut events = EventReader::new(answer.into_body().into_reader(), MAX_EVENT_BYTES);
        let mut first = None;
        while let Some(event) = events.next_event()? {
            first.get_or_insert_with(|| began.elapsed());
            if event == DONE {
                // Reads the end of the body, so that the connection can be used again.
                while events.next_event()?.is_some() {}
                return Ok((first.unwrap_or_default(), began.elapsed()));
            }
        }
        Err("the answer was cut".into())
    }

    fn alternate(&self, calls: u64) -> Result<(Times, Times), Box<dyn Error>> {
        let mut samples: [[Histogram<u64>; 2]; 2] = [
            [Histogram::new(3)?, Histogram::new(3)?],
            [Histogram::new(3)?, Histogram::new(3)?],
        ];
        for number in 0..calls {
            for (target, address) in [self.engines[0].address(), self.node]
                .into_iter()
                .enumerate()
            {
                let (first, whole) = self.call(address, number)?;
                samples[target][0].record(first.as_micros() as u64)?;
                samples[target][1].record(whole.as_micros() as u64)?;
            }
        }
        let quantiles = |one: &Histogram<u64>| [0.5, 0.99].map(|at| one.value_at_quantile(at));
        let times = |one: &[Histogram<u64>; 2]| (quantiles(&one[0]), quantiles(&one[1]));
        Ok((times(&samples[0]), times(&samples[1])))
    }

    fn rate(&self, address: SocketAddr, args: &Args) -> Result<u64, Box<dyn Error>> {
        let began = Instant::now();
        thread::scope(|scope| {
            for client in 0..args.clients {
                scope.spawn(move || {
                    for number in 0..args.calls / args.clients {
                        // A refused call counts as well; there is room for all.
                        let _ = self.call(address, client * args.calls + number);
                    }
                });
            }
        });
        Ok((args.calls as f64 / began.elapsed().as_secs_f64()) as u64)
    }
}
