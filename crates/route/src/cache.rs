use std::collections::VecDeque;

/// The prefixes remembered for one replica; the oldest is forgotten first.
const MAX_PREFIXES: usize = 128;

/// A change of a replica's prefix cache, as the replica publishes it.
///
/// Events arrive late and with gaps, so they are hints: a wrong one costs a cache miss.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// The number of the event; a replica numbers its events one by one.
    pub sequence: u64,
    /// What changed.
    pub change: CacheChange,
}

/// What changed in a replica's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheChange {
    /// The prefix with this hash was stored.
    Stored(u64),
    /// The prefix with this hash was evicted.
    Evicted(u64),
    /// The cache was emptied.
    Cleared,
}

/// The prefixes that a replica is known to hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cache {
    last: Option<u64>,
    prefixes: VecDeque<u64>,
}

impl Cache {
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    pub(crate) fn holds(&self, prefix: u64) -> bool {
        self.prefixes.contains(&prefix)
    }

    /// Forgets everything, including the number of the last event.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Applies an event that is newer than the last one; `gap` tells that events are missing.
    pub(crate) fn apply(&mut self, event: &CacheEvent, gap: bool) {
        // A missing event may have been an eviction, so nothing known before it is certain.
        if gap {
            self.prefixes.clear();
        }
        self.last = Some(event.sequence);
        match event.change {
            CacheChange::Stored(prefix) => {
                self.prefixes.retain(|&known| known != prefix);
                if self.prefixes.len() == MAX_PREFIXES {
                    self.prefixes.pop_front();
                }
                self.prefixes.push_back(prefix);
            }
            CacheChange::Evicted(prefix) => self.prefixes.retain(|&known| known != prefix),
            CacheChange::Cleared => self.prefixes.clear(),
        }
    }
}
