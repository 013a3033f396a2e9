//! Identifiers.
//!
//! Names are validated, reference-counted strings that are cheap to clone. Numbers are newtypes,
//! so that a fencing token can't be passed where a weight version is expected.

use crate::error::Inner;
use crate::{Error, Result};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

const MAX_NAME_BYTES: usize = 64;
/// The maximum number of characters of an invalid name that its error message quotes.
const MAX_QUOTED_CHARS: usize = 80;

fn validate_name(text: &str) -> Result<()> {
    let invalid = text
        .bytes()
        .position(|b| !matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'_' | b'-'));
    let offset = match invalid {
        Some(offset) => offset,
        None if text.is_empty() => 0,
        None if text.len() > MAX_NAME_BYTES => MAX_NAME_BYTES,
        None => return Ok(()),
    };
    Err(Error::from(Inner::Identifier {
        text: text.chars().take(MAX_QUOTED_CHARS).collect(),
        offset,
    }))
}

macro_rules! define_names {
    ($(#[$doc:meta] $name:ident;)*) => {$(
        #[$doc]
        ///
        /// 1 to 64 characters of `a-z`, `0-9`, `.`, `_` and `-`.
        #[derive(Clone, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                validate_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.as_str().to_owned()
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(self.as_str(), f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(self.as_str())
            }
        }
    )*};
}

define_names! {
    /// The name of a caller: a customer application or a trainer.
    Caller;
    /// The name of a data centre.
    Centre;
    /// The name of a lease.
    Lease;
    /// The name of a model, or of an adapter for a model.
    Model;
    /// The name of an operator.
    Operator;
    /// The name of a region.
    Region;
    /// The name of a plain service, which is an upstream that is not a model engine.
    Service;
    /// The name of a trainer.
    Trainer;
    /// The name of one replica of a model engine or a plain service.
    Upstream;
    /// The name of an entry VM.
    Vm;
}

macro_rules! define_numbers {
    ($(#[$doc:meta] $name:ident;)*) => {$(
        #[$doc]
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd,
            Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    )*};
}

define_numbers! {
    /// The number of one delivery of a step to a trainer.
    Delivery;
    /// A fencing token; each new holder of a lease gets a higher one.
    Fence;
    /// The number of a process start; each restart of the process gets a higher one.
    Incarnation;
    /// The version of the manifest.
    Revision;
    /// The number of a trainer process's session; requests of earlier sessions are rejected.
    Session;
    /// The number of a training step.
    Step;
    /// A version of a model's weights.
    Version;
}

/// Identifies one operation, so that retries of it can be recognised.
///
/// The component that starts the operation generates the number at random.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct Operation(pub u128);

impl fmt::Debug for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl From<Operation> for String {
    fn from(operation: Operation) -> Self {
        operation.to_string()
    }
}

impl TryFrom<String> for Operation {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        u128::from_str_radix(&text, 16)
            .map(Self)
            .map_err(|_| Error::from(Inner::Operation { text }))
    }
}

/// Identifies one sample: the trainer, the step, the group and the index in the group.
///
/// The identity doesn't depend on which replica generates the sample or on the number of
/// attempts, so that the ledger can discard duplicates.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Sample {
    /// The trainer that requested the sample.
    pub trainer: Trainer,
    /// The step that the sample belongs to.
    pub step: Step,
    /// The index of the group in the step.
    pub group: u32,
    /// The index of the sample in the group.
    pub index: u32,
}

impl Sample {
    /// Creates the identity of a sample.
    pub const fn new(trainer: Trainer, step: Step, group: u32, index: u32) -> Self {
        Self {
            trainer,
            step,
            group,
            index,
        }
    }
}

impl fmt::Display for Sample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}/{}/{}/{}",
            self.trainer, self.step, self.group, self.index
        )
    }
}
