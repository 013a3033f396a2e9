use serde::{Deserialize, Serialize};

/// The priority class of a request, highest first.
///
/// Customers wait for a response interactively, a trainer waits until its step is complete, and
/// no caller waits for background work. See docs/design.md, section 4.13.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A paying customer's request, or an internal lookup made for one.
    Customer,
    /// A sample for a trainer's step.
    Trainer,
    /// Work whose result no caller waits for.
    Background,
}

impl Class {
    /// All classes, highest priority first.
    pub const ALL: [Self; 3] = [Self::Customer, Self::Trainer, Self::Background];

    /// Returns the rank of the class; 0 is the highest priority.
    pub const fn rank(self) -> usize {
        match self {
            Self::Customer => 0,
            Self::Trainer => 1,
            Self::Background => 2,
        }
    }

    /// Returns the name used in settings, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Customer => "customer",
            Self::Trainer => "trainer",
            Self::Background => "background",
        }
    }
}
