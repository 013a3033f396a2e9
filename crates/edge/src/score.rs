//! The calls that score finished texts.

use crate::clock;
use crate::fleet::Fleet;
use crate::headers::{is_not_run, number, text};
use crate::known::Known;
use crate::protocol::Protocol;
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

/// How long one call may take before another replica is asked; the calls may be repeated.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// The pause after a call that no replica took.
const FIRST_RETRY: Duration = Duration::from_millis(25);
const LAST_RETRY: Duration = Duration::from_millis(400);
/// The largest answer.
const ANSWER_BYTES: usize = 256 * 1024;

/// How the scoring of an item ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Scored {
    /// The scorer's signature.
    Signed(String),
    /// The scorer failed as often as it may.
    Failed,
    /// There was no time left.
    Late,
}

enum Call {
    Signed(String),
    Failed,
    NoAnswer,
}

/// Sends scoring calls.
pub(crate) struct ScoreCaller {
    pub(crate) client: Client,
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) known: Rc<Known>,
}

impl ScoreCaller {
    /// Calls the scorer until it signs, fails for good, or the time is up.
    pub(crate) async fn score(&self, scorer: &Scorer, until: Instant) -> Scored {
        let mut failures = 0;
        let mut retry = FIRST_RETRY;
        let mut tried: Vec<id::Upstream> = Vec::new();
        while clock::now() < until {
            let config = self.known.config();
            let route = config
                .as_ref()
                .and_then(|c| c.route(&scorer.host, &scorer.path));
            let call = match route {
                Some(route) => self.call(scorer, route, &mut tried).await,
                None => Call::NoAnswer,
            };
            match call {
                Call::Signed(score) => return Scored::Signed(score),
                Call::Failed => {
                    failures += 1;
                    if route.is_some_and(|route| failures >= route.max_attempts) {
                        tracing::info!(request = scorer.id, failures, "score_failed");
                        return Scored::Failed;
                    }
                }
                Call::NoAnswer => {
                    sleep(retry).await;
                    retry = (retry * 2).min(LAST_RETRY);
                }
            }
        }
        Scored::Late
    }

    async fn call(&self, scorer: &Scorer, route: &Route, tried: &mut Vec<id::Upstream>) -> Call {
        let Some(service) = route.service(rand::random()) else {
            return Call::NoAnswer;
        };
        let picked = self.fleet.pick(service, tried);
        let Some(mut picked) = picked else {
            // All have been tried; the next round may use each of them again.
            tried.clear();
            return Call::NoAnswer;
        };
        tried.push(picked.replica.clone());
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
            (headers.instance.clone(), picked.replica.as_str()),
        ];
        for (name, value) in values {
            if let Ok(value) = HeaderValue::from_str(value) {
                map.insert(name, value);
            }
        }
        map.insert(
            headers.deadline_ms.clone(),
            number(CALL_TIMEOUT.as_millis()),
        );
        let exchange = async {
            let mut answer = self.client.send(picked.address, request).await?;
            let echoed = text(&answer.head.headers, &headers.request_id);
            let is_own = echoed.is_none_or(|echoed| echoed == scorer.id);
            if !is_own {
                answer.body.prevent_reuse();
            }
            let head = answer.head;
            answer.body.collect(ANSWER_BYTES).await?;
            Ok::<_, dogwoodlb_client::Error>((head, is_own))
        };
        let (head, is_own) = match timeout(CALL_TIMEOUT, exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                tracing::info!(request = scorer.id, replica = %picked.replica, %error, "score_not_called");
                picked.end(Outcome::Failure);
                return Call::NoAnswer;
            }
            Err(_) => {
                tracing::info!(request = scorer.id, replica = %picked.replica, "score_silent");
                picked.end(Outcome::Failure);
                return Call::NoAnswer;
            }
        };
        if !is_own {
            picked.end(Outcome::Failure);
            return Call::NoAnswer;
        }
        if is_not_run(headers, &head) {
            picked.end(Outcome::Cancelled);
            return Call::NoAnswer;
        }
        picked.end(Outcome::Success);
        let score = text(&head.headers, &headers.signature);
        match score {
            Some(score) if head.status.is_success() => Call::Signed(score.to_owned()),
            _ if head.status == StatusCode::INTERNAL_SERVER_ERROR => Call::Failed,
            _ => Call::NoAnswer,
        }
    }
}
