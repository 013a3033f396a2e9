use crate::Ticket;
use dogwoodlb_types::{Class, Instant};
use std::collections::{BTreeMap, BTreeSet};

/// The queued requests, in FIFO order within a class.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitQueue {
    /// The latest start time of each request, by class.
    waiting: [BTreeMap<Ticket, Instant>; 3],
    /// The same requests, ordered by their latest start time.
    by_deadline: BTreeSet<(Instant, Ticket, Class)>,
}

impl WaitQueue {
    pub(crate) fn len(&self, class: Class) -> usize {
        self.waiting[class.rank()].len()
    }

    pub(crate) fn push(&mut self, ticket: Ticket, class: Class, start_by: Instant) {
        self.waiting[class.rank()].insert(ticket, start_by);
        self.by_deadline.insert((start_by, ticket, class));
    }

    /// Removes and returns the oldest request of a class.
    pub(crate) fn pop(&mut self, class: Class) -> Option<Ticket> {
        let (ticket, start_by) = self.waiting[class.rank()].pop_first()?;
        self.by_deadline.remove(&(start_by, ticket, class));
        Some(ticket)
    }

    /// Removes and returns a request whose latest start time is before `now`.
    pub(crate) fn pop_expired(&mut self, now: Instant) -> Option<Ticket> {
        let &(start_by, ticket, class) = self.by_deadline.first()?;
        if start_by >= now {
            return None;
        }
        self.by_deadline.pop_first();
        self.waiting[class.rank()].remove(&ticket);
        Some(ticket)
    }

    /// Removes a request; returns `false` if it is not queued.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        for class in Class::ALL {
            if let Some(start_by) = self.waiting[class.rank()].remove(&ticket) {
                return self.by_deadline.remove(&(start_by, ticket, class));
            }
        }
        false
    }

    /// Returns the earliest of the latest start times.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.by_deadline.first().map(|&(start_by, ..)| start_by)
    }
}
