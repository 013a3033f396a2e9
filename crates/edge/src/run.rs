//! Runs one item on a replica: sends the request and passes its events to the planner.

use crate::clock;
use crate::context::NodeContext;
use crate::correlation::{correlate, SentRequest, Unanswered};
use crate::departure;
use crate::event;
use crate::headers::header_str;
use crate::identity::Forwarding;
use crate::permit::{Permit, RequestKind};
use crate::protocol::HeaderNames;
use bytes::Bytes;
use dogwoodlb_batch::{Item, Planner, RunEnd, WorkId};
use hyper::header::{HeaderName, HeaderValue, HOST};
use hyper::{Method, Request, StatusCode};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The maximum size of an event, with the comments before it.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// The lowest priority that engines know; 0 is the highest.
const LOWEST_PRIORITY: u32 = 9;

/// The replica on which an item runs.
pub(crate) struct Target {
    pub(crate) replica: String,
    /// The start of the replica's process, which tells its incarnations apart.
    pub(crate) born_ms: i64,
    pub(crate) address: SocketAddr,
    pub(crate) host: String,
    /// The organisation of the batch, if any.
    pub(crate) organisation: Option<String>,
}

/// How a run ended, as seen by [`run_item`]. The coordinator reduces it to the [`RunEnd`] that it
/// reports to the planner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunResult {
    /// The run ended in a way that is reported to the planner unchanged.
    Ended(RunEnd),
    /// The replica rejected the item as unprocessable, so retries are pointless. It is reported as
    /// [`RunEnd::Failed`], and the item is abandoned whatever attempts are left.
    Unprocessable,
    /// The planner rejected an event because it is out of sequence, its weight version violates the
    /// constraints of the batch, or the item has no run any more. Holds that weight version. It is
    /// reported as [`RunEnd::Refused`] if the version is too old, or else as
    /// [`RunEnd::Interrupted`].
    EventRejected(u64),
}

/// Runs an item and passes its events to the planner as they arrive. It has no time-out, also not for
/// the response head: the planner stops a run that is without an event for too long.
pub(crate) async fn run_item(
    context: &NodeContext,
    planner: &RefCell<Planner>,
    work: WorkId,
    item: &Item,
    target: &Target,
    permit: &Permit,
) -> RunResult {
    let headers = context.protocol.headers();
    let last_event = planner.borrow().progress(work).map_or(0, |p| p.last_event);
    let priority = planner.borrow().priority(work);
    let mut request = build_request(headers, item, target, last_event, priority);
    let organisation = target.organisation.as_deref();
    let forwarding = Forwarding::of_batch(organisation, context.cluster.has_organisations());
    forwarding.apply(request.headers_mut(), headers);
    let may_send = || {
        let cluster = &context.cluster;
        let accepts_work = cluster.accepts_work(&target.replica, target.born_ms);
        accepts_work && permit.allows(RequestKind::Run, &item.id)
    };
    let client = context.client.checked(&may_send);
    let response = match client.send(target.address, request).await {
        Ok(response) => response,
        Err(dogwoodlb_client::Error::Revoked { .. }) => {
            return RunResult::Ended(RunEnd::Stopped);
        }
        Err(error) => {
            tracing::info!(item = item.id, replica = target.replica, %error, "run_failed");
            return RunResult::Ended(RunEnd::Interrupted);
        }
    };
    read_response(context, planner, work, item, target, response).await
}

fn build_request(
    headers: &HeaderNames,
    item: &Item,
    target: &Target,
    last_event: u64,
    priority: Option<u32>,
) -> Request<Bytes> {
    let mut request = Request::new(Bytes::from(item.body.clone()));
    *request.method_mut() = Method::POST;
    match item.path.parse() {
        Ok(path) => *request.uri_mut() = path,
        Err(error) => tracing::warn!(item = item.id, %error, "path_invalid"),
    }
    let map = request.headers_mut();
    let mut set = |name: HeaderName, value: &str| match HeaderValue::from_str(value) {
        Ok(value) => {
            map.insert(name, value);
        }
        Err(error) => tracing::warn!(item = item.id, %name, %error, "header_invalid"),
    };
    for (name, value) in &item.headers {
        match name.parse() {
            // Only a replica may set it.
            Ok(name) if name == headers.leaving => {}
            Ok(name) => set(name, value),
            Err(_) => tracing::warn!(item = item.id, name, "header_invalid"),
        }
    }
    set(HOST, &target.host);
    set(headers.request_id.clone(), &item.id);
    set(headers.instance.clone(), &target.replica);
    if let Some(priority) = priority {
        let priority = priority.min(LOWEST_PRIORITY).to_string();
        set(headers.priority.clone(), &priority);
    }
    if last_event > 0 {
        set(headers.last_event.clone(), &last_event.to_string());
    }
    request
}

