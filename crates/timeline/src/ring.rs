use crate::Event;
use std::collections::VecDeque;

/// A ring buffer of the most recent events of a node.
///
/// Holds a fixed number of events of bounded size, so its memory is bounded for the lifetime of
/// the process. It is used only to display events; no decision depends on it.
#[derive(Clone, Debug)]
pub struct RingBuffer {
    events: VecDeque<Event>,
    capacity: usize,
    dropped: u64,
}

impl RingBuffer {
    /// Creates a buffer for at most `capacity` events; a capacity of 0 is raised to 1.
    pub fn new(capacity: usize) -> Self {
        Self {
            events: VecDeque::new(),
            capacity: capacity.max(1),
            dropped: 0,
        }
    }

    /// Adds an event and drops the oldest one if the buffer is full.
    pub fn push(&mut self, event: Event) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped = self.dropped.saturating_add(1);
        }
        self.events.push_back(event);
    }

    /// Returns the events, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Event> + ExactSizeIterator {
        self.events.iter()
    }

    /// Copies the events, oldest first.
    pub fn to_vec(&self) -> Vec<Event> {
        self.events.iter().cloned().collect()
    }

    /// Returns the number of dropped events, which tells readers that events are missing.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// Merges the events of several nodes into one causal order.
///
/// Events are ordered by stamp, then by VM; events of one VM with the same stamp keep their
/// order. An event that occurs in several lists, for example because a node was read twice, is
/// returned once.
pub fn merge(lists: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = lists.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.stamp, &a.vm).cmp(&(b.stamp, &b.vm)));
    let mut merged: Vec<Event> = Vec::with_capacity(events.len());
    for event in events {
        let same_key = |other: &&Event| (other.stamp, &other.vm) == (event.stamp, &event.vm);
        if !merged
            .iter()
            .rev()
            .take_while(same_key)
            .any(|other| *other == event)
        {
            merged.push(event);
        }
    }
    merged
}
