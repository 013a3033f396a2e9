use crate::Ticket;
use dogwoodlb_types::{Class, Instant};
use std::collections::{BTreeMap, BTreeSet};

/// The waiting requests, in order of arrival within a class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    waiting: [BTreeMap<Ticket, Instant>; 3],
    expiry: BTreeSet<(Instant, Ticket, Class)>,
}

impl Queue {
    pub(crate) fn len(&self, class: Class) -> usize {
        self.waiting[class.rank()].len()
    }

    pub(crate) fn push(&mut self, ticket: Ticket, class: Class, latest: Instant) {
        self.waiting[class.rank()].insert(ticket, latest);
        self.expiry.insert((latest, ticket, class));
    }

    /// Removes and returns the request of a class that has waited longest.
    pub(crate) fn pop(&mut self, class: Class) -> Option<Ticket> {
        let (ticket, latest) = self.waiting[class.rank()].pop_first()?;
        self.expiry.remove(&(latest, ticket, class));
        Some(ticket)
    }

    /// Removes and returns a request that had to start before `now`.
    pub(crate) fn pop_expired(&mut self, now: Instant) -> Option<Ticket> {
        let &(latest, ticket, class) = self.expiry.first()?;
        if latest >= now {
            return None;
        }
        self.expiry.pop_first();
        self.waiting[class.rank()].remove(&ticket);
        Some(ticket)
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        for class in Class::ALL {
            if let Some(latest) = self.waiting[class.rank()].remove(&ticket) {
                return self.expiry.remove(&(latest, ticket, class));
            }
        }
        false
    }

    /// Returns when the first request has to start.
    pub(crate) fn first_expiry(&self) -> Option<Instant> {
        self.expiry.first().map(|&(latest, ..)| latest)
    }
}
