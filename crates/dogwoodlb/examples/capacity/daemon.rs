//! The memory, threads and processor time of a real node with open streams, on loopback.
//!
//! This process is the node. Its upstreams and its client run in two further processes, so
//! that the resident set is the node's alone.

use crate::memory::resident;
use crate::process::{answer_input, processor, threads, Helper};
use crate::upstreams::{ENGINES, FLOOD_EVENTS, PAUSE};
use crate::{Report, Result};
use dogwoodlb_adapter::{
    EngineClient, ObjectStoreClient, ServiceClient, TableClient, VmListClient,
};
use dogwoodlb_external::Engine as _;
use dogwoodlb_manifest::settings;
use dogwoodlb_node::{Node, Platform, SystemClock};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The engines that the streams use; a node starts with 16 slots at each.
const STREAM_ENGINES: usize = 20;
const STREAMS: [usize; 3] = [75, 150, 300];
/// The entry VMs of manifests that are committed one after the other.
const ENTRIES: [usize; 5] = [40, 80, 160, 320, 320];
/// The streams with which the cost of an event is measured.
const FLOOD_STREAMS: usize = 20;
/// The load reads over which the cost of one is averaged.
const READS: usize = 5_000;
/// The time over which an idle node's processor time is counted.
const IDLE: Duration = Duration::from_secs(10);

fn ask(node: SocketAddr, prompt: &str, number: usize) -> std::io::Result<TcpStream> {
    let body = json!({ "model": "model-01", "prompt": prompt, "max_tokens": 100_000,
        "stream": true })
    .to_string();
    let mut stream = TcpStream::connect(node)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let length = body.len();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: node\r\nx-caller: caller\r\n\
         x-request-id: {prompt}-{number}\r\nx-deadline-ms: 60000\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes())?;
    Ok(stream)
}

/// Opens streams against a node, waits for the first event of each and holds them.
pub(crate) fn hold_streams(node: SocketAddr, count: usize) -> Result<()> {
    let open = (0..count).map(|number| ask(node, "hold", number));
    let mut open: Vec<TcpStream> = open.collect::<std::io::Result<_>>()?;
    let mut answered = 0;
    for stream in &mut open {
        let mut seen = Vec::new();
        let mut buffer = [0; 4096];
        while !seen.windows(5).any(|window| window == b"data:") {
            match stream.read(&mut buffer) {
                Ok(length @ 1..) => seen.extend(&buffer[..length]),
                _ => break,
            }
        }
        let text = String::from_utf8_lossy(&seen);
        answered += usize::from(text.starts_with("HTTP/1.1 200"));
    }
    println!("{answered}");
    answer_input(String::new)
}

pub(crate) fn run(report: &mut Report) -> Result<()> {
    report.add("daemon.before.bytes", resident()?);
    let mut upstreams = Helper::start(&["--serve".to_owned(), "daemon".to_owned()])?;
    let line = upstreams.line()?;
    let addresses: Vec<SocketAddr> = line
        .split(' ')
        .map(str::parse)
        .collect::<std::result::Result<_, _>>()?;
    let (engines, peers) = addresses[3..].split_at(ENGINES);
    let node = start("entry-1", &addresses)?;
    let few = &engines[..STREAM_ENGINES];
    reads(report, engines[0])?;
    let (status, _) = commit(node.address(), 0, &peers[..0], few)?;
    report.add("daemon.first_commit.status", status);
    idle(report)?;
    for count in STREAMS {
        streams(report, &node, count)?;
    }
    flood(report, &node)?;
    let (status, _) = commit(node.address(), 1, &peers[..0], engines)?;
    report.add("daemon.second_commit.status", status);
    thread::sleep(IDLE);
    let read: f64 = upstreams.ask()?.parse()?;
    report.add("daemon.engines_listed", ENGINES as f64);
    report.add("daemon.engines_read", read);
    commits(report, &node, peers, few)?;
    node.kill();
    Ok(())
}

/// Measures the processor time of the client's side of one load read.
fn reads(report: &mut Report, engine: SocketAddr) -> Result<()> {
    let client = EngineClient::new();
    let before = processor()?;
    for _ in 0..READS {
        client.read_load(engine, Duration::from_secs(5))?;
    }
    let used = processor()? - before;
    report.add("daemon.us_per_load_read", used * 1e6 / READS as f64);
    Ok(())
}

fn idle(report: &mut Report) -> Result<()> {
    thread::sleep(Duration::from_secs(2));
    report.add("daemon.idle.bytes", resident()?);
    report.add("daemon.idle.threads", threads()?);
    let (before, began) = (processor()?, Instant::now());
    thread::sleep(IDLE);
    let used = (processor()? - before) / began.elapsed().as_secs_f64();
    report.add("daemon.idle.core_percent", used * 100.0);
    Ok(())
}

fn client(node: &Node, count: usize) -> Result<Helper> {
    let address = node.address().to_string();
    let args = ["--client", &count.to_string(), "--node", &address];
    Helper::start(&args.map(str::to_owned))
}

