use crate::endpoint::{Endpoint, LoadReport, REPORT_TTL};
use crate::error::Inner;
use crate::prefix_cache::CacheEvent;
use crate::ticket::InFlight;
use crate::{choose, subset};
use crate::{Error, Freshness, Outcome, Pick, Replica, Request, Result, Settings, Ticket};
use dogwoodlb_types::prelude::*;
use rand::Rng;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Maximum number of replicas of one model or service, close to what a manifest can hold.
const MAX_REPLICAS: usize = 10_000;
/// Maximum number of requests in flight per router; a subset of 20 replicas serves far fewer.
const MAX_IN_FLIGHT: usize = 65_536;
/// `Retry-After` for requests refused because no slot is free.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// Age of the last report after which a replica is polled for its load.
const POLL_AFTER: Duration = Duration::from_secs(1);

/// Routes the requests of one model or plain service to its replicas.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    /// See [`set_pooled`](Self::set_pooled).
    is_pooled: bool,
    /// All replicas listed in the manifest.
    replicas: Vec<Replica>,
    /// The replicas marked with [`set_leaving`](Self::set_leaving).
    leaving: BTreeSet<id::Upstream>,
    /// The replicas of the subset, nearest first, then those outside it that still have requests
    /// in flight.
    endpoints: Vec<Endpoint>,
    in_flight: HashMap<Ticket, InFlight>,
    next_ticket: u64,
}

