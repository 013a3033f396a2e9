//! Generates and scores one sample.

use crate::completion::ModelRequest;
use crate::generate;
use crate::service_call;
use crate::shared::Shared;
use dogwoodlb_ledger::{Content, FinishedAttempt};
use dogwoodlb_manifest::section::Trainer;
use dogwoodlb_manifest::Manifest;
use dogwoodlb_types::{id, Class, Code, Refusal};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::ops::ControlFlow;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::time::Duration;

/// Deadline of the generation of one sample.
const GENERATE_TIMEOUT: Duration = Duration::from_secs(110);

const SCORE_TIMEOUT: Duration = Duration::from_secs(10);

/// Path of the scoring endpoint.
const SCORE_PATH: &str = "/score";

/// One attempt to generate a sample.
pub(crate) struct Job {
    pub(crate) manifest: Arc<Manifest>,
    pub(crate) trainer: Trainer,
    pub(crate) content: Option<Arc<Content>>,
    pub(crate) cancelled: Arc<AtomicBool>,
    pub(crate) fence: id::Fence,
    pub(crate) sample: id::Sample,
    pub(crate) attempt: u32,
    pub(crate) priority: u32,
}

/// A progress report of an attempt to the trainer's owner.
pub(crate) struct AttemptReport {
    pub(crate) fence: id::Fence,
    pub(crate) sample: id::Sample,
    pub(crate) attempt: u32,
    pub(crate) event: AttemptEvent,
}

/// The progress of an attempt.
pub(crate) enum AttemptEvent {
    /// The first token was generated.
    Started,
    /// The attempt ended.
    Ended(Result<FinishedAttempt, Refusal>),
}

/// The body of a sample as stored by the ledger.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct SampleBody {
    pub(crate) text: String,
    pub(crate) score: Option<f64>,
}

#[derive(Serialize)]
struct ScoreRequest<'a> {
    sample: String,
    text: &'a str,
}

#[derive(Deserialize)]
struct ScoreResponse {
    score: f64,
}

/// The cancellation flags of attempts in progress.
#[derive(Default)]
pub(crate) struct CancelFlags(HashMap<(id::Sample, u32), Arc<AtomicBool>>);

impl CancelFlags {
    pub(crate) fn add(&mut self, sample: &id::Sample, attempt: u32) -> Arc<AtomicBool> {
        let flag = Arc::new(AtomicBool::new(false));
        self.0.insert((sample.clone(), attempt), flag.clone());
        flag
    }

    pub(crate) fn remove(&mut self, sample: &id::Sample, attempt: u32) {
        self.0.remove(&(sample.clone(), attempt));
    }

    pub(crate) fn cancel(&mut self, sample: &id::Sample, attempt: u32) {
        if let Some(flag) = self.0.remove(&(sample.clone(), attempt)) {
            flag.store(true, Ordering::Relaxed);
        }
    }

    pub(crate) fn cancel_all(&self) {
        for flag in self.0.values() {
            flag.store(true, Ordering::Relaxed);
        }
    }
}

/// Starts an attempt on the sampler pool; returns `false` if the pool's queue is full.
pub(crate) fn start(shared: &Arc<Shared>, job: Job, reports: SyncSender<AttemptReport>) -> bool {
    let state = shared.clone();
    shared.samplers.run(move || {
        let report = |event| {
            let Job { fence, attempt, .. } = job;
            let sample = job.sample.clone();
            // Fails only if the owner has terminated.
            let _ = reports.send(AttemptReport {
                fence,
                sample,
                attempt,
                event,
            });
        };
        let run = || run(&state, &job, &mut || report(AttemptEvent::Started));
        // Report panics as well; without a report the planner would wait forever.
        let result = catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(|_| {
            Err(state.invariant_violated("sampler", "sampler attempt panicked"))
        });
        report(AttemptEvent::Ended(result));
    })
}

fn run(
    shared: &Shared,
    job: &Job,
    on_started: &mut dyn FnMut(),
) -> Result<FinishedAttempt, Refusal> {
    // Unique per attempt; the fence distinguishes attempts of successive owners.
    let request_id = format!(
        "{}-{}-{}-{}-{}-{}",
        job.sample.trainer,
        job.sample.step,
        job.sample.group,
        job.sample.index,
        job.fence,
        job.attempt
    );
    let answer = generate_sample(shared, job, &request_id, on_started)?;
    let text = answer.output.text;
    let score = score(shared, job, &request_id, &text)?;
    let body = serde_json::to_string(&SampleBody { text, score })
        .map_err(|error| shared.invariant_violated("sample_body", error))?;
    Ok(FinishedAttempt {
        sample: job.sample.clone(),
        attempt: job.attempt,
        tokens: answer.report.tokens,
        spans: answer.report.spans,
        body,
    })
}

fn generate_sample(
    shared: &Shared,
    job: &Job,
    request_id: &str,
    on_started: &mut dyn FnMut(),
) -> Result<generate::Answer, Refusal> {
    let content = job.content.as_ref();
    let group = content.and_then(|content| content.groups.get(job.sample.group as usize));
    let (Some(content), Some(group)) = (content, group) else {
        return Err(shared.invariant_violated(
            "prompt",
            format!("prompt of sample {} is missing", job.sample),
        ));
    };
    // Samples of a group differ only in their seed.
    let seed = u64::from(job.sample.index);
    let model_request =
        ModelRequest::for_sample(&job.trainer.model, &group.prompt, content.max_tokens, seed);
    let mut started = false;
    let answer = shared.generate(
        &generate::ModelCall {
            request_id,
            class: Class::Trainer,
            priority: Class::Trainer.rank() + job.priority as usize,
            deadline: shared.now() + GENERATE_TIMEOUT,
            model_request: &model_request,
            resume: false,
            waiter: &*job.cancelled,
        },
        &mut |_| {
            if !std::mem::replace(&mut started, true) {
                on_started();
            }
            ControlFlow::Continue(())
        },
    )?;
    if answer.continued {
        return Err(shared.invariant_violated("label", "sample was continued on another engine"));
    }
    Ok(answer)
}

fn score(shared: &Shared, job: &Job, request_id: &str, text: &str) -> Result<Option<f64>, Refusal> {
    let Some(service) = &job.trainer.scorer else {
        return Ok(None);
    };
    let sample = job.sample.to_string();
    let body = serde_json::to_vec(&ScoreRequest { sample, text })
        .map_err(|error| shared.invariant_violated("score_body", error))?;
    let reply = shared.call_service(&service_call::ServiceCall {
        request_id,
        class: Class::Trainer,
        deadline: shared.now() + SCORE_TIMEOUT,
        service,
        method: "POST",
        path: SCORE_PATH,
        content_type: Some("application/json"),
        body: &body,
        idempotent: !service_call::is_non_idempotent(&job.manifest, service, "POST", SCORE_PATH),
        waiter: &*job.cancelled,
    })?;
    let score = serde_json::from_slice::<ScoreResponse>(&reply.body)
        .ok()
        .map(|response| response.score);
    match score.filter(|_| reply.status == 200) {
        Some(score) => Ok(Some(score)),
        None => {
            let message = format!(
                "scoring service {service} returned status {} without a score",
                reply.status
            );
            Err(Refusal::may_have_run(Code::UpstreamFailed, message))
        }
    }
}
