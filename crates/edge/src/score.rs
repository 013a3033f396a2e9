//! Calls to scorers for complete texts.

use crate::clock;
use crate::cluster::ClusterState;
use crate::correlation::{correlate, SentRequest, Unanswered};
use crate::headers::{header_number, header_str};
use crate::hedge::{Copies, Step};
use crate::permit::{Permit, RequestKind};
use crate::protocol::Protocol;
use crate::routing::{Selection, ServiceRouters};
use bytes::Bytes;
use dogwoodlb_batch::Scorer;
use dogwoodlb_client::Client;
use dogwoodlb_config::{Route, Snapshot};
use dogwoodlb_route::Outcome;
use dogwoodlb_types::{id, Instant};
use hyper::header::{HeaderValue, HOST};
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// The bounds of the exponential back-off after calls without a usable response.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(25);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// The maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// The result of scoring an item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ScoreOutcome {
    /// The signature of the scorer from the response header, which is stored as the score of the
    /// item. The response body is read and discarded.
    Signed(String),
    /// The scorer failed as many times as the route permits.
    Failed,
    /// The deadline passed.
    TimedOut,
    /// This node doesn't run the batch of the item any more.
    Revoked,
}

/// The result of one copy of a scoring call.
enum Attempt {
    /// The signature of the scorer from the response header.
    Signed(String),
    /// The scorer ran and failed, which counts towards the maximum number of attempts.
    Failed,
    /// The replica gave no usable response. Another copy is sent after a back-off.
    Retry,
    /// The copy was not sent, because the replica began to leave. Another one is tried at once.
    Unsent,
    /// The copy was not sent, because this node doesn't run the batch of the item any more.
    Revoked,
}

/// Sends scoring calls.
pub(crate) struct ScoreClient {
    pub(crate) client: Client,
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) routers: Rc<ServiceRouters>,
    pub(crate) cluster: Rc<ClusterState>,
}

/// A scoring call in progress.
struct Call<'a> {
    client: &'a ScoreClient,
    scorer: &'a Scorer,
    permit: &'a Permit,
    until: Instant,
    /// The number of copies that the scorer failed. The exchanges of later copies read it.
    failures: &'a Cell<u32>,
    copies: Copies<'a, Attempt>,
    tried: Vec<id::Upstream>,
    /// When the first copy, or one in place of another, is sent.
    send_at: Option<Instant>,
    retry_delay: Duration,
}

impl ScoreClient {
    /// Calls the scorer until it returns a signature, fails permanently, or the deadline passes.
    pub(crate) async fn score(
        &self,
        scorer: &Scorer,
        permit: &Permit,
        until: Instant,
    ) -> ScoreOutcome {
        let failures = Cell::new(0);
        let is_usable = |attempt: &Attempt| matches!(attempt, Attempt::Signed(_));
        let call = Call {
            client: self,
            scorer,
            permit,
            until,
            failures: &failures,
            copies: self.routers.hedger.begin(&scorer.id, is_usable),
            tried: Vec::new(),
            send_at: Some(clock::now()),
            retry_delay: MIN_RETRY_DELAY,
        };
        call.run().await
    }
}

impl<'a> Call<'a> {
    async fn run(mut self) -> ScoreOutcome {
        while clock::now() < self.until {
            if self.send_at.is_some_and(|at| at <= clock::now()) {
                self.send();
            }
            let wake = self.send_at.unwrap_or(self.until).min(self.until);
            match self.copies.next(wake, true).await {
                Step::Ended(replica, attempt) => {
                    if let Some(outcome) = self.on_ended(&replica, attempt) {
                        return outcome;
                    }
                }
                Step::Removed => self.send_at = Some(clock::now()),
                Step::HedgeDue => self.send_hedge(),
                Step::Woken => {}
            }
        }
        self.copies.expire();
        ScoreOutcome::TimedOut
    }

    /// Records the end of a copy. Returns the outcome if it ends the call.
    fn on_ended(&mut self, replica: &id::Upstream, attempt: Attempt) -> Option<ScoreOutcome> {
        match attempt {
            Attempt::Signed(signature) => return Some(ScoreOutcome::Signed(signature)),
            Attempt::Revoked => return Some(ScoreOutcome::Revoked),
            Attempt::Unsent => {
                self.tried.retain(|tried| tried != replica);
                self.send_at = Some(clock::now());
            }
            Attempt::Failed => {
                self.failures.set(self.failures.get() + 1);
                if self.has_failed() {
                    return Some(ScoreOutcome::Failed);
                }
                self.send_at = Some(clock::now());
            }
            Attempt::Retry => self.send_later(),
        }
        None
    }

    fn send_later(&mut self) {
        self.send_at = Some(clock::now() + self.retry_delay);
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
    }

    /// Returns whether the scorer has failed as many copies as the route permits.
    fn has_failed(&self) -> bool {
        let failures = self.failures.get();
        let config = self.client.cluster.config();
        let route = config
            .as_ref()
            .and_then(|config| config.route(&self.scorer.host, &self.scorer.path));
        let has_failed = route.is_some_and(|route| failures >= route.max_attempts);
        if has_failed {
            tracing::info!(request = self.scorer.id, failures, "score_failed");
        }
        has_failed
    }

    /// Sends the first copy, or one in place of another, if a replica is free.
    fn send(&mut self) {
        let config = self.client.cluster.config();
        let Some((route, selection)) = self.select(config.as_deref()) else {
            return self.send_later();
        };
        self.send_at = None;
        self.tried.push(selection.replica.clone());
        let due_at = self.due_at(route);
        let exchange = self.exchange(selection.clone(), due_at);
        self.copies.send(route, &selection, due_at, exchange);
    }

