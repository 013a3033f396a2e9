use std::fmt;
use std::time::Duration;

/// What the failure of a call implies about its effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// The request was not sent, so nothing was executed.
    NotSent,
    /// The request may have taken effect; the response is missing, incomplete or late.
    Ambiguous,
    /// The remote side responded that it didn't execute the request.
    Refused,
    /// The response couldn't be decoded, is too large or has an unexpected status.
    InvalidResponse,
    /// The receiver of the stream cancelled it.
    Cancelled,
}

/// A failed call to an external system.
pub struct Error(Box<Inner>);

#[derive(Debug)]
struct Inner {
    category: Category,
    target: String,
    cause: Cause,
}

/// The cause of a failed call.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Cause {
    /// No connection could be established.
    #[error("cannot connect: {0}")]
    ConnectFailed(std::io::ErrorKind),
    /// The connection was lost during the call.
    #[error("connection lost: {0}")]
    ConnectionBroken(std::io::ErrorKind),
    /// No response arrived in time.
    #[error("no response within {} ms", .0.as_millis())]
    Timeout(Duration),
    /// The response has an unexpected status.
    #[error("answered status {0}")]
    Status(u16),
    /// The request couldn't be encoded or addressed.
    #[error("invalid request: {0}")]
    InvalidRequest(&'static str),
    /// The response is malformed.
    #[error("malformed response: {0}")]
    Malformed(&'static str),
    /// The response ended early.
    #[error("response ended early")]
    Truncated,
    /// The response belongs to another request.
    #[error("response belongs to another request")]
    WrongRequest,
    /// The response is larger than the limit.
    #[error("response is larger than {0} bytes")]
    TooLarge(usize),
    /// The receiver of the stream cancelled it.
    #[error("cancelled by the receiver")]
    Cancelled,
    /// The engine refused an order because its fencing token is stale.
    #[error("order refused: stale fencing token")]
    StaleFence,
    /// The engine refused an order because it has expired.
    #[error("order refused: expired")]
    OrderExpired,
}

impl Error {
    /// Creates an error; `target` names the called system, for example `table http://127.0.0.1:1`.
    #[cold]
    pub fn new(category: Category, target: impl Into<String>, cause: Cause) -> Self {
        Self(Box::new(Inner {
            category,
            target: target.into(),
            cause,
        }))
    }

    /// Returns what the failure implies about the effect of the call.
    pub fn classify(&self) -> Category {
        self.0.category
    }

    /// Returns the cause of the failure.
    pub fn cause(&self) -> &Cause {
        &self.0.cause
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.0.target, self.0.cause)
    }
}

impl std::error::Error for Error {}
