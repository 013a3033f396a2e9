use std::collections::VecDeque;

/// Maximum number of prefixes tracked per replica. Beyond it, the router forgets the one that was
/// stored first.
const MAX_PREFIXES: usize = 128;

/// A prefix cache change published by a replica.
///
/// Events may be delayed or lost, so they are only hints: acting on a stale one costs a cache
/// miss.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// The sequence number; each replica numbers its events consecutively.
    pub sequence: u64,
    /// The change.
    pub change: CacheChange,
}

/// A change to a replica's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheChange {
    /// The prefix with this hash was stored.
    Stored(u64),
    /// The prefix with this hash was evicted.
    Evicted(u64),
    /// All prefixes were evicted.
    Cleared,
}

/// The prefixes that a replica is believed to have cached.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixCache {
    last_sequence: Option<u64>,
    prefixes: VecDeque<u64>,
}

impl PrefixCache {
    pub(crate) fn last_sequence(&self) -> Option<u64> {
        self.last_sequence
    }

    pub(crate) fn contains(&self, prefix: u64) -> bool {
        self.prefixes.contains(&prefix)
    }

    /// Clears all state, including the last sequence number.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Applies an event newer than the last one; `gap` is true if events in between were lost.
    pub(crate) fn apply(&mut self, event: &CacheEvent, gap: bool) {
        // A lost event may have been an eviction, so prefixes recorded earlier are discarded.
        if gap {
            self.prefixes.clear();
        }
        self.last_sequence = Some(event.sequence);
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
