//! Stand-ins of the platform for the scripts of this review: the store, plain replicas with
//! streams, and the processes of `dogwoodlb edge`. It needs only the standard library.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const SIGTERM: i32 = 15;

// ---- JSON -------------------------------------------------------------------------------------

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        value(text, &mut at)
    }
}

fn skip(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match *text.get(*at)? {
        b'"' => string(text, at).map(Json::Text),
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(text, at)?),
                }
            }
        }
        b'{' => {
            *at += 1;
            let mut map = Vec::new();
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(map));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = string(text, at)?;
                        skip(text, at);
                        if *text.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        map.push((key, value(text, at)?));
                    }
                }
            }
        }
        _ => {
            let start = *at;
            while text.get(*at).is_some_and(|b| !b",]} \n\r\t".contains(b)) {
                *at += 1;
            }
            match std::str::from_utf8(&text[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn string(text: &[u8], at: &mut usize) -> Option<String> {
    if *text.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut bytes = Vec::new();
    loop {
        let byte = *text.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(bytes).ok(),
            b'\\' => {
                let escape = *text.get(*at)?;
                *at += 1;
                match escape {
                    b'n' => bytes.push(b'\n'),
                    b'r' => bytes.push(b'\r'),
                    b't' => bytes.push(b'\t'),
                    b'u' => {
                        let hex = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        let mut buffer = [0; 4];
                        let one = char::from_u32(code)?.encode_utf8(&mut buffer);
                        bytes.extend_from_slice(one.as_bytes());
                    }
                    other => bytes.push(other),
                }
            }
            other => bytes.push(other),
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            if digit > chunk.len() {
                text.push('=');
            } else {
                text.push(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63] as char);
            }
        }
    }
    text
}

// ---- HTTP -------------------------------------------------------------------------------------

#[derive(Debug)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found.map(|(_, value)| unescape(value)).unwrap_or_default()
    }
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a head, without its body. `None` at the end of the channel.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let start = start.trim_end().to_owned();
    let body = Vec::new();
    Ok(Some(Message { start, headers, body }))
}

/// Reads the body with a length, or in chunks.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)
}

pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves a listener with a thread for each channel. `handle` returns whether the channel is kept.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(clone) = stream.try_clone() else { return };
                let mut reader = BufReader::new(clone);
                while let Ok(Some(mut request)) = read_head(&mut reader) {
                    if read_body(&mut reader, &mut request).is_err() {
                        return;
                    }
                    if !handle(&request, &mut stream).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
}

// ---- The record -------------------------------------------------------------------------------

/// Writes what happened, with the seconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn new(path: &str) -> Arc<Self> {
        let file = fs::File::create(path).expect("the record can be created");
        Arc::new(Self { start: Instant::now(), file: Mutex::new(file) })
    }
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

// ---- The store --------------------------------------------------------------------------------

#[derive(Clone)]
struct Row {
    value: String,
    version: u64,
    deleted: bool,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Rows>, Condvar)>);

fn encode_rows<'a>(rows: impl Iterator<Item = (&'a (String, String), &'a Row)>) -> String {
    let rows = rows.map(|((table, key), row)| {
        format!(
            "{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",\"Value\":\"{}\",\"RowVersion\":{},\"Deleted\":{}}}",
            row.value, row.version, row.deleted
        )
    });
    rows.collect::<Vec<_>>().join(",")
}

