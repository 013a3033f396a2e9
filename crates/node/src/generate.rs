//! Model calls: replica selection, retries and continuation on another engine.

use crate::completion::{ModelRequest, Output};
use crate::replica_set::{Permit, PermitRequest, ReplicaSet};
use crate::shared::Shared;
use crate::waiter::Waiter;
use dogwoodlb_external::engine::{CompletionRequest, Report};
use dogwoodlb_external::{Category, Cause, Error};
use dogwoodlb_http::sse::DONE;
use dogwoodlb_limit::Signal;
use dogwoodlb_route::Outcome;
use dogwoodlb_types::{id, Class, Code, Execution, Instant, Refusal};
use std::ops::ControlFlow;
use std::time::Duration;

/// Maximum attempts of a request, including the first.
const MAX_ATTEMPTS: u32 = 3;

/// Time without data after which an engine counts as failed; includes its queueing time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Retry delay suggested to callers when no engine accepted the call.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A model call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ModelCall<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) class: Class,
    pub(crate) priority: usize,
    pub(crate) deadline: Instant,
    pub(crate) model_request: &'a ModelRequest,
    /// Whether an interrupted response may be continued on another engine. The weight version of
    /// the first part of a continued response is unknown, so samples are never continued.
    pub(crate) resume: bool,
    pub(crate) waiter: &'a dyn Waiter,
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) output: Output,
    pub(crate) report: Report,
    /// Whether several engines produced the text, in which case `report` covers only the last
    /// part.
    pub(crate) continued: bool,
}

/// The result of one attempt.
struct Attempt {
    result: Result<Report, Error>,
    upstream: Option<id::Upstream>,
}

impl Shared {
    /// Executes a model call with retries and passes each stream event to `on_event`.
    pub(crate) fn generate(
        &self,
        call: &ModelCall<'_>,
        on_event: &mut dyn FnMut(&str) -> ControlFlow<()>,
    ) -> Result<Answer, Refusal> {
        crate::lock(&self.retry_budget).on_request();
        let replica_set = self.upstreams.model(&call.model_request.model)?;
        let mut output = Output::default();
        let mut failed = Vec::new();
        let mut may_have_run = false;
        for number in 1.. {
            let tokens_before = output.tokens;
            let attempt = self
                .attempt(&replica_set, call, number, &failed, &mut output, on_event)
                .map_err(|refusal| mark_may_have_run(refusal, may_have_run))?;
            let error = match attempt.result {
                Ok(report) => {
                    return Ok(Answer {
                        output,
                        report,
                        continued: tokens_before > 0,
                    })
                }
                Err(error) => error,
            };
            self.record_failure(call, attempt.upstream.as_ref(), &error);
            failed.extend(attempt.upstream);
            may_have_run |= !matches!(error.classify(), Category::NotSent | Category::Refused);
            let cannot_resume = output.tokens > 0 && !call.resume;
            let is_final = cannot_resume
                || number >= MAX_ATTEMPTS
                || is_request_error(&error)
                || error.classify() == Category::Cancelled;
            if is_final || self.now() >= call.deadline || !self.try_retry() {
                return Err(to_refusal(&error, may_have_run));
            }
        }
        Err(self.invariant_violated(
            "attempts",
            "attempt loop of a model call ended without a result",
        ))
    }

