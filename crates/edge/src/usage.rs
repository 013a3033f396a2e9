//! Counts the requests of organisations that began to run, and writes the counts to the store.
//!
//! The holder of the duty adds up the rows of all nodes ([`crate::duty`]).

use crate::clock;
use crate::context::NodeContext;
use crate::duty::usage_report;
use crate::routing::Selection;
use crate::settings::Settings;
use crate::storage::{self, MAX_TXN_ROWS, USAGE};
use dogwoodlb_config::Organisation;
use dogwoodlb_duty::{Meter, TallyWrite, WallClock};
use dogwoodlb_external::store::{Outcome, Txn};
use dogwoodlb_types::{id, Instant};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::sleep;

/// The interval between two looks at the counts.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The minimum interval between two writes of a node.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum rate of writes for windows that have not ended, over all nodes.
const MAX_WRITES_PER_S: u32 = 100;
/// A copy that was not refused within this time counts as begun: the report of its window may be
/// decided before its response. Replicas refuse requests before they work on them, and nodes write
/// counts about 1 s after the end of a window, which is decided 4 s after its end.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(2);
/// The assumed latency to a replica is at most this, one way. Regions are 12 ms apart.
const MAX_ONE_WAY: Duration = Duration::from_millis(20);
/// The number of replicas whose latency is known at most.
const MAX_KNOWN_LATENCIES: usize = 4_096;

/// Counts requests by organisation and reporting window.
pub(crate) struct UsageMeter {
    /// `None` if no usage is reported.
    meter: Option<RefCell<Meter>>,
    clock: RefCell<WallClock>,
    /// The shortest time of each replica from a request to the head of its response.
    latencies: RefCell<HashMap<SocketAddr, Duration>>,
    /// The requests that may not be counted yet.
    running: RefCell<Vec<Weak<RunningRequest>>>,
    late: Cell<u64>,
}

impl UsageMeter {
    pub(crate) fn new(settings: &Settings) -> Self {
        let schedule = settings.provider.as_ref().and_then(usage_report::schedule);
        Self {
            meter: schedule.map(|schedule| RefCell::new(Meter::new(schedule))),
            clock: RefCell::default(),
            latencies: RefCell::default(),
            running: RefCell::default(),
            late: Cell::new(0),
        }
    }

    /// Starts to observe a request of an organisation. It is counted once, whatever the number of
    /// replicas that get it. Without an organisation it is not counted.
    pub(crate) fn observe(self: &Rc<Self>, organisation: Option<&Organisation>) -> RequestUsage {
        let counted = organisation.filter(|_| self.meter.is_some());
        let request = counted.map(|organisation| {
            let request = Rc::new(RunningRequest {
                organisation: organisation.name.clone(),
                copies: RefCell::default(),
                is_counted: Cell::new(false),
            });
            self.running.borrow_mut().push(Rc::downgrade(&request));
            request
        });
        RequestUsage {
            meter: self.clone(),
            request,
        }
    }

    /// Counts the requests that run for longer than a refusal takes, and forgets those that have
    /// ended.
    fn count_running(&self) {
        let now = clock::now();
        self.running.borrow_mut().retain(|request| {
            let request = request.upgrade();
            request.is_some_and(|request| {
                if request.is_unrefused(now) {
                    self.count(&request);
                }
                !request.is_counted.get()
            })
        });
    }

    /// Counts a request, unless it is counted already or all of its copies were refused.
    fn count(&self, request: &RunningRequest) {
        let copies = request.copies.borrow();
        let began = copies
            .iter()
            .map(|copy| copy.written_at + self.one_way(copy.address));
        if let Some(at) = began.min().filter(|_| !request.is_counted.get()) {
            request.is_counted.set(true);
            self.on_begin(&request.organisation, at);
        }
    }

    /// Counts a request of an organisation that began to run at a time.
    fn on_begin(&self, organisation: &str, at: Instant) {
        self.unix_ms();
        let unix_ms = self.clock.borrow().at(at);
        let Some(meter) = &self.meter else {
            return;
        };
        if !meter.borrow_mut().count(organisation, unix_ms) {
            self.late.set(self.late.get() + 1);
        }
    }

    /// Returns the steadied wall clock.
    pub(crate) fn unix_ms(&self) -> u64 {
        let mut clock = self.clock.borrow_mut();
        clock.read(clock::wall_clock_ms(), clock::now())
    }

    fn one_way(&self, replica: SocketAddr) -> Duration {
        let latencies = self.latencies.borrow();
        let latency = latencies.get(&replica).copied().unwrap_or_default();
        (latency / 2).min(MAX_ONE_WAY)
    }

    fn on_head(&self, replica: SocketAddr, took: Duration) {
        let mut latencies = self.latencies.borrow_mut();
        if latencies.len() >= MAX_KNOWN_LATENCIES {
            latencies.clear();
        }
        let latency = latencies.entry(replica).or_insert(took);
        *latency = took.min(*latency);
    }
}

/// A request of an organisation, which is counted once, at the time when the first replica began to
/// run it.
struct RunningRequest {
    organisation: String,
    copies: RefCell<Vec<SentCopy>>,
    is_counted: Cell<bool>,
}