impl Store {
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.0 .0.lock().unwrap();
        rows.version += 1;
        let row = Row { value: base64(value.as_bytes()), version: rows.version, deleted: false };
        rows.rows.insert((table.to_owned(), key.to_owned()), row);
        self.0 .1.notify_all();
    }

    /// Returns the encoded value of a row.
    pub fn encoded(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.0 .0.lock().unwrap();
        let row = rows.rows.get(&(table.to_owned(), key.to_owned()))?;
        (!row.deleted).then(|| row.value.clone())
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.0 .0.lock().unwrap();
        rows.version += 1;
        let row = Row { value: String::new(), version: rows.version, deleted: true };
        rows.rows.insert((table.to_owned(), key.to_owned()), row);
        self.0 .1.notify_all();
    }

    pub fn serve(&self, start: Instant) -> SocketAddr {
        self.serve_one(start, Arc::default())
    }

    /// Serves the store to one node. Once `silence` is set, the channel on which the next answer about
    /// the operator's table is due goes silent for good, without a reset; others and new ones work.
    pub fn serve_one(&self, start: Instant, silence: Arc<AtomicBool>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        serve(listener, move |request, stream| {
            let now_ms = 5_000_000 + start.elapsed().as_millis();
            let (status, rows, version) = match request.path() {
                "/api/rows-tx" => store.commit(&request.body),
                "/api/rows-get" => store.read(request),
                "/api/rows-feed" => {
                    let answer = store.feed(request);
                    if request.query("Table") == "op" && silence.swap(false, Ordering::SeqCst) {
                        thread::sleep(Duration::from_secs(120));
                        return Ok(false);
                    }
                    answer
                }
                _ => (404, String::new(), 0),
            };
            let body = format!(
                "{{\"Rows\":[{rows}],\"MorePages\":false,\"RowVersion\":{version},\"NowMs\":{now_ms}}}"
            );
            respond(stream, status, "Content-Type: application/json\r\n", body.as_bytes())?;
            Ok(true)
        });
        address
    }

    fn commit(&self, body: &[u8]) -> (u16, String, u64) {
        thread::sleep(Duration::from_millis(3));
        let Some(wire) = Json::parse(body) else {
            return (400, String::new(), 0);
        };
        let key = |row: &Json| (row.get("Table").text().to_owned(), row.get("Key").text().to_owned());
        let mut rows = self.0 .0.lock().unwrap();
        let checks = wire.get("ExpectedRev").list();
        let holds = checks.iter().all(|check| {
            let known = rows.rows.get(&key(check)).filter(|row| !row.deleted);
            known.map_or(0, |row| row.version) == check.get("RowVersion").number()
        });
        if !holds {
            let keys: Vec<_> = checks.iter().map(key).collect();
            let known = keys.iter().filter_map(|key| rows.rows.get_key_value(key));
            let known = known.filter(|(_, row)| !row.deleted);
            return (412, encode_rows(known), rows.version);
        }
        rows.version += 1;
        let version = rows.version;
        for put in wire.get("SetKeys").list() {
            let value = put.get("Value").text().to_owned();
            rows.rows.insert(key(put), Row { value, version, deleted: false });
        }
        for removed in wire.get("Remove").list() {
            let row = Row { value: String::new(), version, deleted: true };
            rows.rows.insert(key(removed), row);
        }
        self.0 .1.notify_all();
        (200, String::new(), version)
    }

    fn read(&self, request: &Message) -> (u16, String, u64) {
        let (table, from, to) = (request.query("Table"), request.query("From"), request.query("To"));
        let rows = self.0 .0.lock().unwrap();
        let found = rows.rows.iter().filter(|((in_table, key), row)| {
            *in_table == table && !row.deleted && *key >= from && (to.is_empty() || *key < to)
        });
        (200, encode_rows(found), rows.version)
    }

    fn feed(&self, request: &Message) -> (u16, String, u64) {
        let table = request.query("Table");
        let after = request.query("After").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("WaitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut rows = self.0 .0.lock().unwrap();
        loop {
            let found = rows.rows.iter();
            let found = found.filter(|((in_table, _), row)| *in_table == table && row.version > after);
            let mut found: Vec<_> = found.collect();
            found.sort_by_key(|(_, row)| row.version);
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                return (200, encode_rows(found.into_iter()), rows.version);
            }
            rows = self.0 .1.wait_timeout(rows, left).unwrap().0;
        }
    }
}

// ---- Replicas ---------------------------------------------------------------------------------

/// What became of a request at a replica.
#[derive(Clone, Debug, Default)]
pub struct Run {
    pub began_s: f64,
    pub ended_s: f64,
    pub events: u32,
    /// Whether the replica made the whole answer.
    pub complete: bool,
}

/// The runs of all replicas, by request id.
pub type Runs = Arc<Mutex<BTreeMap<String, Vec<Run>>>>;

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

