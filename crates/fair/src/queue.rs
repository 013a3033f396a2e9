use crate::arrival::{Arrival, End, Offer, Queued, Reason, Refusal, Started, Ticket};
use crate::backpressure::Backpressure;
use crate::pace::Pace;
use crate::returns::Returns;
use crate::{Ageing, Rank, Shares, Weight};
use dogwoodlb_types::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

mod wait;

/// The limits of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The maximum number of waiting requests of one organisation.
    pub per_organisation: usize,
    /// The maximum number of waiting requests.
    pub total: usize,
    /// The slot time by which an organisation may run ahead of its share.
    pub burst: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            per_organisation: 64,
            total: 256,
            burst: Duration::from_millis(250),
        }
    }
}

/// The order within an organisation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    priority: u32,
    standing: Standing,
    ticket: Ticket,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Standing {
    Resumed,
    Returning,
    New,
}

/// The order of the first requests of all organisations. Whether an organisation is over its share
/// comes before the priority, because otherwise a flood of high priority would starve the others.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Turn {
    is_over_share: bool,
    priority: u32,
    rank: Rank,
    standing: Standing,
    ticket: Ticket,
}

#[derive(Clone, Debug)]
struct Entry {
    organisation: Arc<str>,
    route: Arc<str>,
    place: Place,
    deadline: Instant,
    arrived: Instant,
}

/// The requests that wait for a replica of one service, for the load in which more requests arrive
/// than the replicas serve: some organisations flood the service, replicas are lost, and callers
/// that were refused return.
///
/// The first request is that of an organisation within its [share](Shares), of the highest priority,
/// whose caller was refused before, and that arrived first. A part of the service goes to the request
/// that has waited longest ([`Ageing`]). A request that can't be
/// answered by its deadline is refused, on arrival or as soon as that is known.
#[derive(Clone, Debug)]
pub struct Queue {
    settings: Settings,
    shares: Shares,
    pace: Pace,
    returns: Returns,
    entries: BTreeMap<Ticket, Entry>,
    places: BTreeMap<Arc<str>, BTreeSet<Place>>,
    displaced: Vec<(Ticket, Refusal)>,
    last_ticket: u64,
    ageing: Ageing,
    /// The number of requests at replicas.
    running: u32,
    /// Since when requests wait.
    busy_since: Option<Instant>,
    backpressure: Backpressure,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            shares: Shares::new(settings.burst.as_secs_f64() * 1e3),
            pace: Pace::default(),
            returns: Returns::default(),
            entries: BTreeMap::new(),
            places: BTreeMap::new(),
            displaced: Vec::new(),
            last_ticket: 0,
            ageing: Ageing::default(),
            running: 0,
            busy_since: None,
            backpressure: Backpressure::default(),
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a request. One that takes the place of another in a full queue leaves that one to the
    /// next call of [`Queue::expire`].
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the queue is full, or if the request would wait too long to be answered by its
    /// deadline.
    pub fn push(&mut self, arrival: &Arrival<'_>, now: Instant) -> Result<Queued, Refusal> {
        let organisation: Arc<str> = arrival.organisation.unwrap_or_default().into();
        let route: Arc<str> = arrival.route.into();
        let caller = (organisation.clone(), route.clone());
        let standing = match arrival.is_resumed {
            true => Standing::Resumed,
            false if self.returns.take(&caller, now) => Standing::Returning,
            false => Standing::New,
        };
        self.last_ticket += 1;
        let place = Place {
            priority: arrival.priority,
            standing,
            ticket: Ticket(self.last_ticket),
        };
        let (position, expected_wait) = self.expected_wait(&organisation, place, now);
        let is_over_share = self.shares.rank(&organisation).is_over_share();
        let refuse = |reason| Refusal {
            reason,
            position,
            expected_wait,
            is_over_share,
        };
        if now + expected_wait + self.pace.running_time(&route) > arrival.deadline {
            return Err(refuse(Reason::Late));
        }
        if !arrival.is_resumed && !self.make_room(&organisation, now) {
            return Err(refuse(Reason::Full));
        }
        let entry = Entry {
            organisation: organisation.clone(),
            route,
            place,
            deadline: arrival.deadline,
            arrived: now,
        };
        self.busy_since.get_or_insert(now);
        self.entries.insert(place.ticket, entry);
        self.places
            .entry(organisation.clone())
            .or_default()
            .insert(place);
        self.sync_waiting(&organisation);
        Ok(Queued {
            ticket: place.ticket,
            position,
            expected_wait,
        })
    }

    /// Makes room for a request of an organisation, in a full queue at the expense of the
    /// organisation with the most waiting requests. Returns `false` if it has none to spare.
    fn make_room(&mut self, organisation: &str, now: Instant) -> bool {
        let waiting = self.places.get(organisation).map_or(0, BTreeSet::len);
        if waiting >= self.settings.per_organisation {
            return false;
        }
        if self.entries.len() < self.settings.total {
            return true;
        }
        let longest = self.places.values().max_by_key(|places| places.len());
        let Some(places) = longest.filter(|places| places.len() > waiting + 1) else {
            return false;
        };
        let Some(last) = places.last().copied() else {
            return false;
        };
        self.refuse_entry(last.ticket, Reason::Displaced, now);
        true
    }

    /// Returns whether a request may be sent to a replica without waiting: none waits, and the
    /// replicas don't refuse requests of this node.
    pub fn may_start_at_once(&self, now: Instant) -> bool {
        self.is_empty() && self.backpressure.allows(self.running, now)
    }