    fn attempt(
        &self,
        replica_set: &ReplicaSet,
        call: &ModelCall<'_>,
        number: u32,
        failed: &[id::Upstream],
        output: &mut Output,
        on_event: &mut dyn FnMut(&str) -> ControlFlow<()>,
    ) -> Result<Attempt, Refusal> {
        let permit_request = PermitRequest {
            class: call.class,
            prefix_hash: Some(call.model_request.prefix_hash()),
            exclude: failed,
            deadline: call.deadline,
        };
        let mut permit = replica_set.acquire(&permit_request)?;
        let Some(body) = call.model_request.body(call.priority, output) else {
            return Ok(complete_output(call, output, on_event));
        };
        let bytes = body.len() + call.model_request.answer_bytes();
        self.reserve_link(permit.locality(), call.class, bytes, call.deadline)?;
        if call.waiter.is_gone() {
            let error = Error::new(Category::Cancelled, call.request_id, Cause::Cancelled);
            return Ok(Attempt {
                result: Err(error),
                upstream: None,
            });
        }
        // Each attempt has its own id, so that a late response can't be attributed to another.
        let attempt_id = format!("{}.{number}", call.request_id);
        let engine_call = CompletionRequest {
            address: permit.address,
            path: call.model_request.kind.path(),
            request_id: &attempt_id,
            body: &body,
            idle_timeout: IDLE_TIMEOUT,
            timeout: call.deadline.saturating_since(self.now()),
        };
        let sent_at = self.now();
        let mut first_event_at = None;
        let result = self.platform.engine.generate(&engine_call, &mut |event| {
            first_event_at.get_or_insert_with(|| self.now());
            output.push(event);
            match call.waiter.is_gone() {
                true => ControlFlow::Break(()),
                false => on_event(event),
            }
        });
        let latency = first_event_at.map(|at: Instant| at.saturating_since(sent_at));
        record_outcome(&mut permit, &result, latency);
        Ok(Attempt {
            result,
            upstream: permit.upstream().cloned(),
        })
    }

    fn record_failure(&self, call: &ModelCall<'_>, upstream: Option<&id::Upstream>, error: &Error) {
        self.recorder
            .record(self.timestamp(), "model_call_failed", |event| {
                let event = event.request(call.request_id).with("error", error);
                match upstream {
                    Some(upstream) => event.with("upstream", upstream),
                    None => event,
                }
            });
    }
}

/// Completes a response whose engine failed after the last token but before its report.
fn complete_output(
    call: &ModelCall<'_>,
    output: &Output,
    on_event: &mut dyn FnMut(&str) -> ControlFlow<()>,
) -> Attempt {
    // Ignore cancellation: all tokens have already been passed to `on_event`.
    let _ = on_event(DONE);
    let report = Report {
        request_id: call.request_id.to_owned(),
        spans: Vec::new(),
        tokens: output.tokens,
        queue: 0,
    };
    Attempt {
        result: Ok(report),
        upstream: None,
    }
}

fn record_outcome(
    permit: &mut Permit<'_>,
    result: &Result<Report, Error>,
    first_event_latency: Option<Duration>,
) {
    match result {
        Ok(_) => {
            permit.set_outcome(Outcome::Success);
            if let Some(latency) = first_event_latency {
                permit.set_signal(Signal::Latency(latency));
            }
        }
        Err(error) => match error.classify() {
            Category::Cancelled => {}
            _ if is_request_error(error) => permit.set_outcome(Outcome::Success),
            // An engine that refuses a call is overloaded, not failed.
            Category::Refused => permit.set_signal(Signal::Overload),
            _ => {
                permit.set_outcome(Outcome::Failure);
                permit.set_signal(Signal::Overload);
            }
        },
    }
}

/// Marks a refusal as "may have run" if an earlier attempt may have run.
fn mark_may_have_run(mut refusal: Refusal, may_have_run: bool) -> Refusal {
    if may_have_run {
        refusal.execution = Execution::MayHaveRun;
    }
    refusal
}

/// Returns whether the engine rejected the request as invalid, as any other engine would.
fn is_request_error(error: &Error) -> bool {
    matches!(error.cause(), Cause::Status(400 | 404 | 413 | 422))
}

fn to_refusal(error: &Error, may_have_run: bool) -> Refusal {
    let message = error.to_string();
    let refusal = match (error.classify(), error.cause()) {
        _ if is_request_error(error) => Refusal::not_run(Code::BadRequest, message),
        (Category::NotSent, _) => {
            Refusal::not_run(Code::NoUpstream, message).retry_after(RETRY_AFTER)
        }
        (Category::Refused, _) => {
            Refusal::not_run(Code::Overloaded, message).retry_after(RETRY_AFTER)
        }
        (_, Cause::Timeout(_)) => Refusal::may_have_run(Code::DeadlineExceeded, message),
        _ => Refusal::may_have_run(Code::UpstreamFailed, message),
    };
    mark_may_have_run(refusal, may_have_run)
}
