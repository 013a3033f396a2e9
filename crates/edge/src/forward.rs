//! Sends a caller's request to a replica and its answer back.

use crate::clock;
use crate::fleet::{Fleet, Picked};
use crate::headers::{is_not_run, millis, number, strip, text};
use crate::metrics::Metrics;
use crate::protocol::Protocol;
use crate::reply::{self, Body};
use bytes::Bytes;
use dogwoodlb_client::Client;
use dogwoodlb_config::{Kind, Route, Snapshot};
use dogwoodlb_route::Outcome;
use dogwoodlb_types::{id, Instant};
use http_body_util::StreamBody;
use hyper::body::{Body as _, Frame, Incoming};
use hyper::header::{HeaderValue, CONTENT_LENGTH, HOST};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Bodies up to this size are held, so that a request can be sent again and an answer checked.
const HELD_BYTES: usize = 512 * 1024;
/// How long a caller waits who does not say.
const DEFAULT_WAIT: Duration = Duration::from_secs(30);
/// Taken off the time that a replica gets, for the way back.
const WAY_BACK: Duration = Duration::from_millis(15);
/// The pause before a replica is looked for again.
const FREE_POLL: Duration = Duration::from_millis(15);
/// The part of the latency objective for which a request may wait for a replica.
const WAIT_SHARE: f64 = 0.2;
/// When a refused caller should come back.
const COME_BACK: Duration = Duration::from_millis(100);
/// A repeatable request that takes this many times its latency objective is sent elsewhere.
const PATIENCE: f64 = 1.5;
const LEAST_PATIENCE: Duration = Duration::from_millis(250);
/// The attempts that may be broken off for their slowness; a request that needs long would
/// otherwise never end.
const IMPATIENT_ATTEMPTS: u32 = 1;

/// The parts that forwarding needs.
pub(crate) struct Forwarder {
    pub(crate) client: Client,
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) metrics: Rc<Metrics>,
}

/// A request on its way.
struct Job<'a> {
    route: &'a Route,
    service: &'a str,
    request_id: String,
    began: Instant,
    deadline: Instant,
    head: &'a Parts,
    body: Bytes,
}

/// What became of one attempt.
enum Attempt {
    /// The answer for the caller.
    Answered(Response<Body>),
    /// The replica did not run the request.
    NotRun,
    /// The request may have run; the answer, if there is one, is the replica's failure.
    Failed(Option<Response<Body>>),
    /// The time of the request is over; it may have run.
    Late,
}

impl Forwarder {
    /// Serves one request.
    pub(crate) async fn serve(
        &self,
        request: Request<Incoming>,
        config: &Snapshot,
        route: &Route,
    ) -> Response<Body> {
        let began = clock::now();
        let headers = self.protocol.headers();
        let (head, body) = request.into_parts();
        let wait = millis(&head.headers, &headers.deadline_ms).unwrap_or(DEFAULT_WAIT);
        let wait = route.timeout.map_or(wait, |timeout| timeout.min(wait));
        let Some(service) = route.service(rand::random()) else {
            return reply::refusal("the route leads to no service", COME_BACK);
        };
        let request_id = text(&head.headers, &headers.request_id).unwrap_or_default();
        let mut job = Job {
            route,
            service,
            request_id: request_id.to_owned(),
            began,
            deadline: began + wait,
            head: &head,
            body: Bytes::new(),
        };
        let stated = body.size_hint().exact();
        if stated.is_some_and(|length| length > HELD_BYTES as u64) {
            return self.pass(&job, body).await;
        }
        let limit = config.limits().body_bytes;
        job.body = match reply::read_body(body, limit, wait).await {
            Ok(body) => body,
            Err(refusal) => return refusal,
        };
        let served = timeout(wait, self.attempts(&job)).await;
        served.unwrap_or_else(|_| self.late(&job, 0))
    }

    fn late(&self, job: &Job<'_>, attempts: usize) -> Response<Body> {
        self.log(job, "timeout", attempts);
        late()
    }