impl Router {
    /// Creates a router without replicas.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            is_pooled: false,
            replicas: Vec::new(),
            leaving: BTreeSet::new(),
            endpoints: Vec::new(),
            in_flight: HashMap::new(),
            next_ticket: 0,
        }
    }

    /// Replaces the list of replicas with that of the manifest.
    ///
    /// Requests in flight remain counted. A replica marked with
    /// [`set_leaving`](Self::set_leaving) stays marked while it is listed.
    ///
    /// # Errors
    ///
    /// [`Category::InvalidReplicas`](crate::Category::InvalidReplicas) if a name is duplicated or
    /// the list is too long; the previous list is kept.
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
        self.rebuild_endpoints();
        Ok(())
    }

    /// Sets or clears the leaving mark of a replica, as shown in the VM list.
    ///
    /// A leaving replica receives no new requests and is replaced in the subset.
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
            self.rebuild_endpoints();
        }
        Ok(())
    }

    /// Sets whether nearer replicas are preferred only while they are less than half full, by the
    /// requests that this node knows of. Otherwise farther ones are used only once the nearer ones
    /// have no free slot. It does not concern requests with a prompt, which go to the replica that
    /// has it cached.
    pub fn set_pooled(&mut self, is_pooled: bool) {
        self.is_pooled = is_pooled;
    }

    /// Sets the maximum number of requests that this node may have in flight at a replica.
    ///
    /// The limit is adapted to the latency measured by this node, while `slots` is the replica's
    /// capacity across all nodes.
    ///
    /// # Errors
    ///
    /// [`Category::UnknownUpstream`](crate::Category::UnknownUpstream) if the replica is not in
    /// use.
    pub fn set_limit(&mut self, upstream: &id::Upstream, limit: u32) -> Result<()> {
        self.endpoint(upstream)?.limit = limit;
        Ok(())
    }

    /// Selects a replica and counts the request as in flight.
    ///
    /// # Errors
    ///
    /// [`Code::Overloaded`] if no replica that may be used has a free slot for the class or the
    /// router has too many requests in flight, and [`Code::NoUpstream`] if no replica is in
    /// service. The request was not executed.
    pub fn pick(
        &mut self,
        request: &Request<'_>,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> std::result::Result<Pick, Refusal> {
        if self.in_flight.len() >= MAX_IN_FLIGHT {
            return Err(overloaded());
        }
        let choose = match self.is_pooled && request.prefix.is_none() {
            true => choose::choose_pooled,
            false => choose::choose,
        };
        let Some(index) = choose(&self.endpoints, request, now, rng) else {
            return Err(self.refusal(now));
        };
        let endpoint = &mut self.endpoints[index];
        endpoint.in_flight += 1;
        let upstream = endpoint.replica.upstream.clone();
        let locality = endpoint.locality;
        Ok(Pick {
            ticket: self.issue_ticket(&upstream, now),
            upstream,
            locality,
        })
    }

    fn issue_ticket(&mut self, upstream: &id::Upstream, now: Instant) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let request = InFlight {
            upstream: upstream.clone(),
            picked_at: now,
            started: false,
        };
        self.in_flight.insert(ticket, request);
        ticket
    }

    /// Records that the request was sent, so that later load reports are assumed to include it.
    ///
    /// # Errors
    ///
    /// Same as [`on_end`](Self::on_end).
    pub fn on_start(&mut self, ticket: Ticket) -> Result<()> {
        let next = self.next_ticket;
        let request = self.in_flight.get_mut(&ticket);
        let request = request.ok_or_else(|| not_in_flight(ticket, next))?;
        if !std::mem::replace(&mut request.started, true) {
            let upstream = request.upstream.clone();
            self.endpoint(&upstream)?.started += 1;
        }
        Ok(())
    }

    /// Records the end of a request.
    ///
    /// # Errors
    ///
    /// [`Category::AlreadyEnded`](crate::Category::AlreadyEnded) if the ticket has already been
    /// ended, and [`Category::UnknownTicket`](crate::Category::UnknownTicket) if it was not issued
    /// by this router; the state is unchanged.
    pub fn on_end(&mut self, ticket: Ticket, outcome: Outcome, now: Instant) -> Result<()> {
        let request = self.in_flight.remove(&ticket);
        let request = request.ok_or_else(|| not_in_flight(ticket, self.next_ticket))?;
        let endpoint = self.endpoint(&request.upstream)?;
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        if request.started {
            endpoint.started = endpoint.started.saturating_sub(1);
        }
        endpoint.health.on_end(outcome, request.picked_at, now);
        if !endpoint.in_subset && endpoint.in_flight == 0 {
            self.endpoints.retain(|e| e.in_subset || e.in_flight > 0);
        }
        Ok(())
    }

    /// Applies a load report; duplicate and out-of-order reports are ignored.
    ///
    /// A lower sequence number after the last report has expired means that the replica restarted,
    /// which also empties its prefix cache.
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
        let endpoint = self.endpoint(upstream)?;
        let last = endpoint.report.map(|report| report.sequence);
        let mut freshness = Freshness::of(last, load.sequence);
        let is_expired = endpoint
            .report
            .is_some_and(|report| now.saturating_since(report.received_at) > REPORT_TTL);
        if freshness == Freshness::Stale && is_expired && last != Some(load.sequence) {
            endpoint.cache.reset();
            freshness = Freshness::Fresh;
        }
        if freshness != Freshness::Stale {
            endpoint.set_report(&load, now);
        }
        Ok(freshness)
    }

    /// Applies a prefix cache event; duplicate and out-of-order events are ignored.
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
        let cache = &mut self.endpoint(upstream)?.cache;
        let freshness = Freshness::of(cache.last_sequence(), event.sequence);
        if freshness != Freshness::Stale {
            cache.apply(&event, matches!(freshness, Freshness::Gap(_)));
        }
        Ok(freshness)
    }

    /// Returns the replicas in the node's subset, nearest first.
    pub fn subset(&self) -> impl Iterator<Item = &id::Upstream> {
        let in_subset = self.endpoints.iter().filter(|endpoint| endpoint.in_subset);
        in_subset.map(|endpoint| &endpoint.replica.upstream)
    }

    /// Returns the replicas in the subset that have sent no load report for a second, and whose
    /// load has to be polled.
    pub fn replicas_to_poll(&self, now: Instant) -> impl Iterator<Item = &id::Upstream> {
        let needs_poll = move |endpoint: &&Endpoint| {
            let report = endpoint.report;
            endpoint.in_subset
                && report
                    .is_none_or(|report| now.saturating_since(report.received_at) >= POLL_AFTER)
        };
        let endpoints = self.endpoints.iter().filter(needs_poll);
        endpoints.map(|endpoint| &endpoint.replica.upstream)
    }

    /// Returns the number of requests that this node has in flight at a replica.
    pub fn in_flight(&self, upstream: &id::Upstream) -> u32 {
        let mut endpoints = self.endpoints.iter();
        let endpoint = endpoints.find(|endpoint| endpoint.replica.upstream == *upstream);
        endpoint.map_or(0, |endpoint| endpoint.in_flight)
    }

    /// Returns whether a replica is currently ejected.
    pub fn is_ejected(&self, upstream: &id::Upstream, now: Instant) -> bool {
        let mut endpoints = self.endpoints.iter();
        endpoints.any(|e| e.replica.upstream == *upstream && e.health.ejected_until(now).is_some())
    }

    fn endpoint(&mut self, upstream: &id::Upstream) -> Result<&mut Endpoint> {
        let mut endpoints = self.endpoints.iter_mut();
        endpoints
            .find(|endpoint| endpoint.replica.upstream == *upstream)
            .ok_or_else(|| Error::from(Inner::UnknownUpstream(upstream.clone())))
    }

    fn rebuild_endpoints(&mut self) {
        let mut old = std::mem::take(&mut self.endpoints);
        for replica in subset::select(&self.settings, &self.replicas, &self.leaving) {
            let locality = self.settings.locality(replica);
            let known = old
                .iter()
                .position(|e| e.replica.upstream == replica.upstream);
            let mut endpoint = match known {
                Some(index) => old.swap_remove(index),
                None => Endpoint::new(replica.clone(), locality),
            };
            endpoint.replica = replica.clone();
            endpoint.locality = locality;
            endpoint.in_subset = true;
            self.endpoints.push(endpoint);
        }
        for mut endpoint in old {
            if endpoint.in_flight > 0 {
                endpoint.in_subset = false;
                self.endpoints.push(endpoint);
            }
        }
    }

    /// Returns the refusal of a request for which no replica was found.
    #[cold]
    fn refusal(&self, now: Instant) -> Refusal {
        let mut earliest = None;
        for endpoint in self.endpoints.iter().filter(|endpoint| endpoint.in_subset) {
            let Some(until) = endpoint.health.ejected_until(now) else {
                return overloaded();
            };
            earliest = Some(earliest.map_or(until, |other: Instant| other.min(until)));
        }
        let refusal = Refusal::not_run(Code::NoUpstream, "no replica is in service");
        match earliest {
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
        Inner::AlreadyEnded(ticket)
    } else {
        Inner::UnknownTicket(ticket)
    })
}
