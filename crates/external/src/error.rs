use std::fmt;
use std::time::Duration;

/// What a failed call over a border tells about its effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// The request never reached the other side: nothing was executed.
    NotSent,
    /// The request may have taken effect; the reply is missing, broken or late.
    Ambiguous,
    /// The other side answered that it didn't carry out the request.
    Refused,
    /// The other side answered something that this crate doesn't understand.
    InvalidResponse,
    /// The reader of a stream stopped it.
    Cancelled,
}

/// A failed call over a border.
pub struct Error(Box<Inner>);

#[derive(Debug)]
struct Inner {
    category: Category,
    target: String,
    cause: Cause,
}

/// Why a call over a border failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Cause {
    /// No connection could be opened.
    #[error("cannot connect: {0}")]
    ConnectFailed(std::io::ErrorKind),
    /// The connection broke.
    #[error("connection broke: {0}")]
    ConnectionBroken(std::io::ErrorKind),
    /// No answer came in time.
    #[error("no answer within {} ms", .0.as_millis())]
    Timeout(Duration),
    /// The other side answered with a failure status.
    #[error("answered status {0}")]
    Status(u16),
    /// The answer is malformed.
    #[error("malformed answer: {0}")]
    Malformed(&'static str),
    /// The answer ended early.
    #[error("answer ended early")]
    Truncated,
    /// The answer belongs to another request.
    #[error("answer belongs to another request")]
    WrongRequest,
    /// The answer is larger than the limit.
    #[error("answer is larger than {0} bytes")]
    TooLarge(usize),
    /// The reader of the stream stopped it.
    #[error("cancelled by the reader")]
    Cancelled,
    /// The order carries an old fencing number or has expired.
    #[error("order refused: {0}")]
    OrderRefused(&'static str),
}

impl Error {
    /// Creates an error; `target` names what was called, as `table http://127.0.0.1:1`.
    #[cold]
    pub fn new(category: Category, target: impl Into<String>, cause: Cause) -> Self {
        Self(Box::new(Inner {
            category,
            target: target.into(),
            cause,
        }))
    }

    /// Returns what the failure tells about the effect of the call.
    pub fn classify(&self) -> Category {
        self.0.category
    }

    /// Returns why the call failed.
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
