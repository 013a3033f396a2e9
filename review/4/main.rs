//! Nodes are stopped and started in turn while consumers read streams of 3 s. A consumer that keeps
//! the addresses for three times their time to live still sends streams to the stopped node, which
//! takes them and breaks them off when it exits.

#[path = "../standin.rs"]
mod standin;

use standin::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SUBNET: u8 = 61;
const NODES: u8 = 3;
const EVENTS: u32 = 24;
const GAP_MS: u32 = 125;
const DEADLINE_MS: u64 = 10_000;
const GRACE_S: f64 = 8.0;
const CONSUMERS: usize = 12;
/// How long the consumers send.
const LENGTH_S: f64 = 82.0;

/// A request as its consumer saw it.
struct Seen {
    node: SocketAddr,
    sent_s: f64,
    ended_s: f64,
    status: u16,
    whole: bool,
}

type Log = Arc<Mutex<BTreeMap<String, Seen>>>;

fn configuration() -> String {
    "{\"Version\":1,\"Routes\":[{\"Name\":\"chat\",\"Host\":\"lab.example\",\"Prefix\":\"/stream/\",\"Kind\":\"streaming\",\"TimeoutMs\":10000,\"TargetLatencyMs\":400,\"Priority\":0,\"Service\":\"chat\",\"MaxAttempts\":2}],\"Services\":[{\"Name\":\"chat\",\"HealthPath\":\"/health\",\"MaxConns\":150}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":33554432,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}".to_owned()
}

/// Reads a stream to its end. Returns the status, or 0 without an answer, and whether it was whole.
fn read_stream(address: SocketAddr, id: &str) -> std::io::Result<(u16, bool)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let head = format!("POST /stream/{EVENTS}/{GAP_MS} HTTP/1.1\r\nHost: lab.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\nContent-Length: 2\r\n\r\nhi");
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some(mut answer) = read_head(&mut reader)? else { return Ok((0, false)) };
    let whole = read_body(&mut reader, &mut answer).is_ok();
    let last = format!("id: {EVENTS}\ndata: {id}-{EVENTS}\n\n");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    Ok((answer.status(), whole && (answer.status() != 200 || text.ends_with(&last))))
}

/// Asks the nodes in turn for addresses, like PROTOCOL.md's Ingress says.
fn resolve(nodes: &[Node], first: usize) -> Option<(Vec<SocketAddr>, f64)> {
    for turn in 0..nodes.len() {
        let node = &nodes[(first + turn) % nodes.len()];
        let target = "/api/resolve?Name=lab.example&Region=a&Zone=a1";
        let Ok(answer) = call(node.directory, "GET", target, "", b"", Duration::from_secs(1)) else { continue };
        let Some(json) = Json::parse(&answer.body) else { continue };
        let list = json.get("Addresses").list();
        let addresses: Vec<_> = list.iter().filter_map(|one| one.text().parse().ok()).collect();
        let Json::Number(ttl) = json.get("TtlS") else { continue };
        if answer.status() == 200 && !addresses.is_empty() {
            return Some((addresses, ttl.min(5.0)));
        }
    }
    None
}