/// Starts a replica of a service and keeps its entry fresh. It answers `/stream/N/GAP` with N events
/// that are GAP ms apart.
pub fn start_replica(store: &Store, id: &str, service: &str, record: &Arc<Record>, runs: &Runs) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (store, name, service) = (store.clone(), id.to_owned(), service.to_owned());
    let born = unix_ms();
    let entry = {
        let name = name.clone();
        move |sequence: u64| {
            store.put(
                "servers",
                &name,
                &format!(
                    "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"a1\",\"Version\":\"1\",\"Slots\":16,\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":{sequence},\"born\":{born}}}"
                ),
            );
        }
    };
    entry(1);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            entry(sequence);
        }
    });
    let (record, runs) = (record.clone(), runs.clone());
    serve(listener, move |request, stream| {
        let request_id = request.header("Request-Id").to_owned();
        let expected = request.header("Expect-Instance");
        if !expected.is_empty() && expected != name {
            let headers = format!("Request-Id: {request_id}\r\nNot-Executed: 1\r\n");
            return respond(stream, 421, &headers, b"").map(|()| true);
        }
        if request.path().starts_with("/score/") {
            thread::sleep(Duration::from_millis(30));
            let headers = format!("Request-Id: {request_id}\r\nServer-Stamp: stamp-{request_id}\r\n");
            return respond(stream, 200, &headers, b"scored").map(|()| true);
        }
        if request.path() == "/health" {
            return respond(stream, 200, &format!("Instance-Id: {name}\r\n"), b"").map(|()| true);
        }
        let mut parts = request.path().split('/').skip(2);
        let mut number = || parts.next().and_then(|part| part.parse().ok()).unwrap_or(1_u32);
        let (events, gap) = (number(), number());
        let began_s = record.seconds();
        record.line(&format!("replica {name} runs {request_id}"));
        let index = {
            let mut runs = runs.lock().unwrap();
            let of_request = runs.entry(request_id.clone()).or_default();
            of_request.push(Run { began_s, ..Run::default() });
            of_request.len() - 1
        };
        let finish = |made: u32, complete: bool| {
            let ended_s = record.seconds();
            let mut runs = runs.lock().unwrap();
            let run = &mut runs.get_mut(&request_id).expect("a run")[index];
            *run = Run { began_s, ended_s, events: made, complete };
            let how = if complete { "made the whole answer" } else { "found its channel closed" };
            record.line(&format!("replica {name}: {request_id} {how} after {made} events"));
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: {request_id}\r\nServer-Stamp: stamp-{request_id}\r\n\r\n"
        );
        if let Err(error) = stream.write_all(head.as_bytes()) {
            finish(0, false);
            return Err(error);
        }
        for event in 1..=events {
            thread::sleep(Duration::from_millis(u64::from(gap)));
            let text = format!("id: {event}\ndata: {request_id}-{event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if is_closed(stream) || stream.write_all(chunk.as_bytes()).is_err() {
                finish(event - 1, false);
                return Ok(false);
            }
        }
        finish(events, true);
        stream.write_all(b"0\r\n\r\n").map(|()| true)
    });
}

// ---- Engines ----------------------------------------------------------------------------------

/// What an engine holds and does.
#[derive(Debug)]
pub struct EngineState {
    /// The version of each model.
    pub versions: BTreeMap<String, u64>,
    pub orders: u64,
    /// The model whose version changes.
    pub loading: Option<String>,
    /// The runs of each model.
    pub running: BTreeMap<String, u32>,
    /// The versions that trainers have named.
    pub newest: BTreeMap<String, u64>,
    pub draining: bool,
    pub dead: bool,
    channels: Vec<TcpStream>,
}

/// A model engine: it runs items as streams and changes its version on orders.
pub struct Engine {
    pub name: String,
    pub address: SocketAddr,
    born: u128,
    pub state: Mutex<EngineState>,
}

/// The visits of items at engines: item, engine, begin, end, whether the text was finished.
#[derive(Clone, Debug)]
pub struct Visit {
    pub item: String,
    pub engine: String,
    pub version: u64,
    pub began_s: f64,
    pub ended_s: Option<f64>,
    pub finished: bool,
}

pub type Visits = Arc<Mutex<Vec<Visit>>>;

pub const SLOTS: u32 = 12;
const LOAD_TIME: Duration = Duration::from_millis(900);
const EVENT_TIME: Duration = Duration::from_millis(40);

impl EngineState {
    pub fn all_running(&self) -> u32 {
        self.running.values().sum()
    }
    fn models(&self) -> String {
        let models = self.versions.iter();
        let models = models.map(|(model, version)| format!("{{\"Name\":\"{model}\",\"Version\":{version},\"Adapters\":[]}}"));
        models.collect::<Vec<_>>().join(",")
    }
}

