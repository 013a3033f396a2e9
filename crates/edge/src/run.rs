//! One run of an item on a replica: the request and the stream of its answer.

use crate::clock;
use crate::headers::{is_not_run, text};
use crate::protocol::{HeaderNames, Protocol};
use bytes::Bytes;
use dogwoodlb_batch::{Item, Planner, RunEnd, WorkId};
use dogwoodlb_client::Client;
use hyper::header::{HeaderName, HeaderValue, HOST};
use hyper::{Method, Request, StatusCode};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// How long a replica may take to begin its answer; the planner watches the events.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The largest event.
const EVENT_BYTES: usize = 256 * 1024;
/// The largest body of a refusal.
const REFUSAL_BYTES: usize = 64 * 1024;

/// Where an item runs.
pub(crate) struct Target {
    pub(crate) replica: String,
    pub(crate) address: SocketAddr,
    pub(crate) host: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// As the planner has to know it.
    Stop(RunEnd),
    /// The replica says that the item can never be done.
    Impossible,
    /// The replica holds another version than the planner believes.
    Version(u64),
}

/// Runs an item; events go to the planner as they arrive.
pub(crate) async fn run(
    client: &Client,
    protocol: &dyn Protocol,
    planner: &RefCell<Planner>,
    work: WorkId,
    item: &Item,
    target: &Target,
) -> End {
    let headers = protocol.headers();
    let last = planner.borrow().progress(work).map_or(0, |p| p.last_event);
    let request = request(headers, item, target, last);
    let answer = match timeout(HEAD_TIMEOUT, client.send(target.address, request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => {
            tracing::info!(item = item.id, replica = target.replica, %error, "run_failed");
            return End::Stop(RunEnd::Broken);
        }
        Err(_) => {
            tracing::info!(item = item.id, replica = target.replica, "run_silent");
            client.close_idle(target.address);
            return End::Stop(RunEnd::Broken);
        }
    };
    judge(headers, planner, work, item, target, answer).await
}

fn request(headers: &HeaderNames, item: &Item, target: &Target, last: u64) -> Request<Bytes> {
    let mut request = Request::new(Bytes::from(item.body.clone()));
    *request.method_mut() = Method::POST;
    match item.path.parse() {
        Ok(path) => *request.uri_mut() = path,
        Err(error) => tracing::warn!(item = item.id, %error, "path_refused"),
    }
    let map = request.headers_mut();
    let mut set = |name: HeaderName, value: &str| match HeaderValue::from_str(value) {
        Ok(value) => {
            map.insert(name, value);
        }
        Err(error) => tracing::warn!(item = item.id, %name, %error, "header_refused"),
    };
    for (name, value) in &item.headers {
        match name.parse() {
            Ok(name) => set(name, value),
            Err(_) => tracing::warn!(item = item.id, name, "header_refused"),
        }
    }
    set(HOST, &target.host);
    set(headers.request_id.clone(), &item.id);
    set(headers.instance.clone(), &target.replica);
    if last > 0 {
        set(headers.last_event.clone(), &last.to_string());
    }
    request
}

async fn judge(
    headers: &HeaderNames,
    planner: &RefCell<Planner>,
    work: WorkId,
    item: &Item,
    target: &Target,
    mut answer: dogwoodlb_client::Response,
) -> End {
    let echoed = text(&answer.head.headers, &headers.request_id);
    if echoed.is_some_and(|echoed| echoed != item.id) {
        tracing::warn!(item = item.id, replica = target.replica, "answer_of_other");
        return End::Stop(RunEnd::Broken);
    }
    let status = answer.head.status;
    if status != StatusCode::OK {
        let not_run = is_not_run(headers, &answer.head);
        // Read to its end, so that the connection can be used again.
        let _ = answer.body.collect(REFUSAL_BYTES).await;
        tracing::debug!(item = item.id, replica = target.replica, %status, not_run, "run_refused");
        return match status {
            _ if not_run => End::Stop(RunEnd::Refused),
            StatusCode::UNPROCESSABLE_ENTITY => End::Impossible,
            StatusCode::INTERNAL_SERVER_ERROR => End::Stop(RunEnd::Failed),
            _ => End::Stop(RunEnd::Broken),
        };
    }
    let version = text(&answer.head.headers, &headers.weight_version);
    let Some(version) = version.and_then(|version| version.trim().parse().ok()) else {
        tracing::warn!(item = item.id, replica = target.replica, "version_missing");
        return End::Stop(RunEnd::Broken);
    };
    let mut events = Events::new(headers.weight_version.clone(), version);
    loop {
        match answer.body.next().await {
            Ok(Some(data)) => {
                for event in events.push(&data) {
                    let mut planner = planner.borrow_mut();
                    let now = clock::now();
                    if !planner.on_event(work, event.id, &event.data, event.version, now) {
                        tracing::info!(
                            item = item.id,
                            replica = target.replica,
                            event = event.id,
                            version = event.version,
                            "event_refused"
                        );
                        return End::Version(event.version);
                    }
                }
            }
            Ok(None) if events.is_between() => return End::Stop(RunEnd::Whole),
            Ok(None) => return End::Stop(RunEnd::Broken),
            Err(error) => {
                tracing::info!(item = item.id, replica = target.replica, %error, "run_broken");
                return End::Stop(RunEnd::Broken);
            }
        }
        if events.pending.len() > EVENT_BYTES {
            return End::Stop(RunEnd::Broken);
        }
    }
}

/// One event of a stream.
struct Event {
    id: u64,
    data: String,
    version: u64,
}

/// Splits a stream into events.
struct Events {
    pending: Vec<u8>,
    version_field: HeaderName,
    version: u64,
}

impl Events {
    fn new(version_field: HeaderName, version: u64) -> Self {
        Self {
            pending: Vec::new(),
            version_field,
            version,
        }
    }

    /// Returns whether no event has begun.
    fn is_between(&self) -> bool {
        self.pending.is_empty()
    }

    fn push(&mut self, data: &[u8]) -> Vec<Event> {
        self.pending.extend_from_slice(data);
        let mut events = Vec::new();
        while let Some(end) = self.pending.windows(2).position(|pair| pair == b"\n\n") {
            let block: Vec<u8> = self.pending.drain(..end + 2).collect();
            events.extend(self.parse(&String::from_utf8_lossy(&block)));
        }
        events
    }

    fn parse(&mut self, block: &str) -> Option<Event> {
        let mut id = None;
        let mut data: Option<String> = None;
        for line in block.lines() {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match name {
                "id" => id = value.parse().ok(),
                "data" => match &mut data {
                    Some(data) => {
                        data.push('\n');
                        data.push_str(value);
                    }
                    None => data = Some(value.to_owned()),
                },
                name if name == self.version_field.as_str() => {
                    self.version = value.trim().parse().unwrap_or(self.version);
                }
                _ => {}
            }
        }
        Some(Event {
            id: id?,
            data: data.unwrap_or_default(),
            version: self.version,
        })
    }
}

/// Keeps the task of a run from outliving its owner.
pub(crate) struct Guard(pub(crate) tokio::task::AbortHandle);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The running tasks of a coordinator.
pub(crate) type Guards = Rc<RefCell<std::collections::HashMap<WorkId, Guard>>>;
