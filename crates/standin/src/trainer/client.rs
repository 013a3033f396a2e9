use super::Config;
use dogwoodlb_adapter::ServiceClient;
use dogwoodlb_external::service::Call;
use dogwoodlb_external::{Category, Service as _};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// The delay before a call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A client that follows redirects to the node that owns the trainer.
pub(super) struct Client {
    service: ServiceClient,
    trainer: String,
    addresses: Vec<SocketAddr>,
    /// The index of the next fallback address.
    next_index: usize,
    current: SocketAddr,
    deadline: Instant,
    call_count: u64,
    /// The address and the outcome of the last attempt that was retried.
    last_failure: Option<String>,
    pub(super) redirected: u64,
    pub(super) retried: u64,
}

/// The reason why a trainer stops.
pub(super) enum StopReason {
    /// A later session took over.
    Fenced,
    /// Any other failure.
    Failed(String),
}

pub(super) struct Reply {
    pub(super) status: u16,
    /// Whether an earlier attempt of the request may have taken effect.
    pub(super) repeated: bool,
    /// The method, the path and the node that responded.
    request: String,
    body: Vec<u8>,
}

impl Reply {
    pub(super) fn json<T: DeserializeOwned>(&self) -> Result<T, StopReason> {
        self.expect_status(&[200, 201])?;
        serde_json::from_slice(&self.body).map_err(|error| {
            StopReason::Failed(format!("{}: malformed response: {error}", self.request))
        })
    }

    pub(super) fn u64_field(&self, field: &str) -> Result<u64, StopReason> {
        let value: Value = self.json()?;
        let number = value[field].as_u64();
        number.ok_or_else(|| {
            StopReason::Failed(format!(
                "{}: the response lacks the numeric field {field}",
                self.request
            ))
        })
    }

    pub(super) fn expect_status(&self, statuses: &[u16]) -> Result<(), StopReason> {
        if statuses.contains(&self.status) {
            return Ok(());
        }
        let body = String::from_utf8_lossy(&self.body);
        Err(StopReason::Failed(format!(
            "{}: status {}: {body}",
            self.request, self.status
        )))
    }
}

/// The next action after an attempt.
enum NextAction {
    Return(u16, Vec<u8>),
    /// Redirects to the owner of the trainer.
    Follow(SocketAddr),
    /// Retries at another address; `true` if the request may have taken effect.
    Retry(bool),
    Stop,
}

impl Client {
    pub(super) fn new(config: &Config) -> Self {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        Self {
            service: ServiceClient::new(),
            trainer: config.trainer.to_string(),
            addresses: config.addresses.clone(),
            next_index: 1,
            current: config.addresses.first().copied().unwrap_or(unset),
            deadline: Instant::now() + config.timeout,
            call_count: 0,
            last_failure: None,
            redirected: 0,
            retried: 0,
        }
    }

    /// Calls an endpoint of the trainer, with retries, until a node returns a final response.
    pub(super) fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &Value,
    ) -> Result<Reply, StopReason> {
        let path = format!("/v1/trainers/{}/{path}", self.trainer);
        let mut repeated = false;
        while Instant::now() < self.deadline {
            match self.attempt(method, &path, body) {
                NextAction::Return(status, body) => {
                    return Ok(Reply {
                        status,
                        repeated,
                        request: format!("{method} {path} at {}", self.current),
                        body,
                    });
                }
                NextAction::Stop => return Err(StopReason::Fenced),
                NextAction::Follow(owner) => {
                    self.redirected += 1;
                    let is_same_node = owner == self.current;
                    self.current = owner;
                    // A node that names itself as the owner is still taking over the trainer.
                    std::thread::sleep(if is_same_node {
                        RETRY_DELAY
                    } else {
                        RETRY_DELAY / 10
                    });
                }
                NextAction::Retry(may_have_run) => {
                    self.retried += 1;
                    repeated |= may_have_run;
                    self.try_next_address();
                    std::thread::sleep(RETRY_DELAY);
                }
            }
        }
        let last = self.last_failure.as_deref().unwrap_or("none");
        let reason = format!(
            "{method} {path} got no final response before the deadline; last failure: {last}"
        );
        Err(StopReason::Failed(reason))
    }

    fn try_next_address(&mut self) {
        if let Some(address) = self
            .addresses
            .get(self.next_index % self.addresses.len().max(1))
        {
            self.current = *address;
        }
        self.next_index += 1;
    }

    fn attempt(&mut self, method: &str, path: &str, body: &Value) -> NextAction {
        self.call_count += 1;
        let request = format!("{}-{}", self.trainer, self.call_count);
        let body = match body {
            Value::Null => String::new(),
            body => body.to_string(),
        };
        let result = self.service.call(&Call {
            address: self.current,
            method,
            path,
            request_id: &request,
            content_type: Some("application/json"),
            body: body.as_bytes(),
            timeout: CALL_TIMEOUT,
        });
        match result {
            Ok(reply) => {
                if is_refusal(reply.status) {
                    let body = String::from_utf8_lossy(&reply.body);
                    self.last_failure =
                        Some(format!("{} status {}: {body}", self.current, reply.status));
                }
                classify_response(reply.status, reply.body)
            }
            Err(error) => {
                self.last_failure = Some(error.to_string());
                NextAction::Retry(error.classify() != Category::NotSent)
            }
        }
    }
}

/// Returns whether a response with this status may carry a refusal to act on.
fn is_refusal(status: u16) -> bool {
    matches!(status, 409 | 421 | 429 | 500..)
}

fn classify_response(status: u16, body: Vec<u8>) -> NextAction {
    let refusal: Value = match is_refusal(status) {
        true => serde_json::from_slice(&body).unwrap_or_default(),
        false => Value::Null,
    };
    let error = &refusal["error"];
    let owner = error["owner"].as_str().and_then(|owner| owner.parse().ok());
    match (status, owner) {
        (409, _) if error["code"] == "stale_session" => NextAction::Stop,
        (421, Some(owner)) => NextAction::Follow(owner),
        (421 | 429 | 500.., _) => NextAction::Retry(error["ran"] != "not_run"),
        _ => NextAction::Return(status, body),
    }
}
