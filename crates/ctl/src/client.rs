use dogwoodlb_types::Instant;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::http;
use ureq::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// Limit of a response body. The largest one is a node's timeline, whose ring buffer is bounded
/// well below this.
const MAX_RESPONSE_BYTES: u64 = 32 << 20;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request to a node.
#[derive(Clone, Debug)]
pub struct Request {
    /// The path of the URL.
    pub path: &'static str,
    /// The body of a `POST` request; `None` sends a `GET` request.
    pub body: Option<String>,
    /// The timeout until the whole response is read.
    pub timeout: Duration,
}

/// An HTTP response of a node.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The response body.
    pub body: String,
}

/// An error of sending a request or reading its response.
#[derive(Clone, Debug, thiserror::Error)]
pub enum SendError {
    /// No connection was made, so the node can't have received the request.
    #[error("cannot connect: {0}")]
    NotSent(String),
    /// The node may have received and run the request.
    #[error("no answer: {0}")]
    Ambiguous(String),
}

/// Sends requests to nodes and provides the clock; tests substitute their own implementation.
pub trait Client: Sync {
    /// Sends a request once, without retries.
    ///
    /// # Errors
    ///
    /// [`SendError`] if there is no complete response. A response with an error status is not an
    /// error here.
    fn send(&self, node: SocketAddr, request: &Request) -> Result<Response, SendError>;

    /// Returns the current time on a monotonic clock.
    fn now(&self) -> Instant;

    /// Blocks the thread, between two polls.
    fn sleep(&self, time: Duration);
}

/// A client over HTTP, without retries, redirects, proxies or connection reuse.
#[derive(Debug)]
pub struct HttpClient {
    agent: ureq::Agent,
    origin: std::time::Instant,
}

impl HttpClient {
    /// Creates a client with a connect timeout of 1 s.
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
        if !is_framed(&response) {
            let reason = "the response has neither a length nor chunks";
            return Err(SendError::Ambiguous(reason.to_owned()));
        }
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

/// Returns whether the end of the body can be distinguished from a lost connection, after which
/// `ureq` returns what it has read. Nodes frame all their responses.
fn is_framed<T>(response: &http::Response<T>) -> bool {
    let headers = response.headers();
    let coding = headers.get(TRANSFER_ENCODING);
    let is_chunked = coding.is_some_and(|coding| coding == "chunked");
    let has_length = coding.is_none() && headers.contains_key(CONTENT_LENGTH);
    response.version() == http::Version::HTTP_11 && (is_chunked || has_length)
}

fn send_error(error: ureq::Error) -> SendError {
    let text = error.to_string();
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            SendError::NotSent(text)
        }
        // Only connecting can be refused; an established connection that fails is reset instead.
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            SendError::NotSent(text)
        }
        _ => SendError::Ambiguous(text),
    }
}