fn streams(report: &mut Report, node: &Node, count: usize) -> Result<()> {
    let mut client = client(node, count)?;
    let answered: f64 = client.line()?.parse()?;
    report.add(format!("daemon.{count}_streams.answered"), answered);
    report.add(format!("daemon.{count}_streams.bytes"), resident()?);
    report.add(format!("daemon.{count}_streams.threads"), threads()?);
    drop(client);
    // The node notices at the next event that the client has disconnected.
    thread::sleep(PAUSE * 5);
    Ok(())
}

/// Measures the processor time of an event that is passed on.
fn flood(report: &mut Report, node: &Node) -> Result<()> {
    let (streams, events) = (FLOOD_STREAMS, FLOOD_EVENTS);
    let before = processor()?;
    let readers: Vec<_> = (0..streams)
        .map(|number| {
            let address = node.address();
            thread::spawn(move || ask(address, "flood", number)?.read_to_end(&mut Vec::new()))
        })
        .collect();
    let mut received = 0;
    for reader in readers {
        received += reader.join().map_err(|_| "a reader failed")??;
    }
    let used = processor()? - before;
    let count = (streams * events) as f64;
    report.add("daemon.flood.bytes_per_event", received as f64 / count);
    report.add("daemon.flood.us_per_event", used * 1e6 / count);
    Ok(())
}

/// Commits manifests with more and more entry VMs; the base's ones are asked.
fn commits(
    report: &mut Report,
    node: &Node,
    peers: &[SocketAddr],
    engines: &[SocketAddr],
) -> Result<()> {
    let mut asked = 1;
    for (base, entries) in (2..).zip(ENTRIES) {
        let began = Instant::now();
        let (status, text) = commit(node.address(), base, &peers[..entries - 1], engines)?;
        let name = format!("daemon.commit.{asked}_asked");
        report.add(format!("{name}.status"), status);
        report.add(format!("{name}.ms"), began.elapsed().as_millis() as f64);
        if status != 200.0 {
            eprintln!("{text}");
            return Ok(());
        }
        thread::sleep(Duration::from_secs(1));
        asked = entries;
    }
    Ok(())
}

pub(crate) fn start(vm: &str, addresses: &[SocketAddr]) -> Result<Node> {
    let [table, objects, vms, ..] = addresses else {
        return Err("too few addresses".into());
    };
    let (address, peer) = (free()?, free()?);
    let text = json!({ "vm": vm, "region": "ljubljana", "centre": "lj-a",
        "address": address, "peer": peer, "table": table, "objects": objects, "vms": vms });
    let settings = settings::from_str(&text.to_string())?;
    let platform = Platform {
        clock: Arc::new(SystemClock::new()),
        engine: Arc::new(EngineClient::new()),
        objects: Arc::new(ObjectStoreClient::new(*objects)),
        service: Arc::new(ServiceClient::new()),
        table: Arc::new(TableClient::new(*table)),
        vms: Arc::new(VmListClient::new(*vms)),
    };
    Ok(Node::start(settings, platform, 1)?)
}

fn free() -> Result<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

/// Commits a manifest that lists the node and further entry VMs; returns status and answer.
fn commit(
    node: SocketAddr,
    base: u64,
    peers: &[SocketAddr],
    engines: &[SocketAddr],
) -> Result<(f64, String)> {
    let entry = |vm: String, address: SocketAddr, peer: SocketAddr| {
        json!({ "vm": vm, "region": "ljubljana", "centre": "lj-a", "address": address,
            "peer": peer })
    };
    let mut entries = vec![entry("entry-1".to_owned(), node, free()?)];
    for (number, peer) in (2..).zip(peers) {
        // A listed address is unique; nothing is sent to this one.
        let address = ([10, 0, (number / 250) as u8, (number % 250) as u8], 8_000).into();
        entries.push(entry(format!("entry-{number}"), address, *peer));
    }
    let engines = (0..).zip(engines).map(|(number, address)| {
        json!({ "upstream": format!("engine-{number}"), "vm": format!("gpu-{number}"),
            "region": "ljubljana", "centre": "lj-a", "address": address,
            "models": ["model-01"], "checks_fencing": true })
    });
    let text = json!({
        "entry_vms": entries,
        "models": [{ "model": "model-01", "version": 1, "object": "weights/1" }],
        "callers": [{ "caller": "caller", "class": "customer", "models": ["model-01"],
            "services": [] }],
        "engines": engines.collect::<Vec<_>>(),
    });
    post(node, base, text.to_string())
}

/// Commits a manifest; returns status and answer.
pub(crate) fn post(node: SocketAddr, base: u64, text: String) -> Result<(f64, String)> {
    let body = json!({ "base": base, "operator": "ana", "text": text });
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    let agent = config.build().new_agent();
    let mut answer = agent
        .post(format!("http://{node}/v1/manifest"))
        .send(body.to_string())?;
    let status = f64::from(answer.status().as_u16());
    Ok((status, answer.body_mut().read_to_string()?))
}
