//! The HTTP endpoints for trainers.

use crate::api::parse_name;
use crate::lock;
use crate::sampling::SampleBody;
use crate::shared::Shared;
use crate::store;
use crate::trainer_calls::{self, Call, Command, Reply};
use dogwoodlb_http::{Request, Response};
use dogwoodlb_ledger::{decode_bodies, Content, Delivery, Group};
use dogwoodlb_types::{id, Code, Refusal, Span};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::HashMap;
use std::sync::mpsc::{sync_channel, RecvTimeoutError, TrySendError};
use std::time::Duration;

const MAX_FETCH_WAIT: Duration = Duration::from_secs(30);

/// Timeout for the owner's reply beyond the requested wait; covers a transaction and its
/// read-back.
const OWNER_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmitRequest {
    session: id::Session,
    groups: Vec<Group>,
    max_tokens: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AcknowledgeRequest {
    session: id::Session,
    delivery: id::Delivery,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PublishRequest {
    session: id::Session,
    version: id::Version,
    object: String,
}

#[derive(Serialize)]
struct Step {
    delivery: id::Delivery,
    step: id::Step,
    samples: Vec<Sample>,
}

#[derive(Serialize)]
struct Sample {
    id: String,
    group: u32,
    index: u32,
    text: String,
    tokens: u32,
    spans: Vec<Span>,
    score: Option<f64>,
    staleness: u64,
}

/// Handles a request under `/v1/trainers/<trainer>`.
pub(crate) fn handle(
    shared: &Shared,
    request: &Request,
    trainer: &str,
    rest: &[&str],
) -> Result<Response, Refusal> {
    let trainer: id::Trainer = parse_name("trainer", trainer)?;
    let command = match (request.method.as_str(), rest) {
        ("POST", ["sessions"]) => Command::Session,
        ("PUT", ["steps", step]) => submit(request, parse_number(step)?)?,
        ("GET", ["steps", step]) => fetch(shared, request, parse_number(step)?)?,
        ("POST", ["steps", step, "ack"]) => {
            let AcknowledgeRequest { session, delivery } = parse_body(request)?;
            Command::Acknowledge {
                session,
                step: id::Step(parse_number(step)?),
                delivery,
            }
        }
        ("POST", ["versions"]) => {
            let PublishRequest {
                session,
                version,
                object,
            } = parse_body(request)?;
            Command::Publish {
                session,
                version,
                object,
            }
        }
        _ => {
            let message = format!("no such endpoint: {} {}", request.method, request.path);
            return Err(Refusal::not_run(Code::NotFound, message));
        }
    };
    let submits = matches!(command, Command::Submit { .. });
    let mut response = answer(shared, call_owner(shared, &trainer, command)?)?;
    if submits {
        // 202: the step is accepted but not complete.
        response.status = 202;
    }
    Ok(response)
}

fn submit(request: &Request, step: u64) -> Result<Command, Refusal> {
    let SubmitRequest {
        session,
        groups,
        max_tokens,
    } = parse_body(request)?;
    if max_tokens == 0 {
        let message = "`max_tokens` must be at least 1";
        return Err(Refusal::not_run(Code::BadRequest, message));
    }
    let content = Content { groups, max_tokens };
    Ok(Command::Submit {
        session,
        step: id::Step(step),
        content,
    })
}

fn fetch(shared: &Shared, request: &Request, step: u64) -> Result<Command, Refusal> {
    let session = request.query_param("session").ok_or_else(|| {
        Refusal::not_run(Code::BadRequest, "query parameter `session` is missing")
    })?;
    let wait = match request.query_param("wait_ms") {
        Some(wait) => Duration::from_millis(parse_number(wait)?).min(MAX_FETCH_WAIT),
        None => Duration::ZERO,
    };
    Ok(Command::Fetch {
        session: id::Session(parse_number(session)?),
        step: id::Step(step),
        deadline: shared.now() + wait,
    })
}

/// Sends a call to the trainer's owner thread on this node and waits for the reply.
fn call_owner(shared: &Shared, trainer: &id::Trainer, command: Command) -> Result<Reply, Refusal> {
    let manifest = shared.manifest()?;
    let mut entries = manifest.trainers.iter();
    if !entries.any(|entry| entry.trainer == *trainer) {
        let message = format!("trainer `{trainer}` is not in the manifest");
        return Err(Refusal::not_run(Code::UnknownTrainer, message));
    }
    // A manifest is in force slightly before the owners of its trainers are started.
    let Some(mailbox) = lock(&shared.trainers).get(trainer).cloned() else {
        return Err(trainer_calls::not_owner(None));
    };
    if mailbox.lease.guard(shared.now()).is_none() {
        return Err(shared.wrong_node(&mailbox.lease));
    }
    let wait = match &command {
        Command::Fetch { deadline, .. } => deadline.saturating_since(shared.now()),
        _ => Duration::ZERO,
    };
    let (reply, replies) = sync_channel(1);
    match mailbox.calls.try_send(Call { command, reply }) {
        Ok(()) => {}
        Err(TrySendError::Full(_)) => {
            let refusal = Refusal::not_run(Code::Overloaded, "call queue of the trainer is full");
            return Err(refusal.retry_after(Duration::from_secs(1)));
        }
        Err(TrySendError::Disconnected(_)) => return Err(shared.wrong_node(&mailbox.lease)),
    }
    match replies.recv_timeout(wait + OWNER_TIMEOUT) {
        Ok(result) => result,
        Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
            let message = "trainer owner did not reply in time; the outcome is unknown";
            Err(Refusal::may_have_run(Code::StoreUnavailable, message))
        }
    }
}

fn answer(shared: &Shared, reply: Reply) -> Result<Response, Refusal> {
    Ok(match reply {
        Reply::Session {
            session,
            version,
            next,
        } => {
            let body = json!({ "session": session, "version": version, "next_step": next });
            Response::json(200, &body)
        }
        Reply::Done => Response::json(200, &json!({})),
        Reply::Waiting(progress) => {
            let body = json!({ "accepted": progress.accepted, "wanted": progress.total });
            Response::json(202, &body)
        }
        Reply::Delivered(delivery) => Response::json(200, &step_response(shared, delivery)?),
    })
}

/// Builds the response of a delivered step, with the sample bodies from the object store.
fn step_response(shared: &Shared, delivery: Delivery) -> Result<Step, Refusal> {
    let mut objects: HashMap<String, Vec<String>> = HashMap::new();
    let mut samples = Vec::with_capacity(delivery.samples.len());
    for sample in delivery.samples {
        if !objects.contains_key(&sample.object) {
            let object = store::read_object(shared, &sample.object)?;
            let bodies = decode_bodies(&object)
                .map_err(|error| shared.invariant_violated("bodies", error))?;
            objects.insert(sample.object.clone(), bodies);
        }
        let bodies = objects.get(&sample.object);
        let body = bodies.and_then(|bodies| bodies.get(sample.position));
        let body = body.and_then(|body| serde_json::from_str::<SampleBody>(body).ok());
        let Some(SampleBody { text, score }) = body else {
            return Err(shared.invariant_violated(
                "body",
                format!(
                    "body of sample {} is missing from its object or malformed",
                    sample.sample
                ),
            ));
        };
        samples.push(Sample {
            id: sample.sample.to_string(),
            group: sample.sample.group,
            index: sample.sample.index,
            text,
            tokens: sample.tokens,
            spans: sample.spans,
            score,
            staleness: sample.staleness,
        });
    }
    Ok(Step {
        delivery: delivery.delivery,
        step: delivery.step,
        samples,
    })
}

pub(crate) fn parse_body<T: DeserializeOwned>(request: &Request) -> Result<T, Refusal> {
    serde_json::from_slice(&request.body).map_err(|error| {
        Refusal::not_run(Code::BadRequest, format!("invalid request body: {error}"))
    })
}

fn parse_number(text: &str) -> Result<u64, Refusal> {
    text.parse().map_err(|_| {
        let text: String = text.chars().take(32).collect();
        Refusal::not_run(Code::BadRequest, format!("`{text}` is not a number"))
    })
}
