use crate::Origin;

/// What a response proves of the request after which it arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is the response to the request.
    Answered,
    /// It refuses the request, which was not run.
    NotRun,
    /// It may belong to another request. The next response on its connection may tell.
    Doubtful,
    /// Nothing. The request may have run.
    Unknown,
}

/// What the decision depends on whether a response belongs to a request. See
/// docs/design/response-correlation.md.
///
/// # Examples
///
/// ```
/// use dogwoodlb_client::{Evidence, Origin, Verdict};
///
/// let refusal = Evidence {
///     origin: Origin::Unnamed { is_first_unnamed: false },
///     status: 503,
///     is_refusal: true,
///     is_last: false,
/// };
/// assert_eq!(refusal.judge(), Verdict::Doubtful);
/// let next = Evidence { status: 421, ..refusal };
/// assert!(refusal.is_confirmed_by(&next));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Evidence {
    /// How the response relates to the request.
    pub origin: Origin,
    /// The status.
    pub status: u16,
    /// Whether it says that its request was not run.
    pub is_refusal: bool,
    /// Whether the server closes the connection after it.
    pub is_last: bool,
}

impl Evidence {
    /// Returns what the response proves by itself.
    pub fn judge(&self) -> Verdict {
        match self.origin {
            Origin::Named | Origin::First if self.is_refusal => Verdict::NotRun,
            Origin::Named => Verdict::Answered,
            // Only refusals may lack the id that servers echo.
            Origin::First => Verdict::Unknown,
            // It is no copy: the connection would have ended with an earlier response like it.
            Origin::Unnamed { .. } if self.is_refusal && self.is_last => Verdict::NotRun,
            Origin::Unnamed { .. } | Origin::Foreign => Verdict::Doubtful,
        }
    }

    /// Returns whether this is a refusal of the request, given the response `next` to a second request
    /// that the server declines. Servers respond in order, so that no other response to the first
    /// request can follow.
    ///
    /// A copy of an earlier response could look like `next`, unless the status differs or the
    /// connection had no response without an id before.
    pub fn is_confirmed_by(&self, next: &Self) -> bool {
        let Origin::Unnamed { is_first_unnamed } = self.origin else {
            return false;
        };
        let is_distinct = is_first_unnamed || next.status != self.status;
        let is_unnamed = matches!(next.origin, Origin::Unnamed { .. });
        self.is_refusal && next.is_refusal && is_unnamed && is_distinct
    }
}
