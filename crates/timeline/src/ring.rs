use crate::Event;
use std::collections::VecDeque;

/// The most recent events of a node.
///
/// The ring holds a fixed number of events, each of bounded size, so it can run forever in
/// the memory of an entry VM. Nothing but the display of events depends on it.
#[derive(Clone, Debug)]
pub struct RingBuffer {
    events: VecDeque<Event>,
    capacity: usize,
    dropped: u64,
}

impl RingBuffer {
    /// Creates a ring for at most `capacity` events, at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            events: VecDeque::new(),
            capacity: capacity.max(1),
            dropped: 0,
        }
    }

    /// Adds an event and drops the oldest one if the ring is full.
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

    /// Returns the number of events that were dropped, for the reader to know of the gap.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// Merges the events of several nodes into one causal order.
///
/// The order is by stamp, then by VM; events of one VM with the same stamp keep their order.
/// An event that occurs in several lists, as when one node was read twice, is kept once.
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
