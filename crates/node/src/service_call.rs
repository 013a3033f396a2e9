//! Calls to plain services.

use crate::replica_set::PermitRequest;
use crate::shared::Shared;
use crate::waiter::Waiter;
use dogwoodlb_external::service::{Call, Reply};
use dogwoodlb_external::{Category, Cause, Error};
use dogwoodlb_limit::Signal;
use dogwoodlb_manifest::Manifest;
use dogwoodlb_route::Outcome;
use dogwoodlb_types::{id, Class, Code, Instant, Refusal};
use std::time::Duration;

/// Maximum attempts of an idempotent call, including the first.
const MAX_ATTEMPTS: u32 = 3;

/// A call to a plain service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceCall<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) class: Class,
    pub(crate) deadline: Instant,
    pub(crate) service: &'a id::Service,
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) content_type: Option<&'a str>,
    pub(crate) body: &'a [u8],
    /// Whether the call may be repeated.
    pub(crate) idempotent: bool,
    pub(crate) waiter: &'a dyn Waiter,
}

/// Returns whether the manifest marks a call as non-idempotent.
pub(crate) fn is_non_idempotent(
    manifest: &Manifest,
    service: &id::Service,
    method: &str,
    path: &str,
) -> bool {
    let service = manifest
        .services
        .iter()
        .find(|entry| entry.service == *service);
    service.is_some_and(|service| {
        let calls = service.non_idempotent.iter();
        calls
            .filter(|call| call.method == method)
            .any(|call| path.starts_with(&call.path))
    })
}

impl Shared {
    /// Executes a call with retries; a non-idempotent call is sent at most once.
    ///
    /// An attempt that provably did not reach an upstream may always be retried.
    pub(crate) fn call_service(&self, call: &ServiceCall<'_>) -> Result<Reply, Refusal> {
        crate::lock(&self.retry_budget).on_request();
        let replica_set = self.upstreams.service(call.service)?;
        let mut failed: Vec<id::Upstream> = Vec::new();
        let mut sent = false;
        for number in 1.. {
            let permit_request = PermitRequest {
                class: call.class,
                prefix_hash: None,
                exclude: &failed,
                deadline: call.deadline,
            };
            let mut permit = replica_set
                .acquire(&permit_request)
                .map_err(|refusal| mark_may_have_run(refusal, sent))?;
            self.reserve_link(
                permit.locality(),
                call.class,
                call.body.len(),
                call.deadline,
            )
            .map_err(|refusal| mark_may_have_run(refusal, sent))?;
            if call.waiter.is_gone() {
                let refusal = Refusal::not_run(Code::NoUpstream, "no one waits for the result");
                return Err(mark_may_have_run(refusal, sent));
            }
            let result = self.platform.service.call(&Call {
                address: permit.address,
                method: call.method,
                path: call.path,
                request_id: call.request_id,
                content_type: call.content_type,
                body: call.body,
                timeout: call.deadline.saturating_since(self.now()),
            });
            let error = match result {
                Ok(reply) => {
                    permit.set_outcome(Outcome::Success);
                    return Ok(reply);
                }
                Err(error) => error,
            };
            permit.set_outcome(Outcome::Failure);
            permit.set_signal(Signal::Overload);
            self.record_service_failure(call, permit.upstream(), &error);
            failed.extend(permit.upstream().cloned());
            drop(permit);
            sent |= error.classify() != Category::NotSent;
            let retryable = call.idempotent || !sent;
            let out_of_attempts = number >= MAX_ATTEMPTS || self.now() >= call.deadline;
            if !retryable || out_of_attempts || !self.try_retry() {
                return Err(to_refusal(&error, sent));
            }
        }
        Err(self.invariant_violated(
            "attempts",
            "attempt loop of a service call ended without a result",
        ))
    }

    fn record_service_failure(
        &self,
        call: &ServiceCall<'_>,
        upstream: Option<&id::Upstream>,
        error: &Error,
    ) {
        self.recorder
            .record(self.timestamp(), "service_call_failed", |event| {
                let event = event.request(call.request_id).with("error", error);
                match upstream {
                    Some(upstream) => event.with("upstream", upstream),
                    None => event,
                }
            });
    }
}

/// Marks a refusal as "may have run" if an earlier attempt was sent.
fn mark_may_have_run(mut refusal: Refusal, sent: bool) -> Refusal {
    if sent {
        refusal.execution = dogwoodlb_types::Execution::MayHaveRun;
    }
    refusal
}

fn to_refusal(error: &Error, sent: bool) -> Refusal {
    if !sent {
        let refusal = Refusal::not_run(Code::NoUpstream, error.to_string());
        return refusal.retry_after(Duration::from_secs(1));
    }
    match error.cause() {
        Cause::Timeout(_) => Refusal::may_have_run(Code::DeadlineExceeded, error.to_string()),
        _ => Refusal::may_have_run(Code::UpstreamFailed, error.to_string()),
    }
}
