//! Re-exports of the types that most dogwoodlb libraries use.

pub use crate::id;
pub use crate::{Class, Clock, Code, Execution, Instant, Refusal, Span, Timestamp};
