use std::fmt;

/// The category of an [`Error`], which determines the exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// A node or a local check rejected the request.
    Refused,
    /// The arguments are invalid, or a file can't be read.
    Usage,
    /// No node responded.
    NoResponse,
    /// The manifest was accepted, but is not in force on every node.
    NotInForce,
}

/// An error of a command: what failed, where and why, and what the operator can do.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
#[error("{what} at {location}: {why}\n{advice}")]
struct Inner {
    category: Category,
    what: String,
    location: String,
    why: String,
    advice: String,
}

impl Error {
    #[cold]
    pub(crate) fn new(
        category: Category,
        what: impl Into<String>,
        location: impl fmt::Display,
        why: impl fmt::Display,
        advice: impl Into<String>,
    ) -> Self {
        Self(Box::new(Inner {
            category,
            what: what.into(),
            location: location.to_string(),
            why: why.to_string(),
            advice: advice.into(),
        }))
    }

    /// Returns the category of the error.
    pub fn classify(&self) -> Category {
        self.0.category
    }

    pub(crate) fn to_json(&self) -> serde_json::Value {
        serde_json::json!({"error": {
            "what": self.0.what,
            "where": self.0.location,
            "why": self.0.why,
            "advice": self.0.advice,
        }})
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl std::error::Error for Error {}
