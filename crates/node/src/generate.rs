//! Model calls: choice of a replica, retries and continuation.

use crate::completion::{Output, Prompt};
use crate::group::{Demand, Group, Slot};
use crate::shared::Shared;
use dogwoodlb_external::engine::{Call, Report};
use dogwoodlb_external::{Category, Cause, Error};
use dogwoodlb_http::sse::DONE;
use dogwoodlb_limit::Signal;
use dogwoodlb_route::Outcome;
use dogwoodlb_types::{id, Class, Code, Instant, Ran, Refusal};
use std::ops::ControlFlow;
use std::time::Duration;

/// Attempts of one request, the first included.
const ATTEMPTS: u32 = 3;

/// An engine that sends nothing for this long has failed; it covers its queue as well.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// When a caller should try again after no engine took its call.
const RETRY: Duration = Duration::from_secs(1);

/// A model call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job<'a> {
    pub(crate) request: &'a str,
    pub(crate) class: Class,
    pub(crate) priority: usize,
    pub(crate) deadline: Instant,
    pub(crate) prompt: &'a Prompt,
    /// Whether a broken answer may be continued on another engine. A continued answer has no
    /// true label for its first part, so samples are never continued.
    pub(crate) resume: bool,
}

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) output: Output,
    pub(crate) report: Report,
    /// Whether more than one engine produced the text, so that the report covers only its end.
    pub(crate) continued: bool,
}

/// What one attempt came to.
struct Attempt {
    result: Result<Report, Error>,
    upstream: Option<id::Upstream>,
}

impl Shared {
    /// Carries out a model call and forwards each event as it comes.
    pub(crate) fn generate(
        &self,
        job: &Job<'_>,
        on_event: &mut dyn FnMut(&str) -> ControlFlow<()>,
    ) -> Result<Answer, Refusal> {
        crate::lock(&self.budget).on_request();
        let group = self.upstreams.model(&job.prompt.model)?;
        let mut output = Output::default();
        let mut failed = Vec::new();
        // Whether an engine may have executed an attempt.
        let mut ran = false;
        for number in 1.. {
            let before = output.tokens;
            let attempt = self
                .attempt(&group, job, number, &failed, &mut output, on_event)
                .map_err(|refusal| after(refusal, ran))?;
            let error = match attempt.result {
                Ok(report) => {
                    return Ok(Answer {
                        output,
                        report,
                        continued: before > 0,
                    })
                }
                Err(error) => error,
            };
            self.record_failure(job, attempt.upstream.as_ref(), &error);
            failed.extend(attempt.upstream);
            ran |= !matches!(error.classify(), Category::NotSent | Category::Refused);
            let lost = output.tokens > 0 && !job.resume;
            let hopeless = lost
                || number >= ATTEMPTS
                || is_callers_fault(&error)
                || error.classify() == Category::Cancelled;
            if hopeless || self.now() >= job.deadline || !self.try_retry() {
                return Err(refusal(&error, ran));
            }
        }
        Err(self.violated("attempts", "the attempts of a request are exhausted"))
    }

    fn attempt(
        &self,
        group: &Group,
        job: &Job<'_>,
        number: u32,
        failed: &[id::Upstream],
        output: &mut Output,
        on_event: &mut dyn FnMut(&str) -> ControlFlow<()>,
    ) -> Result<Attempt, Refusal> {
        let demand = Demand {
            class: job.class,
            prefix: Some(job.prompt.prefix()),
            exclude: failed,
            deadline: job.deadline,
        };
        let mut slot = group.enter(&demand)?;
        let Some(body) = job.prompt.body(job.priority, output) else {
            return Ok(finish(job, output, on_event));
        };
        let bytes = body.len() + job.prompt.answer_bytes();
        self.spend(slot.locality(), job.class, bytes, job.deadline)?;
        // Each attempt has an id of its own, so that a late answer can't be taken for another.
        let request = format!("{}.{number}", job.request);
        let call = Call {
            upstream: slot.address,
            path: job.prompt.kind.path(),
            request: &request,
            body: &body,
            idle_timeout: IDLE_TIMEOUT,
            timeout: job.deadline.saturating_since(self.now()),
        };
        let sent = self.now();
        let mut first = None;
        let result = self.platform.engine.generate(&call, &mut |event| {
            first.get_or_insert_with(|| self.now());
            output.push(event);
            on_event(event)
        });
        let first = first.map(|first: Instant| first.saturating_since(sent));
        settle(&mut slot, &result, first);
        Ok(Attempt {
            result,
            upstream: slot.upstream().cloned(),
        })
    }

    fn record_failure(&self, job: &Job<'_>, upstream: Option<&id::Upstream>, error: &Error) {
        self.recorder
            .record(self.timestamp(), "model_call_failed", |event| {
                let event = event.request(job.request).with("error", error);
                match upstream {
                    Some(upstream) => event.with("upstream", upstream),
                    None => event,
                }
            });
    }
}

/// Ends an answer whose engine failed after the last token, before its report.
fn finish(
    job: &Job<'_>,
    output: &Output,
    on_event: &mut dyn FnMut(&str) -> ControlFlow<()>,
) -> Attempt {
    // A reader that stops here has the whole answer.
    let _ = on_event(DONE);
    let report = Report {
        request_id: job.request.to_owned(),
        spans: Vec::new(),
        tokens: output.tokens,
        queue: 0,
    };
    Attempt {
        result: Ok(report),
        upstream: None,
    }
}

fn settle(slot: &mut Slot<'_>, result: &Result<Report, Error>, first: Option<Duration>) {
    match result {
        Ok(_) => {
            slot.set_outcome(Outcome::Success);
            if let Some(first) = first {
                slot.set_signal(Signal::Latency(first));
            }
        }
        Err(error) => match error.classify() {
            Category::Cancelled => {}
            _ if is_callers_fault(error) => slot.set_outcome(Outcome::Success),
            // An engine that answers "not now" is alive.
            Category::Refused => slot.set_signal(Signal::Overload),
            _ => {
                slot.set_outcome(Outcome::Failure);
                slot.set_signal(Signal::Overload);
            }
        },
    }
}

/// Marks a refusal that follows an attempt that may have run.
fn after(mut refusal: Refusal, ran: bool) -> Refusal {
    if ran {
        refusal.ran = Ran::MayHaveRun;
    }
    refusal
}

/// Returns whether the engine found the request itself at fault, so that others will too.
fn is_callers_fault(error: &Error) -> bool {
    matches!(error.cause(), Cause::Status(400 | 404 | 413 | 422))
}

fn refusal(error: &Error, ran: bool) -> Refusal {
    let message = error.to_string();
    let refusal = match (error.classify(), error.cause()) {
        _ if is_callers_fault(error) => Refusal::not_run(Code::BadRequest, message),
        (Category::NotSent, _) => Refusal::not_run(Code::NoUpstream, message).retry_after(RETRY),
        (Category::Refused, _) => Refusal::not_run(Code::Overloaded, message).retry_after(RETRY),
        (_, Cause::Timeout(_)) => Refusal::may_have_run(Code::DeadlineExceeded, message),
        _ => Refusal::may_have_run(Code::UpstreamFailed, message),
    };
    after(refusal, ran)
}
