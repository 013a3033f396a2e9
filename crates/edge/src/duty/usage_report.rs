//! The duty to report the usage of each window to the provider.

use super::{Call, CallOutcome, Duty, Plan};
use crate::cluster::ClusterState;
use crate::context::NodeContext;
use crate::settings::Provider;
use crate::storage::{self, MAX_TXN_ROWS, USAGE};
use dogwoodlb_duty::{add_up, Counts, Progress, Schedule, Task, Windows};
use dogwoodlb_external::store::Txn;
use dogwoodlb_external::Error;
use hyper::StatusCode;
use std::rc::Rc;
use std::time::Duration;

/// The name of the duty in the settings and of its row.
const NAME: &str = "usage_report";
/// The time after the end of a window at which its report is decided. Nodes write their last counts
/// about 1 s after the end, and requests that began before it may take 3 s.
const DECIDE_AFTER: Duration = Duration::from_secs(4);
/// The share of the time until a report is due after which it is decided at the latest.
const DECIDE_SHARE: f64 = 0.4;
/// How long the rows of a reported window are kept.
const KEEP: Duration = Duration::from_secs(60);
/// How long the store must have been reachable before a report is decided, so that the other nodes
/// have written the counts that they kept in an outage.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);
/// The number of refusals with a permanent status after which a report is given up: one that the
/// provider does not take must not hold up all later ones.
const MAX_REJECTIONS: u32 = 5;

/// Returns the times of the reports, or `None` if the node has not the duty to send any.
pub(crate) fn schedule(provider: &Provider) -> Option<Schedule> {
    let has_duty = provider.duties.iter().any(|duty| duty == NAME);
    let length = provider.usage_window_s.filter(|_| has_duty)?;
    if !(0.1..=1e6).contains(&length) {
        tracing::error!(length, "usage_window_invalid");
        return None;
    }
    let due = provider.usage_due_s.unwrap_or(f64::MAX).clamp(0.0, 1e6);
    Some(Schedule {
        length: Duration::from_secs_f64(length),
        decide_after: DECIDE_AFTER.min(Duration::from_secs_f64(due * DECIDE_SHARE)),
        keep: KEEP,
    })
}

/// Returns the first window without a decided report, as known from the duty's row.
pub(crate) fn undecided(cluster: &ClusterState) -> Option<u64> {
    let duties = cluster.duties.borrow();
    let record = &duties.get(NAME)?.value;
    let progress: Progress = postcard::from_bytes(&record.progress).ok()?;
    Some(progress.undecided)
}

/// A report that is sent.
struct Report {
    window: u64,
    counts: Counts,
    attempt: u32,
    rejections: u32,
}

/// The duty to report the usage.
pub(crate) struct UsageReport {
    context: Rc<NodeContext>,
    schedule: Schedule,
    windows: Option<Windows>,
    report: Option<Report>,
}

impl Duty for UsageReport {
    fn name(&self) -> &str {
        NAME
    }

    fn kind(&self) -> &'static str {
        NAME
    }

    async fn plan(&mut self, progress: Option<&[u8]>) -> Option<Plan> {
        let unix_ms = self.context.usage.unix_ms();
        let Some(stored) = progress.and_then(|bytes| postcard::from_bytes(bytes).ok()) else {
            self.windows = None;
            return new_plan(self.schedule.first_progress(unix_ms), Txn::default(), None);
        };
        let new = || Windows::new(self.schedule, stored);
        let windows = self.windows.get_or_insert_with(new);
        windows.on_progress(stored);
        let planned = match windows.next(unix_ms) {
            Task::Send(window) => self.plan_repetition(window).await,
            Task::Decide(window) => self.plan_decision(window).await,
            Task::Remove(window) => self.remove(window).await.map(|()| None),
            Task::Wait => return None,
        };
        planned.unwrap_or_else(|error| {
            tracing::info!(duty = NAME, %error, "duty_not_planned");
            None
        })
    }

    fn on_outcome(&mut self, fence: u64, outcome: &CallOutcome) {
        let (Some(report), Some(windows)) = (&mut self.report, &mut self.windows) else {
            return;
        };
        tracing::info!(
            window = report.window,
            organisations = report.counts.len(),
            total = report.counts.values().sum::<u64>(),
            token = fence,
            attempt = report.attempt,
            outcome = outcome.label(),
            cause = outcome.cause(),
            "usage_sent"
        );
        let reports = &self.context.metrics.usage_reports;
        match outcome {
            CallOutcome::Acknowledged => {
                reports.with_label_values(&["acknowledged"]).inc();
                windows.on_acknowledged(report.window);
            }
            CallOutcome::Refused(status) if is_permanent(*status) => {
                report.rejections += 1;
                if report.rejections >= MAX_REJECTIONS {
                    tracing::error!(window = report.window, %status, "usage_rejected");
                    reports.with_label_values(&["rejected"]).inc();
                    windows.on_acknowledged(report.window);
                }
            }
            _ => {}
        }
    }
}

