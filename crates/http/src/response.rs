use dogwoodlb_types::{Code, Execution, Refusal};
use serde::Serialize;
use std::net::SocketAddr;

/// A response with a complete body.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

#[derive(Serialize)]
struct ErrorResponse<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    code: Code,
    message: &'a str,
    ran: Execution,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    owner: Option<SocketAddr>,
}

impl Response {
    /// Creates a response with a body of the given media type.
    pub fn new(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> Self {
        let headers = vec![("content-type".to_owned(), content_type.to_owned())];
        Self {
            status,
            headers,
            body: body.into(),
        }
    }

    /// Creates a plain-text response.
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        Self::new(status, "text/plain; charset=utf-8", body.into())
    }

    /// Creates a JSON response.
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::new(status, "application/json", body),
            Err(error) => Self::refusal(&Refusal::may_have_run(
                Code::Invariant,
                format!("the response can't be encoded: {error}"),
            )),
        }
    }

    /// Creates the response that reports a refusal; docs/api.md lists the codes.
    pub fn refusal(refusal: &Refusal) -> Self {
        let retry_after_ms = refusal
            .retry_after
            .map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        let detail = ErrorDetail {
            code: refusal.code,
            message: &refusal.message,
            ran: refusal.execution,
            retry_after_ms,
            owner: refusal.owner,
        };
        let body = serde_json::to_vec(&ErrorResponse { error: detail }).unwrap_or_default();
        let response = Self::new(status_code(refusal.code), "application/json", body);
        match retry_after_ms {
            Some(millis) => response.header("retry-after", &millis.div_ceil(1000).to_string()),
            None => response,
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

const fn status_code(code: Code) -> u16 {
    match code {
        Code::BadRequest => 400,
        Code::Forbidden => 403,
        Code::NotFound | Code::UnknownModel | Code::UnknownService | Code::UnknownTrainer => 404,
        Code::Conflict | Code::StaleSession => 409,
        Code::TooLarge => 413,
        Code::WrongNode => 421,
        Code::Overloaded => 429,
        Code::UpstreamFailed => 502,
        Code::NoUpstream | Code::StoreUnavailable | Code::ManifestUnknown | Code::Leaving => 503,
        Code::DeadlineExceeded => 504,
        _ => 500,
    }
}