impl Engine {
    /// Starts an engine with a version of each model.
    pub fn start(store: &Store, name: &str, versions: &BTreeMap<String, u64>, record: &Arc<Record>, visits: &Visits) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = EngineState {
            versions: versions.clone(),
            orders: 0,
            loading: None,
            running: BTreeMap::new(),
            newest: versions.clone(),
            draining: false,
            dead: false,
            channels: Vec::new(),
        };
        let engine = Arc::new(Self { name: name.to_owned(), address, born: unix_ms(), state: Mutex::new(state) });
        engine.beat(store, 1);
        let (this, other) = (engine.clone(), store.clone());
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1_200));
                if !this.beat(&other, sequence) {
                    return;
                }
            }
        });
        let (this, record, visits) = (engine.clone(), record.clone(), visits.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let mut state = this.state.lock().unwrap();
                if state.dead {
                    return;
                }
                state.channels.extend(stream.try_clone());
                drop(state);
                let (this, record, visits) = (this.clone(), record.clone(), visits.clone());
                thread::spawn(move || this.serve_channel(stream, &record, &visits));
            }
        });
        engine
    }

    /// Writes the entry. Returns whether the engine lives.
    fn beat(&self, store: &Store, sequence: u64) -> bool {
        let state = self.state.lock().unwrap();
        if !state.dead {
            let (name, address, born, models) = (&self.name, self.address, self.born, state.models());
            let stage = if state.draining { "draining" } else { "ready" };
            store.put("servers", name, &format!(
                "{{\"Service\":\"judge\",\"Address\":\"{address}\",\"Zone\":\"a1\",\"Version\":\"1\",\"Slots\":{SLOTS},\"State\":\"{stage}\",\"ColdLeftMs\":0,\"Seq\":{sequence},\"born\":{born},\"Models\":[{models}]}}"
            ));
        }
        !state.dead
    }

    /// Leaves as planned: reports it, serves for `DrainMs` and a little longer, and exits.
    pub fn drain(self: &Arc<Self>, store: &Store) {
        self.state.lock().unwrap().draining = true;
        self.beat(store, 1_000);
        let (this, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(2_700));
            while this.state.lock().unwrap().all_running() > 0 {
                thread::sleep(Duration::from_millis(20));
            }
            this.lose(&store);
            store.remove("servers", &this.name);
        });
    }

    /// Ends the engine for good. The platform removes its entry after three ping intervals.
    pub fn lose(self: &Arc<Self>, store: &Store) {
        let mut state = self.state.lock().unwrap();
        state.dead = true;
        for channel in state.channels.drain(..) {
            let _ = channel.shutdown(std::net::Shutdown::Both);
        }
        drop(state);
        let _ = TcpStream::connect(self.address);
        let (store, name) = (store.clone(), self.name.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3_600));
            store.remove("servers", &name);
        });
    }

    fn serve_channel(self: &Arc<Self>, mut stream: TcpStream, record: &Arc<Record>, visits: &Visits) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request).is_err() {
                return;
            }
            if !self.handle(&request, &mut stream, record, visits).unwrap_or(false) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }

    fn handle(self: &Arc<Self>, request: &Message, stream: &mut TcpStream, record: &Arc<Record>, visits: &Visits) -> io::Result<bool> {
        let id = request.header("Request-Id").to_owned();
        let expected = request.header("Expect-Instance");
        if !expected.is_empty() && expected != self.name {
            let headers = format!("Request-Id: {id}\r\nNot-Executed: 1\r\n");
            return respond(stream, 421, &headers, b"").map(|()| true);
        }
        match request.path() {
            "/health" => respond(stream, 200, &format!("Instance-Id: {}\r\n", self.name), b"").map(|()| true),
            "/api/report" => {
                let state = self.state.lock().unwrap();
                let body = format!(
                    "{{\"Stage\":\"hybrid\",\"Models\":[{}],\"Busy\":{},\"Seq\":{},\"Queued\":0,\"Running\":{},\"KvUsed\":0,\"KvTotal\":90000,\"Handles\":0}}",
                    state.models(), state.loading.is_some(), state.orders, state.all_running()
                );
                drop(state);
                respond(stream, 200, "Content-Type: application/json\r\n", body.as_bytes()).map(|()| true)
            }
            "/api/order" => {
                let status = self.order(&request.body, record);
                respond(stream, status, "", b"").map(|()| true)
            }
            _ => self.run(&id, request, stream, record, visits),
        }
    }

    fn order(self: &Arc<Self>, body: &[u8], record: &Arc<Record>) -> u16 {
        let Some(order) = Json::parse(body) else { return 400 };
        if order.get("Holder").text().is_empty() || order.get("Fence") == &Json::Null {
            return 400;
        }
        let version = order.get("Version").number();
        let model = order.get("Model").text().to_owned();
        let mode = order.get("Mode").text().to_owned();
        let mut state = self.state.lock().unwrap();
        let is_named = state.newest.get(&model).is_some_and(|newest| version <= *newest);
        if order.get("Op").text() != "Version" || !is_named {
            return 400;
        }
        if state.versions.get(&model) == Some(&version) {
            return 200;
        }
        let expected = order.get("ExpectedRev");
        if state.loading.is_some() || (*expected != Json::Null && expected.number() != state.orders) {
            return 409;
        }
        state.orders += 1;
        state.loading = Some(model.clone());
        let running = state.running.get(&model).copied().unwrap_or(0);
        record.line(&format!("{} accepts the order of {} to load {model} {version}, mode {mode}, {running} running", self.name, order.get("Holder").text()));
        let (this, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            // `long_poll`: runs finish first.
            while mode == "long_poll" && this.state.lock().unwrap().running.get(&model).is_some_and(|runs| *runs > 0) {
                thread::sleep(Duration::from_millis(5));
            }
            thread::sleep(LOAD_TIME);
            let mut state = this.state.lock().unwrap();
            state.versions.insert(model.clone(), version);
            state.loading = None;
            if !state.dead {
                record.line(&format!("{} has {model} {version}", this.name));
            }
        });
        202
    }

    /// Runs an item: `/runs/EVENTS/ID`. A run begins at the event after `Last-Event-Id`.
    fn run(&self, id: &str, request: &Message, stream: &mut TcpStream, record: &Record, visits: &Visits) -> io::Result<bool> {
        let model = request.header("Model").to_owned();
        let version = {
            let mut state = self.state.lock().unwrap();
            let version = state.versions.get(&model).copied();
            if version.is_none() || state.loading.as_ref() == Some(&model) || state.all_running() >= SLOTS {
                drop(state);
                let headers = format!("Request-Id: {id}\r\nNot-Executed: 1\r\n");
                return respond(stream, 503, &headers, b"").map(|()| true);
            }
            *state.running.entry(model.clone()).or_default() += 1;
            version.unwrap_or(1)
        };
        let events: u32 = request.path().split('/').nth(2).and_then(|part| part.parse().ok()).unwrap_or(1);
        let from: u32 = request.header("Last-Event-Id").parse().unwrap_or(0);
        record.line(&format!("{} runs {id} from event {} with {model} {version}", self.name, from + 1));
        let index = {
            let mut visits = visits.lock().unwrap();
            visits.push(Visit {
                item: id.to_owned(),
                engine: self.name.clone(),
                version,
                began_s: record.seconds(),
                ended_s: None,
                finished: false,
            });
            visits.len() - 1
        };
        let result = self.stream(id, from, events, &model, version, stream);
        *self.state.lock().unwrap().running.get_mut(&model).expect("the model runs") -= 1;
        let finished = result.is_ok();
        {
            let mut visits = visits.lock().unwrap();
            visits[index].ended_s = Some(record.seconds());
            visits[index].finished = finished;
        }
        record.line(&format!("{} ends {id}: {}", self.name, if finished { "whole" } else { "broken off" }));
        result.map(|()| true)
    }

    fn stream(&self, id: &str, from: u32, events: u32, model: &str, version: u64, stream: &mut TcpStream) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-{id}\r\nWeight-Versions: {version}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let mut known = version;
        for event in from + 1..=events {
            thread::sleep(EVENT_TIME);
            let (version, dead) = {
                let state = self.state.lock().unwrap();
                (state.versions[model], state.dead)
            };
            if dead || is_closed(stream) {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            let changed = if version == known { String::new() } else { format!("weight-versions: {version}\n") };
            known = version;
            let text = format!("{changed}id: {event}\ndata: {id}-{event}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// Returns whether the other end has closed or reset the channel.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = match stream.peek(&mut [0; 1]) {
        Ok(read) => read == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

// ---- Nodes ------------------------------------------------------------------------------------

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub directory: SocketAddr,
    pub ready: SocketAddr,
    settings: String,
    child: Mutex<Option<Child>>,
}

impl Node {
    /// Writes the settings of a node, like the template of the deploy file.
    pub fn prepare(number: u8, subnet: u8, ports: u16, store: SocketAddr, folder: &str) -> Self {
        let name = format!("edge-{number}");
        let at = |offset: u16| format!("127.{subnet}.0.{number}:{}", ports + offset);
        let settings = format!("{folder}/{name}.json");
        let text = format!(
            "{{\"node\":\"{name}\",\"region\":\"a\",\"centre\":\"a1\",\"front\":\"{}\",\"ready\":\"{}\",\"directory\":\"{}\",\"peer\":\"{}\",\"metrics\":\"{}\",\"seeds\":[\"127.{subnet}.0.1:1\",\"127.{subnet}.0.2:1\"],\"store\":\"{store}\",\"centres\":{{\"a1\":\"a\"}},\"cpu_share\":0.5,\"address_ttl_s\":5,\"grace_s\":8,\"order_lease_ms\":3000,\"results_s\":120}}",
            at(0), at(1), at(2), at(3), at(4)
        );
        fs::write(&settings, text).expect("settings can be written");
        let parse = |text: String| text.parse().expect("an address");
        Self {
            name,
            front: parse(at(0)),
            ready: parse(at(1)),
            directory: parse(at(2)),
            settings,
            child: Mutex::new(None),
        }
    }

    pub fn start(&self, program: &str) {
        let path = self.settings.replace(".json", ".log");
        let log = fs::File::options().create(true).append(true).open(path).expect("a log");
        let child = Command::new(program)
            .arg("edge")
            .env("DOGWOODLB_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &*self.child.lock().unwrap() {
            // SAFETY: the id is that of a child that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits for the end of the process, and kills it after a time. Returns whether it ended itself.
    pub fn wait_or_kill(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut slot = self.child.lock().unwrap();
        let Some(child) = &mut *slot else { return true };
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                *slot = None;
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        let _ = child.kill();
        let _ = child.wait();
        *slot = None;
        false
    }

    /// Waits until all nodes are ready.
    pub fn wait_until_ready(nodes: &[Node], record: &Record) {
        let until = Instant::now() + Duration::from_secs(10);
        while !nodes.iter().all(Node::is_ready) {
            if Instant::now() > until {
                record.line("the nodes are not ready");
                Node::end_all(nodes);
                std::process::exit(2);
            }
            thread::sleep(Duration::from_millis(50));
        }
        // A leader is elected, and the address answers know all nodes.
        thread::sleep(Duration::from_millis(2_500));
        record.line("the nodes are ready");
    }

    pub fn end_all(nodes: &[Node]) {
        for node in nodes {
            node.wait_or_kill(Duration::ZERO);
        }
    }

    pub fn is_ready(&self) -> bool {
        call(self.ready, "GET", "/api/readiness", "", b"", Duration::from_secs(1))
            .is_ok_and(|answer| answer.status() == 200)
    }
}

/// A script that fails leaves no process behind.
impl Drop for Node {
    fn drop(&mut self) {
        self.wait_or_kill(Duration::ZERO);
    }
}

/// Sends a request on a new channel and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let head = format!("{method} {target} HTTP/1.1\r\nHost: lab.example\r\nContent-Length: {}\r\n{headers}\r\n", body.len());
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &mut answer)?;
    Ok(answer)
}

/// Finds ports that are free on the loopback addresses of a subnet: the first of five in a row.
pub fn free_ports(subnet: u8) -> u16 {
    let pid = std::process::id();
    for attempt in 0..200_u32 {
        let first = 20_000 + ((pid * 7 + attempt * 13) % 1_000) as u16 * 10;
        let addresses = (1..=4_u8).flat_map(|n| (0..5).map(move |o| (n, first + o)));
        if addresses.clone().all(|(n, p)| TcpListener::bind(format!("127.{subnet}.0.{n}:{p}")).is_ok()) {
            return first;
        }
    }
    panic!("no free ports");
}

static NEXT: AtomicU64 = AtomicU64::new(1);
pub static STOP: AtomicBool = AtomicBool::new(false);

pub fn next_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst))
}
