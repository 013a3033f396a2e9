use crate::framing;
use dogwoodlb_external::{Category, Cause, Error, Result};
use percent_encoding::{utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::config::AutoHeaderValue;
use ureq::http::{self, Method, Uri};
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{
    ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};

/// Long enough for one SYN retransmission, which happens after 1 s, and shorter than a lease term.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The maximum number of idle connections of a client to all addresses together.
const MAX_IDLE_CONNECTIONS: usize = 256;
const MAX_RESPONSE_HEADER_BYTES: usize = 32 * 1024;
const MAX_RESPONSE_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// The characters that are percent-encoded in paths and query values.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

pub(crate) fn percent_encode(text: &str) -> String {
    utf8_percent_encode(text, ESCAPED).to_string()
}

/// An HTTP request and the limits on its execution.
pub(crate) struct Exchange<'a> {
    /// The kind of the called system, for example `table`; used in error messages.
    pub(crate) target: &'static str,
    pub(crate) address: SocketAddr,
    pub(crate) method: &'a str,
    /// The path and query, encoded.
    pub(crate) path: &'a str,
    pub(crate) headers: &'a [(&'a str, &'a str)],
    pub(crate) body: Option<&'a [u8]>,
    /// The maximum time to wait for the next bytes of the response.
    pub(crate) idle_timeout: Option<Duration>,
    /// The maximum duration of the whole exchange, including the response body.
    pub(crate) timeout: Duration,
}

impl Exchange<'_> {
    #[cold]
    pub(crate) fn error(&self, category: Category, cause: Cause) -> Error {
        let description = format!("{} http://{}{}", self.target, self.address, self.path);
        Error::new(category, description, cause)
    }

    fn build_request(&self) -> http::Result<http::Request<()>> {
        let uri = format!("http://{}{}", self.address, self.path);
        let method = Method::from_bytes(self.method.as_bytes())?;
        let mut request = http::Request::builder().method(method).uri(uri);
        for (name, value) in self.headers {
            request = request.header(*name, *value);
        }
        request.body(())
    }

    /// Converts a failure to send the request or to read the response.
    #[cold]
    pub(crate) fn transport_error(&self, error: ureq::Error) -> Error {
        let cause = match error {
            ureq::Error::Other(error) => match error.downcast::<NotConnected>() {
                Ok(error) => {
                    return self.error(Category::NotSent, Cause::ConnectFailed(error.0));
                }
                Err(_) => Cause::ConnectionBroken(ErrorKind::Other),
            },
            ureq::Error::BadUri(_) | ureq::Error::HostNotFound => {
                return self.error(Category::NotSent, Cause::InvalidRequest("invalid address"));
            }
            ureq::Error::Timeout(ureq::Timeout::PerRead) => {
                Cause::Timeout(self.idle_timeout.unwrap_or(self.timeout))
            }
            ureq::Error::Timeout(_) => Cause::Timeout(self.timeout),
            ureq::Error::Io(error) => Cause::ConnectionBroken(error.kind()),
            ureq::Error::BodyStalled => Cause::Truncated,
            ureq::Error::BodyExceedsLimit(limit) => {
                Cause::TooLarge(usize::try_from(limit).unwrap_or(usize::MAX))
            }
            ureq::Error::LargeResponseHeader(_, limit) => Cause::TooLarge(limit),
            _ => Cause::Malformed("invalid HTTP response"),
        };
        self.error(Category::Ambiguous, cause)
    }

    /// Creates the error for an unexpected response status.
    ///
    /// The called systems must respond with 400 to 499 or 503 only if they didn't execute the
    /// request. Any other status from 500 may come from a gateway or a crashed handler after the
    /// request was executed.
    #[cold]
    pub(crate) fn status_error(&self, status: u16) -> Error {
        let category = match status {
            400..=499 | 503 => Category::Refused,
            500.. => Category::Ambiguous,
            _ => Category::InvalidResponse,
        };
        self.error(category, Cause::Status(status))
    }
}

/// An HTTP client that makes a single attempt for each exchange.
#[derive(Debug)]
pub(crate) struct Client {
    agent: ureq::Agent,
}

impl Client {
    /// Creates a client that keeps at most `max_idle_per_host` idle connections to each address.
    ///
    /// With 0, each exchange opens a new connection. `ureq` never retries a request, but if the
    /// server closes a reused connection while the request is being sent, the call fails and it is
    /// unknown whether the request was executed.
    pub(crate) fn new(max_idle_per_host: usize) -> Self {
        let config = ureq::Agent::config_builder()
            .accept(AutoHeaderValue::None)
            .accept_encoding(AutoHeaderValue::None)
            .http_status_as_error(false)
            .max_idle_connections(if max_idle_per_host == 0 {
                0
            } else {
                MAX_IDLE_CONNECTIONS
            })
            .max_idle_connections_per_host(max_idle_per_host)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .max_response_header_size(MAX_RESPONSE_HEADER_BYTES)
            .proxy(None)
            .user_agent(concat!("dogwoodlb/", env!("CARGO_PKG_VERSION")))
            .build();
        Self {
            agent: ureq::Agent::with_parts(
                config,
                TaggingConnector(TcpConnector::default()),
                LiteralResolver,
            ),
        }
    }

