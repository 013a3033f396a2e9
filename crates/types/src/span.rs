use crate::error::Inner;
use crate::id::Version;
use crate::{Error, Result};
use serde::{Deserialize, Serialize};

/// A contiguous range of tokens generated with one weight version, as reported by the engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Span {
    /// The weight version that generated the tokens.
    pub version: Version,
    /// The index of the first token.
    pub from: u32,
    /// The index after the last token.
    pub to: u32,
}

/// Checks that spans cover `tokens` tokens in order, without gaps or overlaps.
///
/// At least one span is required, so a sample without tokens fails the check.
///
/// The weight versions of a sample whose spans fail this check are unknown, so the sample must not
/// be delivered; see docs/design.md, section 4.8.
///
/// # Errors
///
/// [`Category::Spans`](crate::Category::Spans); the message names the first invalid span or the
/// wrong total.
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

/// Returns the oldest version among the spans, from which a sample's staleness is computed.
pub fn oldest_version(spans: &[Span]) -> Option<Version> {
    spans.iter().map(|span| span.version).min()
}
