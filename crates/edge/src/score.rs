//! Calls to scorers for complete texts.

use crate::clock;
use crate::cluster::ClusterState;
use crate::headers::{header_number, header_str, is_not_run, is_response_to};
use crate::permit::{Permit, RequestKind};
use crate::protocol::Protocol;
use crate::routing::ServiceRouters;
use bytes::Bytes;
use dogwoodlb_batch::Scorer;
use dogwoodlb_client::Client;
use dogwoodlb_config::Route;
use dogwoodlb_route::Outcome;
use dogwoodlb_types::{id, Instant};
use hyper::header::{HeaderValue, HOST};
use hyper::{Method, Request, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The time-out of one call, after which another replica is tried. Scoring calls are idempotent.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
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

/// The result of one scoring call.
enum Attempt {
    /// The signature of the scorer from the response header.
    Signed(String),
    /// The scorer ran and failed, which counts towards the maximum number of attempts.
    Failed,
    /// No replica gave a usable response. The call is repeated after a back-off.
    Retry,
    /// The call was not sent, because the replica began to leave. Another one is tried at once.
    Unsent,
    /// The call was not sent, because this node doesn't run the batch of the item any more.
    Revoked,
}

/// Sends scoring calls.
pub(crate) struct ScoreClient {
    pub(crate) client: Client,
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) routers: Rc<ServiceRouters>,
    pub(crate) cluster: Rc<ClusterState>,
}

impl ScoreClient {
    /// Calls the scorer until it returns a signature, fails permanently, or the deadline passes.
    pub(crate) async fn score(
        &self,
        scorer: &Scorer,
        permit: &Permit,
        until: Instant,
    ) -> ScoreOutcome {
        let mut failures = 0;
        let mut retry = MIN_RETRY_DELAY;
        let mut tried: Vec<id::Upstream> = Vec::new();
        while clock::now() < until {
            let config = self.cluster.config();
            let route = config
                .as_ref()
                .and_then(|c| c.route(&scorer.host, &scorer.path));
            let call = match route {
                Some(route) => {
                    let has_failed = failures > 0;
                    self.call(scorer, permit, route, &mut tried, has_failed)
                        .await
                }
                None => Attempt::Retry,
            };
            match call {
                Attempt::Signed(signature) => return ScoreOutcome::Signed(signature),
                Attempt::Revoked => return ScoreOutcome::Revoked,
                Attempt::Unsent => {}
                Attempt::Failed => {
                    failures += 1;
                    if route.is_some_and(|route| failures >= route.max_attempts) {
                        tracing::info!(request = scorer.id, failures, "score_failed");
                        return ScoreOutcome::Failed;
                    }
                }
                Attempt::Retry => {
                    sleep(retry).await;
                    retry = (retry * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
        ScoreOutcome::TimedOut
    }

    async fn call(
        &self,
        scorer: &Scorer,
        permit: &Permit,
        route: &Route,
        tried: &mut Vec<id::Upstream>,
        has_failed: bool,
    ) -> Attempt {
        let Some(service) = route.select_service(rand::random()) else {
            return Attempt::Retry;
        };
        let selection = self.routers.select(service, tried);
        let Some(mut selection) = selection else {
            // No replica can be selected: all have been tried, none is free, the service has no
            // router, or the address of the replica is unknown. The next call may select any of
            // them again.
            tried.clear();
            return Attempt::Retry;
        };
        tried.push(selection.replica.clone());
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
        map.insert(
            headers.deadline_ms.clone(),
            header_number(CALL_TIMEOUT.as_millis()),
        );
        let may_send = || selection.may_send() && permit.allows(RequestKind::Score, &scorer.id);
        let client = self.client.checked(&may_send);
        let exchange = async {
            let mut response = client.send(selection.address, request).await?;
            let id_matches = is_response_to(headers, &response.head, &scorer.id);
            match id_matches {
                true => selection.observe(headers, &response.head),
                false => response.body.prevent_reuse(),
            }
            let head = response.head;
            response.body.collect(MAX_RESPONSE_BYTES).await?;
            Ok::<_, dogwoodlb_client::Error>((head, id_matches))
        };
        let (head, id_matches) = match timeout(CALL_TIMEOUT, exchange).await {
            Ok(Ok(response)) => response,
            Ok(Err(dogwoodlb_client::Error::Revoked { .. })) => {
                let is_left = !selection.may_send();
                selection.finish(Outcome::Cancelled);
                tried.pop();
                return match is_left {
                    true => Attempt::Unsent,
                    false => Attempt::Revoked,
                };
            }
            Ok(Err(error)) => {
                tracing::info!(request = scorer.id, replica = %selection.replica, %error, "score_call_failed");
                selection.finish(Outcome::Failure);
                return Attempt::Retry;
            }
            Err(_) => {
                tracing::info!(request = scorer.id, replica = %selection.replica, "score_timeout");
                selection.finish(Outcome::Failure);
                return Attempt::Retry;
            }
        };
        if !id_matches {
            selection.finish(Outcome::Failure);
            return Attempt::Retry;
        }
        if is_not_run(headers, &head) {
            selection.finish(Outcome::Cancelled);
            return Attempt::Retry;
        }
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