    /// Sends a request and returns the response once its headers are complete, whatever its
    /// status.
    pub(crate) fn send(&self, exchange: &Exchange<'_>) -> Result<http::Response<ureq::Body>> {
        if exchange.timeout.is_zero() {
            let cause = Cause::Timeout(exchange.timeout);
            return Err(exchange.error(Category::NotSent, cause));
        }
        let request = exchange.build_request().map_err(|_| {
            exchange.error(
                Category::NotSent,
                Cause::InvalidRequest("the request can't be encoded"),
            )
        })?;
        let response = match exchange.body {
            Some(body) => self.run_request(exchange, request.map(|()| body)),
            None => self.run_request(exchange, request),
        };
        response.map_err(|error| exchange.transport_error(error))
    }

    fn run_request<B: ureq::AsSendBody>(
        &self,
        exchange: &Exchange<'_>,
        request: http::Request<B>,
    ) -> std::result::Result<http::Response<ureq::Body>, ureq::Error> {
        let request = self
            .agent
            .configure_request(request)
            .timeout_connect(Some(CONNECT_TIMEOUT.min(exchange.timeout)))
            .timeout_global(Some(exchange.timeout))
            .timeout_per_read(exchange.idle_timeout)
            .build();
        self.agent.run(request)
    }

    /// Sends a request and reads the whole response, whatever its status.
    ///
    /// Returns the status, the body and the media type.
    pub(crate) fn call(&self, exchange: &Exchange<'_>) -> Result<(u16, Vec<u8>, Option<String>)> {
        let mut response = self.send(exchange)?;
        let status = response.status().as_u16();
        framing::check(exchange.method, &response)
            .map_err(|reason| exchange.error(Category::Ambiguous, Cause::Malformed(reason)))?;
        let media_type = response.headers().get(http::header::CONTENT_TYPE);
        let media_type = media_type
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let body = response
            .body_mut()
            .with_config()
            .limit(MAX_RESPONSE_BODY_BYTES);
        let body = body
            .read_to_vec()
            .map_err(|error| exchange.transport_error(error))?;
        Ok((status, body, media_type))
    }

    /// Sends a request and decodes the body of a response with status 200 as JSON.
    ///
    /// `malformed_category` is the category of the error if the body can't be decoded.
    pub(crate) fn call_json<T: DeserializeOwned>(
        &self,
        exchange: &Exchange<'_>,
        malformed_category: Category,
    ) -> Result<T> {
        let (status, body, _) = self.call(exchange)?;
        if status != 200 {
            return Err(exchange.status_error(status));
        }
        serde_json::from_slice(&body).map_err(|_| {
            exchange.error(
                malformed_category,
                Cause::Malformed("invalid JSON or unexpected fields"),
            )
        })
    }
}

/// Encodes a request body as JSON.
pub(crate) fn to_json<T: Serialize>(target: &'static str, value: &T) -> Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|_| {
        Error::new(
            Category::NotSent,
            target,
            Cause::InvalidRequest("the request can't be encoded"),
        )
    })
}

/// Marks failures to establish a connection, in which case no byte of the request was sent.
#[derive(Debug)]
struct NotConnected(ErrorKind);

impl fmt::Display for NotConnected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot connect: {}", self.0)
    }
}

impl std::error::Error for NotConnected {}

/// A TCP connector that reports its failures as [`NotConnected`].
#[derive(Debug)]
struct TaggingConnector(TcpConnector);

impl<In: Transport> Connector<In> for TaggingConnector {
    type Out = <TcpConnector as Connector<In>>::Out;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> std::result::Result<Option<Self::Out>, ureq::Error> {
        self.0.connect(details, chained).map_err(|error| {
            let kind = match error {
                ureq::Error::Io(error) => error.kind(),
                ureq::Error::Timeout(_) => ErrorKind::TimedOut,
                _ => ErrorKind::Other,
            };
            ureq::Error::Other(Box::new(NotConnected(kind)))
        })
    }
}

/// Accepts only literal addresses. The default resolver starts a thread for each lookup.
#[derive(Debug)]
struct LiteralResolver;

impl Resolver for LiteralResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &ureq::config::Config,
        _timeout: NextTimeout,
    ) -> std::result::Result<ResolvedSocketAddrs, ureq::Error> {
        let address = uri.authority().and_then(|a| a.as_str().parse().ok());
        let mut addresses = self.empty();
        addresses.push(address.ok_or(ureq::Error::HostNotFound)?);
        Ok(addresses)
    }
}
