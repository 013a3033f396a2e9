use super::job::Job;
use super::slots::{NotStarted, QueuedRequest};
use super::text::Text;
use super::Shared;
use crate::fault::FaultPlan;
use crate::server::error_response;
use dogwoodlb_external::engine::Report;
use dogwoodlb_http::{sse, Responder, Response, ResponseStream};
use dogwoodlb_types::{id, Span};
use serde_json::{json, Value};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// The result of a generation.
struct Generation {
    spans: Vec<Span>,
    tokens: u32,
    outcome: Outcome,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Outcome {
    Stop,
    Length,
    Cancelled,
    /// The weights were lost, or the client has disconnected.
    Failed,
}

/// Handles a completion request.
pub(super) fn serve(shared: &Shared, job: &Job, plan: &FaultPlan, responder: Responder) {
    let Ok(queued) = shared.slots.enqueue(&job.request, job.priority) else {
        return responder.send(error_response(
            503,
            "overloaded",
            "the request queue is full",
        ));
    };
    if job.stream && !plan.lose_reply {
        let stream = responder.stream(200, &[("content-type", "text/event-stream")]);
        return stream_completion(shared, job, plan, &queued, stream);
    }
    let mut text = String::new();
    let generation = generate(shared, job, &queued, &|| false, &mut |token| {
        text.push_str(token);
        true
    });
    match generation {
        _ if plan.lose_reply => responder.abort(),
        Ok(generation) if generation.outcome != Outcome::Failed => {
            responder.send(Response::json(
                200,
                &completion_body(shared, job, &generation, &text),
            ));
        }
        Ok(_) => responder.send(error_response(
            500,
            "no_weights",
            "the model lost its weights during generation",
        )),
        Err(_) => responder.send(error_response(
            499,
            "cancelled",
            "the request was cancelled while queued",
        )),
    }
}

/// Streams a completion; a fault or failure drops the stream unfinished.
fn stream_completion(
    shared: &Shared,
    job: &Job,
    plan: &FaultPlan,
    queued: &QueuedRequest<'_>,
    stream: ResponseStream,
) {
    let sent = Cell::new(0);
    let send = |event: &str| {
        if plan.break_after == Some(sent.get()) {
            return false;
        }
        sent.set(sent.get() + 1);
        stream.write(&sse::encode_event(event)).is_ok()
    };
    let is_disconnected = || stream.is_closed();
    let generation = generate(shared, job, queued, &is_disconnected, &mut |token| {
        send(&chunk(job, token, Value::Null).to_string())
    });
    let generation = match generation {
        Ok(generation) if generation.outcome != Outcome::Failed => generation,
        _ => return,
    };
    let mut last = chunk(job, "", finish_reason(generation.outcome));
    last["dogwood"] = engine_report(shared, job, &generation);
    last["usage"] = usage(&generation);
    if send(&last.to_string()) && send(sse::DONE) {
        // An error means that the client has disconnected.
        let _ = stream.finish();
    }
}

/// Generates the tokens and records which version generated each of them.
fn generate(
    shared: &Shared,
    job: &Job,
    queued: &QueuedRequest<'_>,
    is_disconnected: &dyn Fn() -> bool,
    emit: &mut dyn FnMut(&str) -> bool,
) -> Result<Generation, NotStarted> {
    queued.wait_for_slot(is_disconnected)?;
    shared.count_generation(&job.request);
    let text = Text::new(&shared.config, job);
    let started = Instant::now();
    let mut generation = Generation {
        spans: Vec::new(),
        tokens: 0,
        outcome: if text.is_complete {
            Outcome::Stop
        } else {
            Outcome::Length
        },
    };
    let should_stop = || queued.is_cancelled() || is_disconnected();
    while generation.tokens < text.len() {
        throttle(shared, started, generation.tokens);
        if !shared.token_budget.take(&should_stop) {
            generation.outcome = if is_disconnected() {
                Outcome::Failed
            } else {
                Outcome::Cancelled
            };
            break;
        }
        let version = shared.weights().version(&job.model);
        let sent = version.is_some() && emit(&text.token(generation.tokens));
        let (Some(version), true) = (version, sent) else {
            generation.outcome = Outcome::Failed;
            break;
        };
        generation.add_token(version);
    }
    Ok(generation)
}

impl Generation {
    fn add_token(&mut self, version: id::Version) {
        let from = self.tokens;
        self.tokens += 1;
        match self.spans.last_mut() {
            Some(span) if span.version == version => span.to = self.tokens,
            _ => self.spans.push(Span {
                version,
                from,
                to: self.tokens,
            }),
        }
    }
}

/// Sleeps as needed to keep to the configured generation speed.
fn throttle(shared: &Shared, started: Instant, tokens: u32) {
    let seconds = f64::from(tokens) / shared.config.tokens_per_second;
    if let Ok(target) = Duration::try_from_secs_f64(seconds) {
        std::thread::sleep(target.saturating_sub(started.elapsed()));
    }
}

fn finish_reason(outcome: Outcome) -> Value {
    match outcome {
        Outcome::Stop => json!("stop"),
        Outcome::Length => json!("length"),
        Outcome::Cancelled | Outcome::Failed => json!("abort"),
    }
}

fn engine_report(shared: &Shared, job: &Job, generation: &Generation) -> Value {
    json!(Report {
        request_id: job.request.clone(),
        spans: generation.spans.clone(),
        tokens: generation.tokens,
        queue: shared.slots.load(shared.config.load_report_lag).waiting,
    })
}

fn usage(generation: &Generation) -> Value {
    json!({ "completion_tokens": generation.tokens })
}

fn chunk(job: &Job, text: &str, finish_reason: Value) -> Value {
    let (object, choice) = match job.chat {
        true => (
            "chat.completion.chunk",
            json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish_reason }),
        ),
        false => (
            "text_completion",
            json!({ "index": 0, "text": text, "finish_reason": finish_reason }),
        ),
    };
    json!({ "id": job.request, "object": object, "model": job.model, "choices": [choice] })
}

fn completion_body(shared: &Shared, job: &Job, generation: &Generation, text: &str) -> Value {
    let finish_reason = finish_reason(generation.outcome);
    let (object, choice) = match job.chat {
        true => (
            "chat.completion",
            json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish_reason,
            }),
        ),
        false => (
            "text_completion",
            json!({ "index": 0, "text": text, "finish_reason": finish_reason }),
        ),
    };
    json!({
        "id": job.request,
        "object": object,
        "model": job.model,
        "choices": [choice],
        "usage": usage(generation),
        "dogwood": engine_report(shared, job, generation),
    })
}
