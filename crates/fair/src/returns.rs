//! The callers that were refused and told when to return.

use dogwoodlb_types::Instant;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// How much later than announced a caller may return: callers have timers and connections of their
/// own.
const LATENESS: Duration = Duration::from_millis(500);
/// The maximum number of callers that are remembered for each organisation and route. The oldest are
/// forgotten first.
const MAX_RETURNS: usize = 64;

type Caller = (Arc<str>, Arc<str>);

/// Until when the refused callers of each organisation and route may return.
#[derive(Clone, Debug, Default)]
pub(crate) struct Returns {
    until: BTreeMap<Caller, VecDeque<Instant>>,
}

impl Returns {
    pub(crate) fn announce(&mut self, caller: Caller, retry_after: Duration, now: Instant) {
        let until = self.until.entry(caller).or_default();
        if until.len() == MAX_RETURNS {
            until.pop_front();
        }
        until.push_back(now + retry_after + LATENESS);
    }

    /// Returns whether a caller is expected to return, and expects one less.
    pub(crate) fn take(&mut self, caller: &Caller, now: Instant) -> bool {
        let Some(until) = self.until.get_mut(caller) else {
            return false;
        };
        until.retain(|until| *until >= now);
        let is_returning = until.pop_front().is_some();
        if until.is_empty() {
            self.until.remove(caller);
        }
        is_returning
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.until.retain(|_, until| {
            until.retain(|until| *until >= now);
            !until.is_empty()
        });
    }
}