/// A copy of the request that was written to a replica and not refused. No two copies go to one
/// replica.
struct SentCopy {
    replica: id::Upstream,
    address: SocketAddr,
    written_at: Instant,
}

impl RunningRequest {
    /// Returns whether a copy was written so long ago that it is not refused any more.
    fn is_unrefused(&self, now: Instant) -> bool {
        let copies = self.copies.borrow();
        let mut ages = copies
            .iter()
            .map(|copy| now.saturating_since(copy.written_at));
        ages.any(|age| age >= MAX_REFUSAL_TIME)
    }
}

/// Observes a request, and counts it at the latest when it is dropped.
pub(crate) struct RequestUsage {
    meter: Rc<UsageMeter>,
    /// `None` if the request is not counted.
    request: Option<Rc<RunningRequest>>,
}

impl RequestUsage {
    /// Takes in that a copy is written to a replica now. An earlier write to it has failed.
    pub(crate) fn on_write(&self, selection: &Selection) {
        self.on_not_run(selection);
        if let Some(request) = &self.request {
            request.copies.borrow_mut().push(SentCopy {
                replica: selection.replica.clone(),
                address: selection.address,
                written_at: clock::now(),
            });
        }
    }

    /// Takes in that a copy was not sent, or that its replica did not run it.
    pub(crate) fn on_not_run(&self, selection: &Selection) {
        if let Some(request) = &self.request {
            let mut copies = request.copies.borrow_mut();
            copies.retain(|copy| copy.replica != selection.replica);
        }
    }

    /// Takes in the head of any response to a copy.
    pub(crate) fn on_head(&self, selection: &Selection) {
        let Some(request) = &self.request else {
            return;
        };
        let copies = request.copies.borrow();
        let copy = copies.iter().find(|copy| copy.replica == selection.replica);
        if let Some(copy) = copy {
            let took = clock::now().saturating_since(copy.written_at);
            self.meter.on_head(copy.address, took);
        }
    }
}

impl Drop for RequestUsage {
    /// Counts the request, unless all of its copies were refused. A copy without a response counts
    /// as begun, also if its response is not waited for any more.
    fn drop(&mut self) {
        if let Some(request) = &self.request {
            self.meter.count(request);
        }
    }
}

/// Writes the counts until the task is aborted.
pub(crate) async fn run(context: Rc<NodeContext>, boot: u64) {
    let mut written_at = clock::now();
    loop {
        sleep(POLL_INTERVAL).await;
        let Some(meter) = &context.usage.meter else {
            return;
        };
        context.usage.count_running();
        count_late(&context, meter);
        let since = clock::now().saturating_since(written_at);
        if is_write_due(&context, meter, since) {
            written_at = clock::now();
            write(&context, meter, boot).await;
        }
    }
}

fn count_late(context: &NodeContext, meter: &RefCell<Meter>) {
    let unix_ms = context.usage.unix_ms();
    let undecided = usage_report::undecided(&context.cluster).unwrap_or(0);
    let dropped = meter.borrow_mut().advance(undecided, unix_ms);
    let late = context.usage.late.take() + dropped;
    if late > 0 {
        context.metrics.usage_late_counts.inc_by(late);
        tracing::warn!(late, undecided, "usage_counts_late");
    }
}

/// Returns whether the counts should be written, `since` the last write.
fn is_write_due(context: &NodeContext, meter: &RefCell<Meter>, since: Duration) -> bool {
    let nodes = u32::try_from(context.peers.node_count()).unwrap_or(u32::MAX);
    let interval = MIN_WRITE_INTERVAL.max(Duration::from_secs(1) * nodes / MAX_WRITES_PER_S);
    let has_ended = meter.borrow().has_unwritten_end(context.usage.unix_ms());
    // A node that leaves writes at once, since it has no other time to do so.
    let is_urgent = context.peers.is_leaving() || (has_ended && since >= MIN_WRITE_INTERVAL);
    is_urgent || since >= interval
}

async fn write(context: &NodeContext, meter: &RefCell<Meter>, boot: u64) {
    let mut writes = meter.borrow().unwritten();
    writes.truncate(MAX_TXN_ROWS);
    if writes.is_empty() {
        return;
    }
    let key = |write: &TallyWrite| storage::tally_key(write.window, &context.settings.node, boot);
    let mut txn = Txn::default();
    for write in &writes {
        match postcard::to_stdvec(&write.counts) {
            Ok(value) => {
                let checked = txn.check(USAGE, &key(write), write.expected_version);
                txn = checked.put(USAGE, &key(write), value);
            }
            Err(error) => {
                tracing::error!(%error, "usage_counts_not_encoded");
                return;
            }
        }
    }
    let outcome = context.storage.commit(&txn).await;
    let mut meter = meter.borrow_mut();
    match outcome {
        Ok(Outcome::Done { version, .. }) => {
            for write in &writes {
                meter.on_written(write, version);
            }
        }
        // An earlier write whose reply was lost.
        Ok(Outcome::Conflict { rows, .. }) => {
            for write in &writes {
                let row = rows
                    .iter()
                    .find(|row| row.key == key(write) && !row.removed);
                meter.on_conflict(write.window, row.map_or(0, |row| row.version));
            }
        }
        Err(error) => tracing::debug!(%error, "usage_counts_not_written"),
    }
}