/// Sends a stream each quarter of a second, each on a new channel.
fn consume(number: usize, nodes: &[Node], record: &Arc<Record>, seen: &Log, picks: &AtomicU64) {
    let failed: Arc<Mutex<Vec<SocketAddr>>> = Arc::default();
    let mut streams = Vec::new();
    // Some consumers keep the addresses three times as long.
    let factor = if number % 2 == 0 { 3.0 } else { 1.0 };
    let mut addresses: Vec<SocketAddr> = Vec::new();
    // Consumers ask for addresses at different times.
    thread::sleep(Duration::from_millis(500 * number as u64));
    let mut until_s = 0.0;
    while record.seconds() < LENGTH_S {
        if record.seconds() >= until_s {
            if let Some((found, ttl)) = resolve(nodes, number) {
                addresses = found;
                failed.lock().unwrap().clear();
                until_s = record.seconds() + ttl * factor;
            }
        }
        addresses.retain(|one| !failed.lock().unwrap().contains(one));
        let pick = picks.fetch_add(1, Ordering::SeqCst) as usize;
        if let Some(address) = addresses.get(pick % addresses.len().max(1)).copied() {
            let (record, seen, failed) = (record.clone(), seen.clone(), failed.clone());
            streams.push(thread::spawn(move || {
                let id = next_id();
                let sent_s = record.seconds();
                record.line(&format!("consumer {number} sends {id} to {address}"));
                let (status, whole) = read_stream(address, &id).unwrap_or((0, false));
                let ended_s = record.seconds();
                let how = if whole { "whole" } else { "cut" };
                record.line(&format!("consumer {number}: {id} status {status}, {how}"));
                if status == 0 {
                    // It uses an address that failed not again, until it has new ones.
                    failed.lock().unwrap().push(address);
                }
                let one = Seen { node: address, sent_s, ended_s, status, whole };
                seen.lock().unwrap().insert(id, one);
            }));
        }
        thread::sleep(Duration::from_millis(250));
    }
    for stream in streams {
        let _ = stream.join();
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, program, folder, path] = &arguments[..] else { std::process::exit(2) };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(path);
    let store = Store::default();
    let store_address = store.serve(Instant::now());
    let runs = Runs::default();
    store.put("op", "config", &configuration());
    for number in 0..12 {
        start_replica(&store, &format!("i-{number}"), "chat", &record, &runs);
    }
    let ports = free_ports(SUBNET);
    let nodes: Vec<Node> = (1..=NODES)
        .map(|number| Node::prepare(number, SUBNET, ports, store_address, folder))
        .collect();
    nodes.iter().for_each(|node| node.start(program));
    Node::wait_until_ready(&nodes, &record);
    let (seen, picks) = (Log::default(), AtomicU64::new(0));
    let mut stops: Vec<(SocketAddr, f64)> = Vec::new();
    thread::scope(|scope| {
        for number in 0..CONSUMERS {
            let (nodes, record, seen, picks) = (&nodes, &record, &seen, &picks);
            scope.spawn(move || consume(number, nodes, record, seen, picks));
        }
        for (node, at_s) in nodes.iter().cycle().zip([8.0, 20.0, 32.0, 44.0, 56.0, 68.0]) {
            while record.seconds() < at_s {
                thread::sleep(Duration::from_millis(10));
            }
            if has_trouble {
                stops.push((node.front, record.seconds()));
                record.line(&format!("SIGTERM to {}", node.name));
                node.signal(SIGTERM);
                let ended = node.wait_or_kill(Duration::from_secs_f64(GRACE_S));
                record.line(&format!("{} ended, by itself: {ended}", node.name));
                node.start(program);
            }
        }
    });
    Node::end_all(&nodes);
    // LOST: the process had read the request and passed it on, and the channel ended without a
    // complete answer, between the SIGTERM and 1 s after GraceS.
    let (seen, runs) = (seen.lock().unwrap(), runs.lock().unwrap());
    let (mut lost, mut excused, mut other) = (0, 0, 0);
    for (id, one) in seen.iter().filter(|(_, one)| !one.whole) {
        let stop = stops.iter().find(|(node, at)| *node == one.node && one.sent_s >= *at && one.sent_s <= at + GRACE_S + 1.0);
        let early = stops.iter().find(|(node, at)| *node == one.node && one.sent_s < *at && one.ended_s >= *at);
        let Some((_, at)) = stop.or(early) else {
            other += 1;
            continue;
        };
        let run = runs.get(id).and_then(|runs| runs.last());
        let passed_on = run.is_some();
        // The time budget of 10 s and the route's timeout of 10 s are longer than any of these took.
        let in_time = one.ended_s - one.sent_s < 9.0;
        let still_at_work = run.is_some_and(|run| run.ended_s >= at + GRACE_S * 5.0 / 6.0);
        let is_excused = still_at_work && one.sent_s <= at + 3.0;
        let what = format!("{id} status {} sent {:.2} s after the SIGTERM, cut {:.2} s after it, events made: {:?}", one.status, one.sent_s - at, one.ended_s - at, run.map(|run| run.events));
        if passed_on && in_time && !is_excused {
            lost += 1;
            record.line(&format!("LOST {what}"));
        } else {
            excused += 1;
            record.line(&format!("excused or not passed on: {what}"));
        }
    }
    let whole = seen.values().filter(|one| one.whole && one.status == 200).count();
    let verdict = format!("streams: {} sent, {whole} whole, {lost} lost around a SIGTERM, {excused} excused there, {other} other", seen.len());
    record.line(&verdict);
    println!("{verdict}");
    std::process::exit(if lost > 0 { 1 } else if whole == 0 { 2 } else { 0 });
}
