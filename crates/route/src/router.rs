use crate::cache::CacheEvent;
use crate::error::Inner;
use crate::member::{LoadReport, Member, REPORT_LIFE};
use crate::ticket::Flight;
use crate::{choose, subset};
use crate::{Error, Freshness, Outcome, Pick, Replica, Request, Result, Settings, Ticket};
use dogwoodlb_types::prelude::*;
use rand::Rng;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// The replicas of one model or service; the manifest's size allows about as many.
const MAX_REPLICAS: usize = 10_000;
/// The requests in flight of one router; 20 replicas serve far fewer.
const MAX_FLIGHTS: usize = 65_536;
/// How long a refused request should wait for a slot.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// A replica without a report for this long is idle and has to be polled.
const POLL_AFTER: Duration = Duration::from_secs(1);

/// Selects replicas for the requests of one model or one plain service.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    replicas: Vec<Replica>,
    leaving: BTreeSet<id::Upstream>,
    members: Vec<Member>,
    flights: HashMap<Ticket, Flight>,
    next: u64,
}

impl Router {
    /// Creates a router without replicas.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            replicas: Vec::new(),
            leaving: BTreeSet::new(),
            members: Vec::new(),
            flights: HashMap::new(),
            next: 0,
        }
    }

    /// Replaces the list of replicas by the manifest's.
    ///
    /// Requests in flight stay counted, and a replica marked by
    /// [`set_leaving`](Self::set_leaving) stays so while it is listed.
    ///
    /// # Errors
    ///
    /// [`Category::InvalidReplicas`](crate::Category::InvalidReplicas) if a name is listed twice or the list
    /// is too long; the old list stays.
    pub fn update(&mut self, replicas: &[Replica]) -> Result<()> {
        if replicas.len() > MAX_REPLICAS {
            return Err(Error::from(Inner::TooMany {
                count: replicas.len(),
                limit: MAX_REPLICAS,
            }));
        }
        let mut names = BTreeSet::new();
        for (index, replica) in replicas.iter().enumerate() {
            if !names.insert(&replica.upstream) {
                return Err(Error::from(Inner::Duplicate {
                    index,
                    upstream: replica.upstream.clone(),
                }));
            }
        }
        self.leaving.retain(|upstream| names.contains(upstream));
        self.replicas = replicas.to_vec();
        self.rebuild();
        Ok(())
    }

    /// Marks a replica as leaving or as back, as the VM list shows it.
    ///
    /// A leaving replica gets no new work from this call on; another takes its place in the
    /// subset.
    ///
    /// # Errors
    ///
    /// [`Category::UnknownUpstream`](crate::Category::UnknownUpstream) if the replica is not
    /// listed.
    pub fn set_leaving(&mut self, upstream: &id::Upstream, leaving: bool) -> Result<()> {
        if !self.replicas.iter().any(|r| r.upstream == *upstream) {
            return Err(Error::from(Inner::UnknownUpstream(upstream.clone())));
        }
        let changed = if leaving {
            self.leaving.insert(upstream.clone())
        } else {
            self.leaving.remove(upstream)
        };
        if changed {
            self.rebuild();
        }
        Ok(())
    }

    /// Sets the number of requests that this node may have in flight at a replica.
    ///
    /// The limit follows the latency that the node measures, while `slots` is what the replica
    /// can serve for all nodes together.
    ///
    /// # Errors
    ///
    /// [`Category::UnknownUpstream`](crate::Category::UnknownUpstream) if the replica is not in
    /// use.
    pub fn set_limit(&mut self, upstream: &id::Upstream, limit: u32) -> Result<()> {
        self.member(upstream)?.limit = limit;
        Ok(())
    }

    /// Picks a replica and counts the request as in flight there.
    ///
    /// # Errors
    ///
    /// [`Code::Overloaded`] if the replicas have no slot for the class, and
    /// [`Code::NoUpstream`] if none is in service; nothing was executed.
    pub fn pick(
        &mut self,
        request: &Request<'_>,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> std::result::Result<Pick, Refusal> {
        if self.flights.len() >= MAX_FLIGHTS {
            return Err(overloaded());
        }
        let Some(index) = choose::choose(&self.members, request, now, rng) else {
            return Err(self.refusal(now));
        };
        let member = &mut self.members[index];
        member.in_flight += 1;
        let upstream = member.replica.upstream.clone();
        let locality = member.locality;
        Ok(Pick {
            ticket: self.issue(&upstream, now),
            upstream,
            locality,
        })
    }

    fn issue(&mut self, upstream: &id::Upstream, now: Instant) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let flight = Flight {
            upstream: upstream.clone(),
            picked: now,
            started: false,
        };
        self.flights.insert(ticket, flight);
        ticket
    }

    /// Records that a picked request was sent, so that load reports are known to contain it.
    ///
    /// # Errors
    ///
    /// As [`on_end`](Self::on_end).
    pub fn on_start(&mut self, ticket: Ticket) -> Result<()> {
        let next = self.next;
        let flight = self.flights.get_mut(&ticket);
        let flight = flight.ok_or_else(|| not_in_flight(ticket, next))?;
        if !std::mem::replace(&mut flight.started, true) {
            let upstream = flight.upstream.clone();
            self.member(&upstream)?.started += 1;
        }
        Ok(())
    }

    /// Ends a pick.
    ///
    /// # Errors
    ///
    /// [`Category::AlreadyEnded`](crate::Category::AlreadyEnded) if the ticket was ended before and
    /// [`Category::UnknownTicket`](crate::Category::UnknownTicket) if this router never issued
    /// it; nothing changes.
    pub fn on_end(&mut self, ticket: Ticket, outcome: Outcome, now: Instant) -> Result<()> {
        let flight = self.flights.remove(&ticket);
        let flight = flight.ok_or_else(|| not_in_flight(ticket, self.next))?;
        let member = self.member(&flight.upstream)?;
        member.in_flight = member.in_flight.saturating_sub(1);
        if flight.started {
            member.started = member.started.saturating_sub(1);
        }
        member.health.on_end(outcome, flight.picked, now);
        if !member.in_subset && member.in_flight == 0 {
            self.members.retain(|m| m.in_subset || m.in_flight > 0);
        }
        Ok(())
    }

    /// Takes a load report; a late one is ignored.
    ///
    /// A lower number after a long silence means that the replica was restarted.
    ///
    /// # Errors
    ///
    /// [`Category::UnknownUpstream`](crate::Category::UnknownUpstream) if the replica is not in
    /// use.
    pub fn on_load_report(
        &mut self,
        upstream: &id::Upstream,
        load: LoadReport,
        now: Instant,
    ) -> Result<Freshness> {
        let member = self.member(upstream)?;
        let last = member.report.map(|report| report.sequence);
        let mut freshness = Freshness::of(last, load.sequence);
        let silent = member
            .report
            .is_some_and(|report| now.saturating_since(report.at) > REPORT_LIFE);
        if freshness == Freshness::Stale && silent && last != Some(load.sequence) {
            member.cache.reset();
            freshness = Freshness::Fresh;
        }
        if freshness != Freshness::Stale {
            member.set_report(&load, now);
        }
        Ok(freshness)
    }

    /// Takes an event of a replica's prefix cache; a late one is ignored.
    ///
    /// # Errors
    ///
    /// [`Category::UnknownUpstream`](crate::Category::UnknownUpstream) if the replica is not in
    /// use.
    pub fn on_cache_event(
        &mut self,
        upstream: &id::Upstream,
        event: CacheEvent,
    ) -> Result<Freshness> {
        let cache = &mut self.member(upstream)?.cache;
        let freshness = Freshness::of(cache.last(), event.sequence);
        if freshness != Freshness::Stale {
            cache.apply(&event, matches!(freshness, Freshness::Gap(_)));
        }
        Ok(freshness)
    }

    /// Returns the replicas that the node uses, nearest first.
    pub fn subset(&self) -> impl Iterator<Item = &id::Upstream> {
        let used = self.members.iter().filter(|member| member.in_subset);
        used.map(|member| &member.replica.upstream)
    }

    /// Returns the replicas of the subset whose load has to be polled: no reply has carried a
    /// report for a second.
    pub fn replicas_to_poll(&self, now: Instant) -> impl Iterator<Item = &id::Upstream> {
        let idle = move |member: &&Member| {
            let report = member.report;
            member.in_subset
                && report.is_none_or(|report| now.saturating_since(report.at) >= POLL_AFTER)
        };
        let members = self.members.iter().filter(idle);
        members.map(|member| &member.replica.upstream)
    }

    /// Returns the number of requests that this node has in flight at a replica.
    pub fn in_flight(&self, upstream: &id::Upstream) -> u32 {
        let mut members = self.members.iter();
        let member = members.find(|member| member.replica.upstream == *upstream);
        member.map_or(0, |member| member.in_flight)
    }

    /// Tells whether a replica is ejected now.
    pub fn is_ejected(&self, upstream: &id::Upstream, now: Instant) -> bool {
        let mut members = self.members.iter();
        members.any(|m| m.replica.upstream == *upstream && m.health.ejected_until(now).is_some())
    }

    fn member(&mut self, upstream: &id::Upstream) -> Result<&mut Member> {
        let mut members = self.members.iter_mut();
        members
            .find(|member| member.replica.upstream == *upstream)
            .ok_or_else(|| Error::from(Inner::UnknownUpstream(upstream.clone())))
    }

    fn rebuild(&mut self) {
        let mut old = std::mem::take(&mut self.members);
        for replica in subset::select(&self.settings, &self.replicas, &self.leaving) {
            let locality = self.settings.locality(replica);
            let known = old
                .iter()
                .position(|m| m.replica.upstream == replica.upstream);
            let mut member = match known {
                Some(index) => old.swap_remove(index),
                None => Member::new(replica.clone(), locality),
            };
            member.replica = replica.clone();
            member.locality = locality;
            member.in_subset = true;
            self.members.push(member);
        }
        for mut member in old {
            if member.in_flight > 0 {
                member.in_subset = false;
                self.members.push(member);
            }
        }
    }

    #[cold]
    fn refusal(&self, now: Instant) -> Refusal {
        let mut wait = None;
        for member in self.members.iter().filter(|member| member.in_subset) {
            let Some(until) = member.health.ejected_until(now) else {
                return overloaded();
            };
            wait = Some(wait.map_or(until, |earliest: Instant| earliest.min(until)));
        }
        let refusal = Refusal::not_run(Code::NoUpstream, "no replica is in service");
        match wait {
            Some(until) => refusal.retry_after(until.saturating_since(now)),
            None => refusal,
        }
    }
}

#[cold]
fn overloaded() -> Refusal {
    Refusal::not_run(Code::Overloaded, "no replica has a free slot").retry_after(RETRY_AFTER)
}

#[cold]
fn not_in_flight(ticket: Ticket, next: u64) -> Error {
    Error::from(if ticket.0 < next {
        Inner::Ended(ticket)
    } else {
        Inner::UnknownTicket(ticket)
    })
}