    /// Offers a free replica to the waiting requests in their order until one takes it. Only the
    /// first request of each organisation is offered one.
    pub fn pop(&mut self, now: Instant, mut offer: impl FnMut(Ticket) -> Offer) -> Option<Started> {
        if !self.backpressure.allows(self.running, now) {
            return None;
        }
        let mut turns: Vec<Turn> = self.turns().collect();
        turns.sort_unstable();
        let mut tickets: Vec<Ticket> = turns.iter().map(|turn| turn.ticket).collect();
        let oldest = self.entries.values().next();
        let oldest = oldest.filter(|entry| self.ageing.is_due(self.pace.cost_ms(&entry.route)));
        let aged = oldest.map(|entry| entry.place.ticket);
        tickets.splice(..0, aged);
        let taken = tickets
            .into_iter()
            .map(|ticket| (ticket, offer(ticket)))
            .find(|(_, offer)| *offer != Offer::Unsuitable);
        let (ticket, _) = taken.filter(|(_, offer)| *offer == Offer::Taken)?;
        let entry = self.remove(ticket)?;
        let started = self.start(&entry, Some(ticket), now);
        match self.is_empty() {
            true => self.ageing = Ageing::default(),
            false => {
                let is_aged = aged == Some(ticket);
                self.ageing.on_start(started.reserved_ms, is_aged);
            }
        }
        Some(started)
    }

    fn turns(&self) -> impl Iterator<Item = Turn> + '_ {
        self.places.iter().filter_map(|(organisation, places)| {
            let first = places.first()?;
            let rank = self.shares.rank(organisation);
            Some(Turn {
                is_over_share: rank.is_over_share(),
                priority: first.priority,
                rank,
                standing: first.standing,
                ticket: first.ticket,
            })
        })
    }

    /// Records that a request was given a replica without waiting.
    pub fn start_at_once(&mut self, arrival: &Arrival<'_>, now: Instant) -> Started {
        let place = Place {
            priority: arrival.priority,
            standing: Standing::New,
            ticket: Ticket(0),
        };
        let entry = Entry {
            organisation: arrival.organisation.unwrap_or_default().into(),
            route: arrival.route.into(),
            place,
            deadline: arrival.deadline,
            arrived: now,
        };
        self.start(&entry, None, now)
    }

    fn start(&mut self, entry: &Entry, ticket: Option<Ticket>, now: Instant) -> Started {
        let is_over_share = self.shares.rank(&entry.organisation).is_over_share();
        let weight = Weight::of_priority(entry.place.priority);
        let reserved_ms = self.pace.cost_ms(&entry.route);
        self.shares
            .reserve(&entry.organisation, weight, reserved_ms);
        self.pace.on_start(now);
        self.running += 1;
        Started {
            ticket,
            organisation: entry.organisation.clone(),
            route: entry.route.clone(),
            weight,
            reserved_ms,
            waited: now.saturating_since(entry.arrived),
            is_over_share,
        }
    }

    /// Records the end of a request at its replica, which took it for a time.
    pub fn on_end(&mut self, started: Started, took: Duration, end: End, now: Instant) {
        let (organisation, weight) = (&*started.organisation, started.weight);
        let reserved_ms = started.reserved_ms;
        self.shares.reserve(organisation, weight, -reserved_ms);
        let took_ms = took.as_secs_f64() * 1e3;
        self.shares.charge(organisation, weight, took_ms);
        self.running = self.running.saturating_sub(1);
        match end {
            End::Complete => {
                self.pace.on_end(&started.route, took);
                self.backpressure.on_response(self.running);
            }
            End::Refused => {
                self.pace.on_refusal();
                self.backpressure.on_refusal(self.running, now);
            }
            End::Broken => {}
        }
    }

    /// Removes a request whose caller has left.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.remove(ticket);
    }

    /// Removes the requests that can't be answered by their deadline any more, and returns them with
    /// those that were displaced.
    pub fn expire(&mut self, now: Instant) -> Vec<(Ticket, Refusal)> {
        let is_late = |entry: &Entry| now + self.pace.running_time(&entry.route) > entry.deadline;
        let late = self.entries.iter().filter(|(_, entry)| is_late(entry));
        let late: Vec<Ticket> = late.map(|(ticket, _)| *ticket).collect();
        for ticket in late {
            self.refuse_entry(ticket, Reason::Late, now);
        }
        self.returns.expire(now);
        self.shares.forget();
        std::mem::take(&mut self.displaced)
    }

    fn refuse_entry(&mut self, ticket: Ticket, reason: Reason, now: Instant) {
        let Some(entry) = self.entries.get(&ticket).cloned() else {
            return;
        };
        let (position, expected_wait) = self.expected_wait(&entry.organisation, entry.place, now);
        let refusal = Refusal {
            reason,
            position,
            expected_wait,
            is_over_share: self.shares.rank(&entry.organisation).is_over_share(),
        };
        self.remove(ticket);
        self.displaced.push((ticket, refusal));
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        let entry = self.entries.remove(&ticket)?;
        self.busy_since = self.busy_since.filter(|_| !self.entries.is_empty());
        if let Some(places) = self.places.get_mut(&entry.organisation) {
            places.remove(&entry.place);
            if places.is_empty() {
                self.places.remove(&entry.organisation);
            }
        }
        self.sync_waiting(&entry.organisation);
        Some(entry)
    }

    fn sync_waiting(&mut self, organisation: &str) {
        let first = self.places.get(organisation).and_then(BTreeSet::first);
        match first {
            Some(first) => {
                let weight = Weight::of_priority(first.priority);
                self.shares.set_waiting(organisation, weight);
            }
            None => self.shares.set_idle(organisation),
        }
    }
}