    /// Sends a hedge, if a replica is free and the budget permits it.
    fn send_hedge(&mut self) {
        let config = self.client.cluster.config();
        let Some((route, selection)) = self.select(config.as_deref()) else {
            return self.copies.postpone_hedge();
        };
        let due_at = self.due_at(route);
        let exchange = self.exchange(selection.clone(), due_at);
        if self.copies.send_hedge(route, &selection, due_at, exchange) {
            self.tried.push(selection.replica.clone());
        }
    }

    /// Selects a replica for the next copy, by the present configuration.
    fn select<'c>(&mut self, config: Option<&'c Snapshot>) -> Option<(&'c Route, Rc<Selection>)> {
        let route = config?.route(&self.scorer.host, &self.scorer.path)?;
        let service = route.select_service(rand::random())?;
        let selection = self.client.routers.select(service, &self.tried);
        if selection.is_none() {
            // All have been tried, none is free, the service has no router, or the address of the
            // replica is unknown. The next copy may select any of them again, except those on
            // which copies are running.
            self.tried = self.copies.replicas().cloned().collect();
        }
        Some((route, Rc::new(selection?)))
    }

    /// Returns the end of the time that the replica of the next copy is told: the time that is left,
    /// but at most the time-out of the route.
    fn due_at(&self, route: &Route) -> Instant {
        let timeout = route.timeout.unwrap_or(Duration::MAX);
        self.until.min(clock::now() + timeout)
    }

    /// Returns the exchange of a copy with a replica.
    fn exchange(
        &self,
        selection: Rc<Selection>,
        due_at: Instant,
    ) -> impl Future<Output = Attempt> + 'a {
        let (client, scorer, permit) = (self.client, self.scorer, self.permit);
        let failures = self.failures;
        async move {
            let told = due_at.saturating_since(clock::now());
            let request = client.build_request(scorer, &selection, told);
            match client.send(scorer, permit, request, &selection).await {
                Ok(head) => client.classify(&head, &selection, failures.get() > 0),
                Err(attempt) => attempt,
            }
        }
    }
}

impl ScoreClient {
    fn build_request(
        &self,
        scorer: &Scorer,
        selection: &Selection,
        time_left: Duration,
    ) -> Request<Bytes> {
        let headers = self.protocol.headers();
        let mut request = Request::new(Bytes::from(scorer.body.clone()));
        *request.method_mut() = Method::POST;
        if let Ok(path) = scorer.path.parse() {
            *request.uri_mut() = path;
        }
        let map = request.headers_mut();
        let values = [
            (HOST, scorer.host.as_str()),
            (headers.request_id.clone(), &scorer.id),
            (headers.instance.clone(), selection.replica.as_str()),
        ];
        for (name, value) in values {
            if let Ok(value) = HeaderValue::from_str(value) {
                map.insert(name, value);
            }
        }
        let time_left = header_number(time_left.as_millis());
        map.insert(headers.deadline_ms.clone(), time_left);
        request
    }

    /// Sends a request, and returns the head of the response to it.
    ///
    /// # Errors
    ///
    /// The result of the copy, if there is no response to this request.
    async fn send(
        &self,
        scorer: &Scorer,
        permit: &Permit,
        request: Request<Bytes>,
        selection: &Selection,
    ) -> Result<Parts, Attempt> {
        let headers = self.protocol.headers();
        let may_send = || selection.may_send() && permit.allows(RequestKind::Score, &scorer.id);
        let client = self.client.checked(&may_send);
        let failed = |error| on_error(error, scorer, selection);
        let response = client.send(selection.address, request).await;
        let response = response.map_err(failed)?;
        let request = SentRequest {
            id: &scorer.id,
            replica: selection.replica.as_str(),
        };
        let response = match correlate(headers, request, response).await {
            Ok(response) => response,
            Err(Unanswered::NotRun(head)) => {
                selection.observe(headers, &head);
                selection.finish(Outcome::Cancelled);
                return Err(Attempt::Retry);
            }
            Err(Unanswered::Unknown) => {
                selection.finish(Outcome::Failure);
                return Err(Attempt::Retry);
            }
        };
        let head = response.head;
        selection.observe(headers, &head);
        let body = response.body.collect(MAX_RESPONSE_BYTES).await;
        body.map_err(failed)?;
        Ok(head)
    }

    fn classify(&self, head: &Parts, selection: &Selection, has_failed: bool) -> Attempt {
        let headers = self.protocol.headers();
        selection.finish(match head.status.is_server_error() {
            // A text that fails again says little about the replica.
            true if has_failed => Outcome::Cancelled,
            true => Outcome::Failure,
            false => Outcome::Success,
        });
        let signature = header_str(&head.headers, &headers.signature);
        match signature {
            Some(signature) if head.status.is_success() => Attempt::Signed(signature.to_owned()),
            _ if head.status == StatusCode::INTERNAL_SERVER_ERROR => Attempt::Failed,
            _ => Attempt::Retry,
        }
    }
}

/// Returns the result of a copy that ended without a complete response.
fn on_error(error: dogwoodlb_client::Error, scorer: &Scorer, selection: &Selection) -> Attempt {
    if matches!(error, dogwoodlb_client::Error::Revoked { .. }) {
        let is_left = !selection.may_send();
        selection.finish(Outcome::Cancelled);
        return match is_left {
            true => Attempt::Unsent,
            false => Attempt::Revoked,
        };
    }
    let replica = &selection.replica;
    tracing::info!(request = scorer.id, %replica, %error, "score_call_failed");
    selection.finish(Outcome::Failure);
    Attempt::Retry
}
