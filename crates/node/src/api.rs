//! The HTTP endpoints, documented in docs/api.md.

mod completions;

use crate::completion::Kind;
use crate::lock;
use crate::shared::{Shared, ADDRESS_CACHE_TTL};
use crate::{operators, service_call, trainers};
use dogwoodlb_http::{Handler, Request, Responder, Response};
use dogwoodlb_manifest::section::Caller;
use dogwoodlb_manifest::Manifest;
use dogwoodlb_types::{id, Code, Instant, Refusal};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Maximum deadline of a request. A shutdown waits 120 s for requests, so it interrupts none.
const MAX_DEADLINE: Duration = Duration::from_secs(110);

const MAX_ID_BYTES: usize = 64;

/// HTTP handler for callers, trainers and operators.
pub(crate) struct Api(pub(crate) Arc<Shared>);

/// The id, start time and deadline of a request.
pub(crate) struct RequestContext {
    pub(crate) request_id: String,
    pub(crate) started_at: Instant,
    pub(crate) deadline: Instant,
}

#[derive(Serialize)]
struct Addresses {
    addresses: Vec<SocketAddr>,
    cache_ms: u64,
}

impl Handler for Api {
    fn handle(&self, request: &Request, responder: Responder) {
        let shared = &self.0;
        shared.in_flight.fetch_add(1, Ordering::SeqCst);
        if let Err((refusal, responder)) = self.route(request, responder) {
            responder.send(Response::refusal(&refusal));
        }
        shared.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

type RouteResult = Result<(), (Refusal, Responder)>;

impl Api {
    fn route(&self, request: &Request, responder: Responder) -> RouteResult {
        let shared = &self.0;
        let segments = request.path_segments();
        let response = match (request.method.as_str(), &segments[..]) {
            ("GET", ["healthz"]) => Ok(Response::text(200, "ok\n")),
            ("GET", ["readyz"]) => self.ready(),
            ("GET", ["v1", "addresses"]) => self.addresses(request),
            ("GET", ["v1", "status"]) => Ok(operators::status(shared)),
            ("GET", ["v1", "timeline"]) => Ok(operators::timeline(shared)),
            ("GET", ["v1", "manifest"]) => operators::manifest(shared),
            ("POST", ["v1", "drain"]) => Ok(operators::drain(shared)),
            _ => return self.route_work(request, &segments, responder),
        };
        respond(response, responder)
    }

    /// Routes all other endpoints, which refuse requests during a shutdown.
    fn route_work(
        &self,
        request: &Request,
        segments: &[&str],
        responder: Responder,
    ) -> RouteResult {
        let shared = &self.0;
        if lock(&shared.drain).is_refusing() {
            let message = "node is shutting down: fetch the node addresses again";
            return Err((Refusal::not_run(Code::Leaving, message), responder));
        }
        match (request.method.as_str(), segments) {
            ("POST", ["v1", "manifest"]) => respond(operators::commit(shared, request), responder),
            ("POST", ["v1", "completions"]) => self.complete(Kind::Text, request, responder),
            ("POST", ["v1", "chat", "completions"]) => {
                self.complete(Kind::Chat, request, responder)
            }
            (_, ["v1", "trainers", trainer, rest @ ..]) => {
                respond(trainers::handle(shared, request, trainer, rest), responder)
            }
            (_, ["svc", service, ..]) => {
                respond(self.call(request, service, &responder), responder)
            }
            _ => {
                let message = format!("no such endpoint: {} {}", request.method, request.path);
                Err((Refusal::not_run(Code::NotFound, message), responder))
            }
        }
    }

    fn ready(&self) -> Result<Response, Refusal> {
        if !lock(&self.0.drain).is_listed() {
            return Err(Refusal::not_run(Code::Leaving, "node is shutting down"));
        }
        self.0.manifest().map(|_| Response::text(200, "ready\n"))
    }

    fn addresses(&self, request: &Request) -> Result<Response, Refusal> {
        let manifest = self.0.manifest()?;
        let live = lock(&self.0.members).live();
        let listed = lock(&self.0.drain).is_listed();
        let own = &self.0.settings.vm;
        let mut entries: Vec<_> = manifest
            .entry_vms
            .iter()
            .filter(|entry| live.contains(&entry.vm) && (listed || entry.vm != *own))
            .collect();
        let region = request
            .query_param("region")
            .unwrap_or(self.0.settings.region.as_str());
        entries.sort_by_key(|entry| entry.region.as_str() != region);
        let addresses = entries.iter().map(|entry| entry.address).collect();
        let cache_ms = u64::try_from(ADDRESS_CACHE_TTL.as_millis()).unwrap_or_default();
        Ok(Response::json(
            200,
            &Addresses {
                addresses,
                cache_ms,
            },
        ))
    }

    fn call(
        &self,
        request: &Request,
        service: &str,
        responder: &Responder,
    ) -> Result<Response, Refusal> {
        let context = self.context(request)?;
        let manifest = self.0.manifest()?;
        let caller = find_caller(&manifest, request)?;
        let service = parse_name::<id::Service>("service", service)?;
        if !manifest
            .services
            .iter()
            .any(|entry| entry.service == service)
        {
            let message = format!("service `{service}` is not in the manifest");
            return Err(Refusal::not_run(Code::UnknownService, message));
        }
        if !caller.services.contains(&service) {
            return Err(forbidden(&caller.caller, "service", service.as_str()));
        }
        let prefix = format!("/svc/{service}");
        let path = request.path.strip_prefix(&prefix).unwrap_or_default();
        let path = if path.is_empty() { "/" } else { path };
        let path_and_query = match request.query.as_str() {
            "" => path.to_owned(),
            query => format!("{path}?{query}"),
        };
        let non_idempotent = request.header("x-non-idempotent") == Some("true")
            || service_call::is_non_idempotent(&manifest, &service, &request.method, path);
        let key = request.header("idempotency-key");
        let call = service_call::ServiceCall {
            request_id: &context.request_id,
            class: caller.class,
            deadline: context.deadline,
            service: &service,
            method: &request.method,
            path: &path_and_query,
            content_type: request.header("content-type"),
            body: &request.body,
            idempotent: !non_idempotent && key.is_none(),
            waiter: responder,
        };
        let result = match key {
            Some(key) => self.0.call_at_most_once(&call, &caller.caller, key),
            None => self.0.call_service(&call),
        };
        self.0
            .count_request(caller.class, context.started_at, result.as_ref().err());
        result.map(|reply| {
            let content_type = reply
                .content_type
                .as_deref()
                .unwrap_or("application/octet-stream");
            Response::new(reply.status, content_type, reply.body)
                .header("x-request-id", &context.request_id)
        })
    }

    fn context(&self, request: &Request) -> Result<RequestContext, Refusal> {
        let started_at = self.0.now();
        let deadline = match request.header("x-deadline-ms").map(str::parse::<u64>) {
            None => DEFAULT_DEADLINE,
            Some(Ok(millis)) if millis > 0 => Duration::from_millis(millis).min(MAX_DEADLINE),
            Some(_) => {
                let message = "invalid `x-deadline-ms`: expected a positive number of milliseconds";
                return Err(Refusal::not_run(Code::BadRequest, message));
            }
        };
        let request_id = match request.header("x-request-id") {
            None => self.0.new_operation().to_string(),
            Some(id) => validate_id("x-request-id", id)?.to_owned(),
        };
        Ok(RequestContext {
            request_id,
            started_at,
            deadline: started_at + deadline,
        })
    }
}

/// Sends a response, or returns the refusal with the responder.
fn respond(result: Result<Response, Refusal>, responder: Responder) -> RouteResult {
    match result {
        Ok(response) => {
            responder.send(response);
            Ok(())
        }
        Err(refusal) => Err((refusal, responder)),
    }
}

/// Validates an id supplied by a caller.
pub(crate) fn validate_id<'a>(header: &str, text: &'a str) -> Result<&'a str, Refusal> {
    let valid = text
        .bytes()
        .all(|b| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'_' | b'-'));
    if valid && (1..=MAX_ID_BYTES).contains(&text.len()) {
        return Ok(text);
    }
    let message =
        format!("invalid `{header}`: expected 1 to 64 characters of a-z, 0-9, `.`, `_` and `-`");
    Err(Refusal::not_run(Code::BadRequest, message))
}

pub(crate) fn parse_name<T: std::str::FromStr<Err = dogwoodlb_types::Error>>(
    what: &str,
    text: &str,
) -> Result<T, Refusal> {
    text.parse().map_err(|error| {
        Refusal::not_run(Code::BadRequest, format!("invalid {what} name: {error}"))
    })
}

fn find_caller<'a>(manifest: &'a Manifest, request: &Request) -> Result<&'a Caller, Refusal> {
    let name = request.header("x-caller").ok_or_else(|| {
        Refusal::not_run(
            Code::Forbidden,
            "header `x-caller` is missing: set it to a caller listed in the manifest",
        )
    })?;
    manifest
        .callers
        .iter()
        .find(|entry| entry.caller.as_str() == name)
        .ok_or_else(|| {
            let name: String = name.chars().take(MAX_ID_BYTES).collect();
            Refusal::not_run(
                Code::Forbidden,
                format!("caller `{name}` is not in the manifest"),
            )
        })
}

#[cold]
fn forbidden(caller: &id::Caller, what: &str, name: &str) -> Refusal {
    let message = format!("caller `{caller}` is not allowed to use {what} `{name}`");
    Refusal::not_run(Code::Forbidden, message)
}
