use super::Config;
use dogwoodlb_adapter::ServiceClient;
use dogwoodlb_external::service::Call;
use dogwoodlb_external::{Category, Service as _};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// The pause before another address is tried.
const PAUSE: Duration = Duration::from_millis(50);

/// Calls whichever node owns the trainer.
pub(super) struct Client {
    service: ServiceClient,
    trainer: String,
    addresses: Vec<SocketAddr>,
    /// The position of the next address to fall back on.
    next: usize,
    current: SocketAddr,
    deadline: Instant,
    calls: u64,
    pub(super) redirected: u64,
    pub(super) retried: u64,
}

/// Why a trainer stops.
pub(super) enum Failure {
    /// A later session took over.
    Fenced,
    /// Something else.
    Stopped(String),
}

pub(super) struct Reply {
    pub(super) status: u16,
    /// Whether an earlier copy of the request may have taken effect.
    pub(super) repeated: bool,
    body: Vec<u8>,
}

impl Reply {
    pub(super) fn json<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        self.expect(&[200, 201])?;
        serde_json::from_slice(&self.body)
            .map_err(|error| Failure::Stopped(format!("malformed answer: {error}")))
    }

    pub(super) fn number(&self, field: &str) -> Result<u64, Failure> {
        let value: Value = self.json()?;
        let number = value[field].as_u64();
        number.ok_or_else(|| Failure::Stopped(format!("the answer has no {field}")))
    }

    pub(super) fn expect(&self, statuses: &[u16]) -> Result<(), Failure> {
        if statuses.contains(&self.status) {
            return Ok(());
        }
        let body = String::from_utf8_lossy(&self.body);
        Err(Failure::Stopped(format!("status {}: {body}", self.status)))
    }
}

/// What to do after an attempt.
enum Next {
    Return(u16, Vec<u8>),
    /// Another node owns the trainer.
    Follow(SocketAddr),
    /// Try another address; `true` if the request may have taken effect.
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
            next: 1,
            current: config.addresses.first().copied().unwrap_or(unset),
            deadline: Instant::now() + config.patience,
            calls: 0,
            redirected: 0,
            retried: 0,
        }
    }

    /// Calls an endpoint of the trainer until a node answers for it.
    pub(super) fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &Value,
    ) -> Result<Reply, Failure> {
        let path = format!("/v1/trainers/{}/{path}", self.trainer);
        let mut repeated = false;
        while Instant::now() < self.deadline {
            match self.attempt(method, &path, body) {
                Next::Return(status, body) => {
                    return Ok(Reply {
                        status,
                        repeated,
                        body,
                    });
                }
                Next::Stop => return Err(Failure::Fenced),
                Next::Follow(owner) => {
                    self.redirected += 1;
                    let stays = owner == self.current;
                    self.current = owner;
                    // A node that names itself is about to take the trainer over.
                    std::thread::sleep(if stays { PAUSE } else { PAUSE / 10 });
                }
                Next::Retry(ran) => {
                    self.retried += 1;
                    repeated |= ran;
                    self.fall_back();
                    std::thread::sleep(PAUSE);
                }
            }
        }
        let reason = format!("no answer to {method} {path} in time");
        Err(Failure::Stopped(reason))
    }

    fn fall_back(&mut self) {
        if let Some(address) = self.addresses.get(self.next % self.addresses.len().max(1)) {
            self.current = *address;
        }
        self.next += 1;
    }

    fn attempt(&mut self, method: &str, path: &str, body: &Value) -> Next {
        self.calls += 1;
        let request = format!("{}-{}", self.trainer, self.calls);
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
            Ok(reply) => judge(reply.status, reply.body),
            Err(error) => Next::Retry(error.classify() != Category::NotSent),
        }
    }
}

fn judge(status: u16, body: Vec<u8>) -> Next {
    let refusal: Value = match status {
        409 | 421 | 429 | 500.. => serde_json::from_slice(&body).unwrap_or_default(),
        _ => Value::Null,
    };
    let error = &refusal["error"];
    let owner = error["owner"].as_str().and_then(|owner| owner.parse().ok());
    match (status, owner) {
        (409, _) if error["code"] == "stale_session" => Next::Stop,
        (421, Some(owner)) => Next::Follow(owner),
        (421 | 429 | 500.., _) => Next::Retry(error["ran"] != "not_run"),
        _ => Next::Return(status, body),
    }
}
