use crate::error::Inner;
use crate::fault::{Fault, FaultPlan, Faults};
use crate::Result;
use dogwoodlb_http::{Handler, Limits, Request, Responder, Response, Server};
use percent_encoding::percent_decode_str;
use serde::de::DeserializeOwned;
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

/// Limit on the request body, which may be an object or a prompt.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Binds a listener to a free port of the loopback interface.
///
/// # Errors
///
/// [`Category::Io`](crate::Category::Io) if no port is free.
pub fn bind_loopback() -> Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0").map_err(|error| Inner::Bind(error).into())
}

/// The request handling of one kind of stand-in, behind fault injection.
pub(crate) trait Backend: Send + Sync + 'static {
    /// Executes a request and returns the response.
    fn execute(&self, request: &Request, plan: &FaultPlan) -> Response;

    /// Executes a request and sends the response, unless the plan drops it.
    fn respond(&self, request: &Request, plan: &FaultPlan, responder: Responder) {
        let response = self.execute(request, plan);
        if plan.lose_reply {
            responder.abort();
        } else {
            responder.send(response);
        }
    }
}

/// The HTTP server of one stand-in.
pub(crate) struct StandinServer {
    server: Server,
    faults: Arc<Faults>,
}

impl StandinServer {
    pub(crate) fn start<S: Backend>(listener: TcpListener, backend: Arc<S>) -> Result<Self> {
        let faults = Arc::new(Faults::default());
        let handler = FaultInjector {
            backend,
            faults: faults.clone(),
        };
        let limits = Limits {
            max_body_bytes: MAX_BODY_BYTES,
            head_timeout: Duration::from_secs(60),
            ..Limits::default()
        };
        let server = Server::start(listener, limits, Arc::new(handler)).map_err(Inner::Start)?;
        Ok(Self { server, faults })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub(crate) fn faults(&self) -> &Faults {
        &self.faults
    }
}

/// Applies the injected faults before passing a request to the backend.
struct FaultInjector<S> {
    backend: Arc<S>,
    faults: Arc<Faults>,
}

impl<S: Backend> FaultInjector<S> {
    fn handle_fault_request(&self, request: &Request) -> Response {
        match request.method.as_str() {
            "POST" => match parse::<Fault>(request) {
                Ok(fault) => match self.faults.inject(fault) {
                    true => Response::json(200, &json!({})),
                    false => error_response(429, "overloaded", "too many injected faults"),
                },
                Err(response) => response,
            },
            "DELETE" => {
                self.faults.clear();
                Response::json(200, &json!({}))
            }
            _ => endpoint_not_found(),
        }
    }
}

impl<S: Backend> Handler for FaultInjector<S> {
    fn handle(&self, request: &Request, responder: Responder) {
        if request.path == "/faults" {
            return responder.send(self.handle_fault_request(request));
        }
        let plan = self.faults.take_plan(request);
        std::thread::sleep(plan.delay);
        if plan.lose_request {
            responder.abort();
        } else if plan.refuse {
            responder.send(error_response(503, "unavailable", "injected fault"));
        } else {
            self.backend.respond(request, &plan, responder);
        }
    }
}

/// Parses the request body as JSON; a malformed body yields an error response.
pub(crate) fn parse<T: DeserializeOwned>(request: &Request) -> std::result::Result<T, Response> {
    serde_json::from_slice(&request.body)
        .map_err(|error| error_response(400, "bad_request", &error.to_string()))
}

pub(crate) fn error_response(status: u16, code: &str, message: &str) -> Response {
    let error = json!({ "error": { "code": code, "message": message } });
    Response::json(status, &error)
}

pub(crate) fn endpoint_not_found() -> Response {
    error_response(404, "not_found", "no such endpoint")
}

/// Percent-decodes a path segment or query value.
pub(crate) fn percent_decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}