async fn read_response(
    context: &NodeContext,
    planner: &RefCell<Planner>,
    work: WorkId,
    item: &Item,
    target: &Target,
    response: dogwoodlb_client::Response,
) -> RunResult {
    let headers = context.protocol.headers();
    let observe = |head| {
        let cluster = &context.cluster;
        departure::observe(cluster, headers, &target.replica, target.born_ms, head);
    };
    let request = SentRequest {
        id: &item.id,
        replica: &target.replica,
    };
    let mut response = match correlate(headers, request, response).await {
        Ok(response) => response,
        Err(Unanswered::NotRun(head)) => {
            observe(&head);
            let status = head.status;
            tracing::debug!(item = item.id, replica = target.replica, %status, "run_refused");
            return RunResult::Ended(RunEnd::Refused);
        }
        Err(Unanswered::Unknown) => return RunResult::Ended(RunEnd::Interrupted),
    };
    observe(&response.head);
    let status = response.head.status;
    if status != StatusCode::OK {
        response.body.discard().await;
        tracing::debug!(item = item.id, replica = target.replica, %status, "run_error_status");
        return match status {
            StatusCode::UNPROCESSABLE_ENTITY => RunResult::Unprocessable,
            StatusCode::INTERNAL_SERVER_ERROR => RunResult::Ended(RunEnd::Failed),
            _ => RunResult::Ended(RunEnd::Interrupted),
        };
    }
    let version = header_str(&response.head.headers, &headers.weight_version);
    let Some(version) = version.and_then(|version| version.trim().parse().ok()) else {
        tracing::warn!(
            item = item.id,
            replica = target.replica,
            "weight_version_missing"
        );
        return RunResult::Ended(RunEnd::Interrupted);
    };
    let mut events = event::Decoder::new(headers.weight_version.clone(), version);
    loop {
        match response.body.next().await {
            Ok(Some(data)) => events.push(&data),
            Ok(None) if events.pending_bytes() == 0 => return RunResult::Ended(RunEnd::Completed),
            Ok(None) => return RunResult::Ended(RunEnd::Interrupted),
            Err(error) => {
                tracing::info!(item = item.id, replica = target.replica, %error, "run_stream_failed");
                return RunResult::Ended(RunEnd::Interrupted);
            }
        }
        if let Err(result) = record_events(planner, work, item, target, &mut events) {
            return result;
        }
        if events.bytes_since_event() > MAX_EVENT_BYTES {
            tracing::info!(
                item = item.id,
                replica = target.replica,
                "run_event_too_long"
            );
            return RunResult::Ended(RunEnd::Interrupted);
        }
    }
}

/// Passes the received events to the planner, or returns the result of a run that can't go on.
fn record_events(
    planner: &RefCell<Planner>,
    work: WorkId,
    item: &Item,
    target: &Target,
    events: &mut event::Decoder,
) -> Result<(), RunResult> {
    let interrupted = |error| {
        tracing::warn!(item = item.id, replica = target.replica, %error, "run_stream_malformed");
        RunResult::Ended(RunEnd::Interrupted)
    };
    while let Some(event) = events.next_event().map_err(interrupted)? {
        let mut planner = planner.borrow_mut();
        let now = clock::now();
        if !planner.on_event(work, event.id, &event.data, event.version, now) {
            tracing::info!(
                item = item.id,
                replica = target.replica,
                event = event.id,
                version = event.version,
                "event_rejected"
            );
            return Err(RunResult::EventRejected(event.version));
        }
    }
    Ok(())
}

/// Aborts a task when dropped.
pub(crate) struct AbortOnDrop(pub(crate) tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The tasks of a coordinator's runs.
pub(crate) type RunTasks = Rc<RefCell<std::collections::HashMap<WorkId, AbortOnDrop>>>;
