use crate::error::Inner;
use crate::id::Version;
use crate::{Error, Result};
use serde::{Deserialize, Serialize};

/// A run of tokens that one weight version produced, as the engine reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Span {
    /// The weight version that produced the tokens.
    pub version: Version,
    /// The first token of the run.
    pub from: u32,
    /// One past the last token of the run.
    pub to: u32,
}

/// Checks that spans cover `tokens` tokens in order, without gap or overlap.
///
/// A sample whose spans fail the check has no true label and must not be delivered; see
/// docs/design.md, section 4.8.
///
/// # Errors
///
/// [`Category::Spans`](crate::Category::Spans), naming the first span that is wrong.
pub fn check_spans(spans: &[Span], tokens: u32) -> Result<()> {
    let mut expected = 0;
    for (index, span) in spans.iter().enumerate() {
        if span.from != expected {
            return Err(Error::from(Inner::SpanStart {
                index,
                from: span.from,
                expected,
            }));
        }
        if span.to <= span.from {
            return Err(Error::from(Inner::SpanEmpty { index }));
        }
        expected = span.to;
    }
    if expected != tokens || spans.is_empty() {
        return Err(Error::from(Inner::SpanTotal {
            end: expected,
            tokens,
        }));
    }
    Ok(())
}

/// Returns the oldest version among the spans; a sample's age counts from it.
pub fn oldest_version(spans: &[Span]) -> Option<Version> {
    spans.iter().map(|span| span.version).min()
}