    async fn attempts(&self, job: &Job<'_>) -> Response<Body> {
        let mut tried: Vec<id::Upstream> = Vec::new();
        let mut may_have_run = false;
        let mut failure = None;
        let most = job.route.max_attempts.max(1) as usize;
        while tried.len() < most {
            let Some(picked) = self.wait_for_replica(job, &tried).await else {
                break;
            };
            tried.push(picked.replica.clone());
            let is_last = tried.len() >= most;
            match self.attempt(job, picked, tried.len(), is_last).await {
                Attempt::Answered(response) => return response,
                Attempt::NotRun => {}
                Attempt::Late => return self.late(job, tried.len()),
                Attempt::Failed(response) => {
                    may_have_run = true;
                    failure = response;
                    if job.route.kind != Kind::Safe {
                        break;
                    }
                }
            }
        }
        if let Some(response) = failure {
            return response;
        }
        if may_have_run {
            self.log(job, "failed", tried.len());
            return reply::status(
                StatusCode::BAD_GATEWAY,
                "the replica failed; it may have run",
            );
        }
        self.log(job, "not_run", tried.len());
        reply::refusal("no replica took the request; it has not run", COME_BACK)
    }

    /// Picks a replica, waiting a little if none is free.
    async fn wait_for_replica(&self, job: &Job<'_>, tried: &[id::Upstream]) -> Option<Picked> {
        let until = job.began + job.route.target.mul_f64(WAIT_SHARE);
        loop {
            let picked = self.fleet.pick(job.service, tried);
            if picked.is_some() || clock::now() >= until {
                return picked;
            }
            sleep(FREE_POLL).await;
        }
    }

    async fn attempt(
        &self,
        job: &Job<'_>,
        mut picked: Picked,
        number: usize,
        is_last: bool,
    ) -> Attempt {
        let left = job.deadline.saturating_since(clock::now());
        let impatient = number as u32 <= IMPATIENT_ATTEMPTS && !is_last;
        let patience = job.route.target.mul_f64(PATIENCE).max(LEAST_PATIENCE);
        let wait = match job.route.kind {
            Kind::Safe if impatient => patience.min(left),
            _ => left,
        };
        let request = self.request(job, &picked, left).map(|()| job.body.clone());
        let outcome = timeout(wait, self.exchange(job, request, &mut picked)).await;
        match outcome {
            Ok(attempt) => attempt,
            Err(_) => {
                picked.end(Outcome::Failure);
                tracing::info!(
                    request = job.request_id,
                    replica = %picked.replica,
                    wait_ms = wait.as_millis(),
                    "attempt_slow"
                );
                match wait < left {
                    true => Attempt::Failed(None),
                    false => Attempt::Late,
                }
            }
        }
    }

    async fn exchange(
        &self,
        job: &Job<'_>,
        request: Request<Bytes>,
        picked: &mut Picked,
    ) -> Attempt {
        let answer = match self.client.send(picked.address, request).await {
            Ok(answer) => answer,
            Err(error) => {
                picked.end(Outcome::Failure);
                let replica = &picked.replica;
                tracing::info!(request = job.request_id, %replica, %error, "attempt_failed");
                return if error.is_unsent() {
                    Attempt::NotRun
                } else {
                    Attempt::Failed(None)
                };
            }
        };
        self.judge(job, answer, picked).await
    }

    /// Decides what an answer means, and reads it if it is short.
    async fn judge(
        &self,
        job: &Job<'_>,
        mut answer: dogwoodlb_client::Response,
        picked: &mut Picked,
    ) -> Attempt {
        let headers = self.protocol.headers();
        let echoed = text(&answer.head.headers, &headers.request_id);
        if echoed.is_some_and(|echoed| echoed != job.request_id) {
            tracing::warn!(request = job.request_id, replica = %picked.replica, "answer_of_other");
            answer.body.prevent_reuse();
            picked.end(Outcome::Failure);
            return Attempt::Failed(None);
        }
        if is_not_run(headers, &answer.head) {
            let status = answer.head.status.as_u16();
            tracing::debug!(request = job.request_id, replica = %picked.replica, status, "not_run");
            // Read to its end, so that the connection can be used again.
            let _ = answer.body.collect(HELD_BYTES).await;
            picked.end(Outcome::Cancelled);
            return Attempt::NotRun;
        }
        let is_failure = answer.head.status.is_server_error();
        let is_short = answer
            .body
            .content_length()
            .is_some_and(|l| l <= HELD_BYTES as u64);
        if !is_short {
            picked.end(Outcome::Success);
            return Attempt::Answered(stream(answer));
        }
        let (head, body) = (answer.head, answer.body);
        match body.collect(HELD_BYTES).await {
            Ok(body) if is_failure => {
                picked.end(Outcome::Success);
                Attempt::Failed(Some(answer_of(head, reply::whole(body))))
            }
            Ok(body) => {
                picked.end(Outcome::Success);
                self.metrics.served(job.began);
                Attempt::Answered(answer_of(head, reply::whole(body)))
            }
            Err(error) => {
                tracing::info!(request = job.request_id, replica = %picked.replica, %error, "answer_broken");
                picked.end(Outcome::Failure);
                Attempt::Failed(None)
            }
        }
    }

