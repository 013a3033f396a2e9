//! Fake engines and peers for the node that is measured.

use crate::process::answer_input;
use crate::Result;
use dogwoodlb_standin::{objects, table, vms};
use dogwoodlb_wire::{Answer, Frame, Vote};
use serde_json::json;
use std::collections::HashSet;
use std::io::{BufRead, BufReader, BufWriter, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The replicas of one of 14 models at the target, 1,900 in all.
pub(crate) const ENGINES: usize = 136;
/// The nodes that agree to proposals.
const PEERS: usize = 320;
/// The events of an answer that is sent without a pause.
pub(crate) const FLOOD_EVENTS: usize = 5_000;
/// The time between two events of a stream that is held open.
pub(crate) const PAUSE: Duration = Duration::from_millis(200);
const MODELS: usize = 14;
const STACK_BYTES: usize = 64 * 1024;
const EVENT: &str =
    "data: {\"choices\":[{\"index\":0,\"text\":\"word \",\"finish_reason\":null}]}\n\n";

/// Serves the table, the object store, the list of VMs, engines that never finish and nodes
/// that agree to every proposal.
pub(crate) fn serve_upstreams() -> Result<()> {
    let listener = || TcpListener::bind("127.0.0.1:0");
    let table = table::Table::start(listener()?)?;
    let objects = objects::Objects::start(listener()?)?;
    let vms = vms::Vms::start(listener()?, &[])?;
    let mut addresses = vec![table.address(), objects.address(), vms.address()];
    let read: Arc<Mutex<HashSet<usize>>> = Arc::default();
    for index in 0..ENGINES {
        let read = read.clone();
        let note = move |line: &str| {
            if line.contains("/v1/weights") {
                read.lock().map(|mut read| read.insert(index)).ok();
            }
        };
        let serve = move |stream| serve(stream, &note).unwrap_or_default();
        addresses.push(accept("127.0.0.1:0", serve)?);
    }
    for _ in 0..PEERS {
        addresses.push(accept("127.0.0.1:0", |stream| {
            agree(stream).unwrap_or_default()
        })?);
    }
    let addresses: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    println!("{}", addresses.join(" "));
    answer_input(|| read.lock().map_or(0, |read| read.len()).to_string())
}

pub(crate) fn accept(
    address: &str,
    serve: impl Fn(TcpStream) + Clone + Send + 'static,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let builder = || thread::Builder::new().stack_size(STACK_BYTES);
    builder().spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = builder().spawn(move || serve(stream));
        }
    })?;
    Ok(address)
}

/// Answers a proposal as another node would.
fn agree(stream: TcpStream) -> dogwoodlb_wire::Result<()> {
    let frame = dogwoodlb_wire::from_reader(&mut BufReader::new(&stream))?;
    if let Frame::Propose(proposal) = frame {
        let answer = Frame::Answer(Answer {
            operation: proposal.operation,
            vote: Vote::Promised,
        });
        dogwoodlb_wire::to_writer(&mut BufWriter::new(&stream), &answer)?;
    }
    Ok(())
}

/// Answers one connection: reports are short, a completion sends one event and stays open.
pub(crate) fn serve(stream: TcpStream, note: &dyn Fn(&str)) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let head = Head::read(&mut reader)?;
        if head.line.is_empty() {
            return Ok(());
        }
        let mut body = vec![0; head.length];
        reader.read_exact(&mut body)?;
        note(&head.line);
        let body = match head.line.as_str() {
            line if line.contains("/v1/completions") => {
                let start = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
                writer.write_all(format!("{start}{EVENT}").as_bytes())?;
                if body.windows(5).any(|window| window == b"flood") {
                    return flood_answer(&mut writer, &head.request);
                }
                // Held until the node closes the connection.
                loop {
                    thread::sleep(PAUSE);
                    writer.write_all(EVENT.as_bytes())?;
                }
            }
            line if line.contains("/v1/load") => {
                json!({ "running": 1, "waiting": 0, "cache_permille": 0 })
            }
            line if line.contains("/v1/weights") => {
                let weights = |index| json!({ "model": format!("model-{index:02}"), "version": 1, "loading": null });
                json!({ "weights": (0..MODELS).map(weights).collect::<Vec<_>>() })
            }
            _ => json!({}),
        };
        let (body, head) = (body.to_string(), "HTTP/1.1 200 OK");
        let kind = "content-type: application/json";
        let length = body.len();
        let answer = format!("{head}\r\n{kind}\r\ncontent-length: {length}\r\n\r\n{body}");
        writer.write_all(answer.as_bytes())?;
    }
}

/// Sends the events of a whole answer without a pause, and the report at its end.
fn flood_answer(writer: &mut TcpStream, request: &str) -> std::io::Result<()> {
    for _ in 1..FLOOD_EVENTS {
        writer.write_all(EVENT.as_bytes())?;
    }
    let tokens = FLOOD_EVENTS;
    let report = json!({ "request_id": request, "tokens": tokens, "queue": 0,
        "spans": [{ "version": 1, "from": 0, "to": tokens }] });
    let last = json!({ "choices": [], "dogwood": report });
    writer.write_all(format!("data: {last}\n\ndata: [DONE]\n\n").as_bytes())
}

/// What the head of a request says.
#[derive(Default)]
struct Head {
    line: String,
    length: usize,
    request: String,
}

impl Head {
    fn read(reader: &mut BufReader<TcpStream>) -> std::io::Result<Self> {
        let mut head = Self::default();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let line = line.trim();
            if line.is_empty() {
                return Ok(head);
            }
            match line.split_once(": ") {
                Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                    head.length = value.parse().unwrap_or_default();
                }
                Some((name, value)) if name.eq_ignore_ascii_case("x-request-id") => {
                    head.request = value.to_owned();
                }
                _ if head.line.is_empty() => head.line = line.to_owned(),
                _ => {}
            }
        }
    }
}
