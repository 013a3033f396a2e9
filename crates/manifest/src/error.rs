use std::fmt;

/// The category of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// The document is larger than [`MAX_BYTES`](crate::MAX_BYTES).
    TooLarge,
    /// The document is not JSON with comments, or is nested too deeply.
    Syntax,
    /// The document is well formed, but its content is invalid.
    Invalid,
}

/// The cause of a [`Fault`].
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum Cause {
    /// The document exceeds the maximum size.
    #[error("the document has {found} bytes, more than the limit of {limit}")]
    TooLarge {
        /// The size of the document in bytes.
        found: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The document is not JSON with comments.
    #[error("{0}")]
    Syntax(String),
    /// Objects and arrays are nested too deeply.
    #[error("nested more than {0} levels deep")]
    TooDeep(usize),
    /// The object does not allow this field.
    #[error("unknown field; expected one of {0}")]
    UnknownField(String),
    /// The object contains the field more than once.
    #[error("duplicate field")]
    RepeatedField,
    /// A required field is absent.
    #[error("required field is missing")]
    Missing,
    /// The value has the wrong type.
    #[error("expected {expected}, found {found}")]
    Type {
        /// The expected type.
        expected: &'static str,
        /// The actual type.
        found: &'static str,
    },
    /// The number is outside its range.
    #[error("{found} is outside {low}..={high}")]
    Range {
        /// The number as written in the document.
        found: String,
        /// The smallest value allowed.
        low: u64,
        /// The largest value allowed.
        high: u64,
    },
    /// The number of samples of a step is not a multiple of the group size.
    #[error("{samples} is not a multiple of the group size {group}")]
    NotMultiple {
        /// The number of samples of a step.
        samples: u64,
        /// The size of a group.
        group: u64,
    },
    /// The string does not have the expected format.
    #[error("`{found}` is not {expected}")]
    Format {
        /// The value as written in the document, truncated.
        found: String,
        /// The expected format.
        expected: &'static str,
    },
    /// The time zone is not in the time zone database.
    #[error("unknown time zone `{0}`")]
    TimeZone(String),
    /// An array that must have an element is empty.
    #[error("the array must not be empty")]
    Empty,
    /// The name or address is already used.
    #[error("{kind} `{name}` is already used at {first}")]
    Duplicate {
        /// The kind of object that is named.
        kind: &'static str,
        /// The name or address.
        name: String,
        /// The path of its first use.
        first: String,
    },
    /// The name refers to an object that the manifest does not define.
    #[error("there is no {kind} `{name}`")]
    Undefined {
        /// The kind of object that is referred to.
        kind: &'static str,
        /// The name.
        name: String,
    },
}

/// One fault of a document, with its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The path of the value, such as `trainers[0].model`; empty for the whole document.
    pub path: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// The cause of the fault.
    pub cause: Cause,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {} column {}: ", self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        fmt::Display::fmt(&self.cause, f)
    }
}

/// The faults of a document, ordered by position.
pub struct Error(Box<Inner>);

#[derive(Debug)]
struct Inner {
    category: Category,
    faults: Vec<Fault>,
}

impl Error {
    #[cold]
    pub(crate) fn new(category: Category, faults: Vec<Fault>) -> Self {
        Self(Box::new(Inner { category, faults }))
    }

    /// Returns the category of the error.
    pub fn classify(&self) -> Category {
        self.0.category
    }

    /// Returns all faults, ordered by position. There is at least one.
    pub fn faults(&self) -> &[Fault] {
        &self.0.faults
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.faults.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            fmt::Display::fmt(fault, f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
