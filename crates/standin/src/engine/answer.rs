use super::job::Job;
use super::slots::{Denied, Ticket};
use super::text::Text;
use super::Core;
use crate::fault::Plan;
use crate::host::failure;
use dogwoodlb_external::engine::Report;
use dogwoodlb_http::{sse, Responder, Response, ResponseStream};
use dogwoodlb_types::{id, Span};
use serde_json::{json, Value};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// How a generation ended.
struct Done {
    spans: Vec<Span>,
    tokens: u32,
    end: End,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum End {
    Stop,
    Length,
    Cancelled,
    /// The weights were lost, or the client has disconnected.
    Broken,
}

/// Answers a request for a completion.
pub(super) fn serve(core: &Core, job: &Job, plan: &Plan, responder: Responder) {
    let Ok(ticket) = core.slots.enter(&job.request, job.priority) else {
        return responder.send(failure(503, "overloaded", "the queue is full"));
    };
    if job.stream && !plan.lose_reply {
        let stream = responder.stream(200, &[("content-type", "text/event-stream")]);
        return stream_answer(core, job, plan, &ticket, stream);
    }
    let mut text = String::new();
    let done = generate(core, job, &ticket, &|| false, &mut |token| {
        text.push_str(token);
        true
    });
    match done {
        _ if plan.lose_reply => responder.abort(),
        Ok(done) if done.end != End::Broken => {
            responder.send(Response::json(200, &whole(core, job, &done, &text)));
        }
        Ok(_) => responder.send(failure(500, "no_weights", "the weights were lost")),
        Err(_) => responder.send(failure(499, "cancelled", "cancelled in the queue")),
    }
}

/// Streams an answer; the stream is dropped unfinished where the plan or a failure breaks it.
fn stream_answer(core: &Core, job: &Job, plan: &Plan, ticket: &Ticket<'_>, stream: ResponseStream) {
    let sent = Cell::new(0);
    let send = |event: &str| {
        if plan.break_after == Some(sent.get()) {
            return false;
        }
        sent.set(sent.get() + 1);
        stream.write(&sse::encode_event(event)).is_ok()
    };
    let gone = || stream.is_closed();
    let done = generate(core, job, ticket, &gone, &mut |token| {
        send(&chunk(job, token, Value::Null).to_string())
    });
    let done = match done {
        Ok(done) if done.end != End::Broken => done,
        _ => return,
    };
    let mut last = chunk(job, "", finish(done.end));
    last["dogwood"] = report(core, job, &done);
    last["usage"] = usage(&done);
    if send(&last.to_string()) && send(sse::DONE) {
        // An error means that the client has disconnected.
        let _ = stream.finish();
    }
}

/// Generates the tokens and follows the version in force at each of them.
fn generate(
    core: &Core,
    job: &Job,
    ticket: &Ticket<'_>,
    gone: &dyn Fn() -> bool,
    emit: &mut dyn FnMut(&str) -> bool,
) -> Result<Done, Denied> {
    ticket.start(gone)?;
    core.count(&job.request);
    let text = Text::new(&core.config, job);
    let began = Instant::now();
    let mut done = Done {
        spans: Vec::new(),
        tokens: 0,
        end: if text.ends { End::Stop } else { End::Length },
    };
    let stopped = || ticket.is_cancelled() || gone();
    while done.tokens < text.len() {
        pause(core, began, done.tokens);
        if !core.pace.take(&stopped) {
            done.end = if gone() { End::Broken } else { End::Cancelled };
            break;
        }
        let version = core.weights().version(&job.model);
        let sent = version.is_some() && emit(&text.token(done.tokens));
        let (Some(version), true) = (version, sent) else {
            done.end = End::Broken;
            break;
        };
        done.add(version);
    }
    Ok(done)
}

impl Done {
    fn add(&mut self, version: id::Version) {
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

/// Keeps the configured speed.
fn pause(core: &Core, began: Instant, tokens: u32) {
    let seconds = f64::from(tokens) / core.config.tokens_per_second;
    if let Ok(due) = Duration::try_from_secs_f64(seconds) {
        std::thread::sleep(due.saturating_sub(began.elapsed()));
    }
}

fn finish(end: End) -> Value {
    match end {
        End::Stop => json!("stop"),
        End::Length => json!("length"),
        End::Cancelled | End::Broken => json!("abort"),
    }
}

fn report(core: &Core, job: &Job, done: &Done) -> Value {
    json!(Report {
        request_id: job.request.clone(),
        spans: done.spans.clone(),
        tokens: done.tokens,
        queue: core.slots.load(core.config.load_report_lag).waiting,
    })
}

fn usage(done: &Done) -> Value {
    json!({ "completion_tokens": done.tokens })
}

fn chunk(job: &Job, text: &str, finish: Value) -> Value {
    let (object, choice) = match job.chat {
        true => (
            "chat.completion.chunk",
            json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish }),
        ),
        false => (
            "text_completion",
            json!({ "index": 0, "text": text, "finish_reason": finish }),
        ),
    };
    json!({ "id": job.request, "object": object, "model": job.model, "choices": [choice] })
}

fn whole(core: &Core, job: &Job, done: &Done, text: &str) -> Value {
    let finish = finish(done.end);
    let (object, choice) = match job.chat {
        true => (
            "chat.completion",
            json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish,
            }),
        ),
        false => (
            "text_completion",
            json!({ "index": 0, "text": text, "finish_reason": finish }),
        ),
    };
    json!({
        "id": job.request,
        "object": object,
        "model": job.model,
        "choices": [choice],
        "usage": usage(done),
        "dogwood": report(core, job, done),
    })
}
