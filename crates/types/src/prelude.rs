//! The types that nearly every dogwoodlb library uses.

pub use crate::id;
pub use crate::{Class, Clock, Code, Execution, Instant, Refusal, Span, Timestamp};
