use dogwoodlb_types::Instant;
use std::net::SocketAddr;
use std::time::Duration;

/// The timeline of a node is the largest response; its ring buffer is bounded well below this.
const MAX_RESPONSE_BYTES: u64 = 32 << 20;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request to a node.
#[derive(Clone, Debug)]
pub struct Request {
    /// The path.
    pub path: &'static str,
    /// The body of a `POST`; a request without one is a `GET`.
    pub body: Option<String>,
    /// How long to wait for the whole response.
    pub timeout: Duration,
}

/// The response of a node.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// Why there is no response.
#[derive(Clone, Debug, thiserror::Error)]
pub enum SendError {
    /// The request never left.
    #[error("cannot connect: {0}")]
    NotSent(String),
    /// The request may have arrived.
    #[error("no answer: {0}")]
    Ambiguous(String),
}

/// Reaches nodes and tells the time; tests replace it.
pub trait Client: Sync {
    /// Sends a request once.
    ///
    /// # Errors
    ///
    /// Fails if the node does not answer in full; a status is never an error.
    fn send(&self, node: SocketAddr, request: &Request) -> Result<Response, SendError>;

    /// Returns the time.
    fn now(&self) -> Instant;

    /// Waits before the next poll.
    fn sleep(&self, time: Duration);
}

/// Reaches nodes over HTTP, without retries, redirects, proxies or kept connections.
#[derive(Debug)]
pub struct HttpClient {
    agent: ureq::Agent,
    origin: std::time::Instant,
}

impl HttpClient {
    /// Creates a client.
    pub fn new() -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(0)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .build();
        Self {
            agent: config.into(),
            origin: std::time::Instant::now(),
        }
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl Client for HttpClient {
    fn send(&self, node: SocketAddr, request: &Request) -> Result<Response, SendError> {
        let url = format!("http://{node}{}", request.path);
        let timeout = Some(request.timeout);
        let response = match &request.body {
            Some(body) => {
                let call = self.agent.post(&url).content_type("application/json");
                call.config().timeout_global(timeout).build().send(body)
            }
            None => {
                let call = self.agent.get(&url);
                call.config().timeout_global(timeout).build().call()
            }
        };
        let mut response = response.map_err(send_error)?;
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
        let body = body.read_to_string();
        let body = body.map_err(|error| SendError::Ambiguous(error.to_string()))?;
        Ok(Response { status, body })
    }

    fn now(&self) -> Instant {
        let millis = self.origin.elapsed().as_millis();
        Instant::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    fn sleep(&self, time: Duration) {
        std::thread::sleep(time);
    }
}

fn send_error(error: ureq::Error) -> SendError {
    let text = error.to_string();
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            SendError::NotSent(text)
        }
        // A connection that was made is reset, not refused.
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            SendError::NotSent(text)
        }
        _ => SendError::Ambiguous(text),
    }
}