    /// Sends a request whose body is too long to be held, once.
    async fn pass(&self, job: &Job<'_>, body: Incoming) -> Response<Body> {
        let Some(mut picked) = self.wait_for_replica(job, &[]).await else {
            return reply::refusal("no replica is free; it has not run", COME_BACK);
        };
        let left = job.deadline.saturating_since(clock::now());
        let length = body.size_hint().exact();
        let mut request = self.request(job, &picked, left).map(|()| body);
        if let Some(length) = length {
            request.headers_mut().insert(CONTENT_LENGTH, length.into());
        }
        match timeout(left, self.client.send_streaming(picked.address, request)).await {
            Ok(Ok(mut answer)) => {
                // An early answer leaves the rest of the body on the connection.
                answer.body.prevent_reuse();
                match self.judge(job, answer, &mut picked).await {
                    Attempt::Answered(response) | Attempt::Failed(Some(response)) => response,
                    Attempt::NotRun => reply::refusal("the replica did not run it", COME_BACK),
                    Attempt::Failed(None) | Attempt::Late => reply::status(
                        StatusCode::BAD_GATEWAY,
                        "the replica failed; it may have run",
                    ),
                }
            }
            Ok(Err(error)) if error.is_unsent() => {
                reply::refusal("the replica can't be reached; it has not run", COME_BACK)
            }
            Ok(Err(_)) => reply::status(
                StatusCode::BAD_GATEWAY,
                "the replica failed; it may have run",
            ),
            Err(_) => late(),
        }
    }

    fn request(&self, job: &Job<'_>, picked: &Picked, left: Duration) -> Request<()> {
        let names = self.protocol.headers();
        let mut request = Request::new(());
        *request.method_mut() = job.head.method.clone();
        *request.uri_mut() = job.head.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&job.head.headers);
        strip(headers);
        headers.remove(CONTENT_LENGTH);
        let left = left.saturating_sub(WAY_BACK).as_millis();
        headers.insert(names.deadline_ms.clone(), number(left));
        if let Ok(replica) = HeaderValue::from_str(picked.replica.as_str()) {
            headers.insert(names.instance.clone(), replica);
        }
        if !headers.contains_key(HOST) {
            if let Ok(host) = HeaderValue::from_str(&job.route.host) {
                headers.insert(HOST, host);
            }
        }
        request
    }

    fn log(&self, job: &Job<'_>, outcome: &'static str, attempts: usize) {
        self.metrics.refused(outcome);
        tracing::info!(
            request = job.request_id,
            route = job.route.name,
            service = job.service,
            attempts,
            took_ms = clock::now().saturating_since(job.began).as_millis(),
            outcome,
            "request_ended"
        );
    }
}

fn answer_of(head: hyper::http::response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    strip(response.headers_mut());
    response
}

/// Passes a long answer on as it arrives.
/// Answers a request whose time is over.
pub(crate) fn late() -> Response<Body> {
    let reason = "no answer in time; it may have run";
    reply::status(StatusCode::GATEWAY_TIMEOUT, reason)
}

fn stream(answer: dogwoodlb_client::Response) -> Response<Body> {
    let frames = futures_util::stream::unfold(Some(answer.body), |body| async move {
        let mut body = body?;
        match body.next().await {
            Ok(Some(data)) => Some((Ok(Frame::data(data)), Some(body))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    answer_of(answer.head, Box::pin(StreamBody::new(frames)))
}