impl UsageReport {
    pub(crate) fn new(context: Rc<NodeContext>, schedule: Schedule) -> Self {
        Self {
            context,
            schedule,
            windows: None,
            report: None,
        }
    }

    /// Plans to send a decided report, with exactly the stored counts.
    async fn plan_repetition(&mut self, window: u64) -> Result<Option<Plan>, Error> {
        let Some(windows) = &mut self.windows else {
            return Ok(None);
        };
        let progress = windows.progress();
        let known = self.report.take().filter(|report| report.window == window);
        let (attempt, rejections) = known.map_or((0, 0), |one| (one.attempt, one.rejections));
        let Some(counts) = read_report(&self.context, window).await? else {
            // Another writer has removed the row. Later windows can still be reported.
            tracing::error!(window, "usage_report_missing");
            windows.on_acknowledged(window);
            return Ok(None);
        };
        let call = self.set_report(window, counts, attempt + 1, rejections);
        Ok(new_plan(progress, Txn::default(), Some(call)))
    }

    /// Plans to decide the report of a window and to send it.
    async fn plan_decision(&mut self, window: u64) -> Result<Option<Plan>, Error> {
        let context = self.context.clone();
        let storage = &context.storage;
        if storage.reachable_for(crate::clock::now()) < SETTLE_TIME {
            return Ok(None);
        }
        let Some(progress) = self
            .windows
            .as_ref()
            .map(|w| w.progress_after_decision(window))
        else {
            return Ok(None);
        };
        // The duty's row was lost after this report was decided.
        if let Some(counts) = read_report(&context, window).await? {
            let call = self.set_report(window, counts, 1, 0);
            return Ok(new_plan(progress, Txn::default(), Some(call)));
        }
        let rows = storage.list(USAGE, &storage::tally_prefix(window)).await?;
        let nodes = rows.len();
        let decoded = rows.iter().filter_map(|row| decode(&row.key, &row.value));
        let counts = add_up(decoded);
        let Ok(value) = postcard::to_stdvec(&counts) else {
            return Ok(None);
        };
        let total: u64 = counts.values().sum();
        let organisations = counts.len();
        tracing::info!(window, organisations, total, nodes, "usage_decided");
        let key = storage::report_key(window);
        let txn = Txn::default().check(USAGE, &key, 0).put(USAGE, &key, value);
        let call = self.set_report(window, counts, 1, 0);
        Ok(new_plan(progress, txn, Some(call)))
    }

    fn set_report(&mut self, window: u64, counts: Counts, attempt: u32, rejections: u32) -> Call {
        let (path, body) = self.context.protocol.encode_usage(window, &counts);
        let call = Call {
            path: path.to_owned(),
            body,
        };
        self.report = Some(Report {
            window,
            counts,
            attempt,
            rejections,
        });
        call
    }

    /// Removes the rows of a window. Nothing reads them any more.
    async fn remove(&mut self, window: u64) -> Result<(), Error> {
        let storage = &self.context.storage;
        let rows = storage.list(USAGE, &storage::tally_prefix(window)).await?;
        let mut keys: Vec<String> = rows.into_iter().map(|row| row.key).collect();
        keys.push(storage::report_key(window));
        for keys in keys.chunks(MAX_TXN_ROWS) {
            let remove = |txn: Txn, key: &String| txn.remove(USAGE, key);
            storage
                .commit(&keys.iter().fold(Txn::default(), remove))
                .await?;
        }
        if let Some(windows) = &mut self.windows {
            windows.on_removed(window);
        }
        Ok(())
    }
}

/// Returns whether a repetition of the call would get the same status.
fn is_permanent(status: StatusCode) -> bool {
    let passing = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_EARLY,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    status.is_client_error() && !passing.contains(&status)
}

fn new_plan(progress: Progress, txn: Txn, call: Option<Call>) -> Option<Plan> {
    match postcard::to_stdvec(&progress) {
        Ok(progress) => Some(Plan {
            progress,
            txn,
            call,
        }),
        Err(error) => {
            tracing::error!(%error, "duty_progress_not_encoded");
            None
        }
    }
}

async fn read_report(context: &NodeContext, window: u64) -> Result<Option<Counts>, Error> {
    let key = storage::report_key(window);
    let row = context.storage.get(USAGE, &key).await?;
    Ok(row.and_then(|row| decode(&row.key, &row.value)))
}

fn decode(key: &str, value: &[u8]) -> Option<Counts> {
    let counts = postcard::from_bytes(value);
    let log = |error: &postcard::Error| tracing::error!(key, %error, "row_not_decoded");
    counts.inspect_err(log).ok()
}
