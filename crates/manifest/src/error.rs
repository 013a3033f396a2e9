use std::fmt;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// The text is larger than [`MAX_BYTES`](crate::MAX_BYTES).
    TooLarge,
    /// The text is not JSON with comments, or is nested too deeply.
    Syntax,
    /// The text is well formed, but its content has faults.
    Invalid,
}

/// Why a place of the text is at fault.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum Cause {
    /// The text has more bytes than allowed.
    #[error("the text has {found} bytes, more than the limit of {limit}")]
    TooLarge {
        /// The size of the text.
        found: usize,
        /// The limit.
        limit: usize,
    },
    /// The text is not JSON with comments.
    #[error("{0}")]
    Syntax(String),
    /// Objects and lists are nested too deeply.
    #[error("nested more than {0} levels deep")]
    TooDeep(usize),
    /// The field does not exist in this place.
    #[error("unknown field; expected one of {0}")]
    UnknownField(String),
    /// The field is given twice in one object.
    #[error("field is given twice")]
    RepeatedField,
    /// A required field is absent.
    #[error("required field is missing")]
    Missing,
    /// The value has another type.
    #[error("expected {expected}, found {found}")]
    Type {
        /// The type that the field needs.
        expected: &'static str,
        /// The type that was found.
        found: &'static str,
    },
    /// The number is outside its range.
    #[error("{found} is outside {low}..={high}")]
    Range {
        /// The number as written.
        found: String,
        /// The smallest value allowed.
        low: u64,
        /// The largest value allowed.
        high: u64,
    },
    /// The number of samples of a step is not a multiple of the group size.
    #[error("{samples} is not a multiple of the group size {group}")]
    Multiple {
        /// The samples of a step.
        samples: u64,
        /// The size of a group.
        group: u64,
    },
    /// The text value has a wrong form.
    #[error("`{found}` is not {expected}")]
    Form {
        /// The value as written, shortened.
        found: String,
        /// What the field needs.
        expected: &'static str,
    },
    /// The time zone is not in the time zone database.
    #[error("unknown time zone `{0}`")]
    TimeZone(String),
    /// A list that needs an element is empty.
    #[error("the list must not be empty")]
    Empty,
    /// The name or address is already used.
    #[error("{kind} `{name}` is already used at {first}")]
    Duplicate {
        /// What is named.
        kind: &'static str,
        /// The name or address.
        name: String,
        /// The path of the first use.
        first: String,
    },
    /// The name refers to nothing in the manifest.
    #[error("there is no {kind} `{name}`")]
    Reference {
        /// What is referred to.
        kind: &'static str,
        /// The name.
        name: String,
    },
}

/// One fault of a text, with its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The path of the value, as `trainers[0].model`; empty for the text as a whole.
    pub path: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// What is wrong.
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

/// A text that was refused, with all its faults in the order of their places.
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

    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        self.0.category
    }

    /// Returns all faults, ordered by place; never empty.
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
