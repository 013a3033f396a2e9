use crate::{Heartbeat, MIN_INTERVAL};
use dogwoodlb_types::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A node without this many beats in a row counts as dead, in quarters of an interval.
const DEAD_QUARTERS: u32 = 18;
/// A node without this many beats in a row is not told to callers, in quarters of an interval.
/// Leaving a live node out for a moment costs less than sending callers to a dead one.
const UNLISTED_QUARTERS: u32 = 10;
const UNLISTED: Duration = Duration::from_millis(1_100);
/// A pause of the process after which its own clock says nothing about its peers.
const PAUSE: Duration = Duration::from_millis(600);
/// The number of nodes up to which all beat fast; beyond it the interval grows, so that a node
/// sends about 64 beats a second at any size.
const FAST_NODES: usize = 16;
/// A node that was not heard of for this long is forgotten.
const FORGET: Duration = Duration::from_secs(120);

/// Returns the interval of a node without a duty among `nodes` nodes.
pub fn interval(nodes: usize) -> Duration {
    let factor = u32::try_from(nodes.div_ceil(FAST_NODES)).unwrap_or(u32::MAX);
    MIN_INTERVAL * factor.max(1)
}

/// The other nodes as one node knows them.
#[derive(Clone, Debug)]
pub struct Peers {
    me: String,
    /// Where unheard nodes may listen.
    contacts: BTreeMap<SocketAddr, Instant>,
    records: BTreeMap<String, Record>,
    next_tick: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Record {
    beat: Heartbeat,
    heard: Instant,
}

impl Record {
    fn is_live(&self, now: Instant) -> bool {
        let interval = Duration::from_millis(self.beat.interval_ms);
        now.saturating_since(self.heard) < interval * DEAD_QUARTERS / 4
    }

    fn is_routable(&self, now: Instant) -> bool {
        let interval = Duration::from_millis(self.beat.interval_ms);
        let limit = UNLISTED.max(interval * UNLISTED_QUARTERS / 4);
        let serves = self.beat.serving && !self.beat.leaving;
        serves && now.saturating_since(self.heard) < limit
    }
}

impl Peers {
    /// Creates the view of a node that knows no other yet.
    pub fn new(me: &str) -> Self {
        Self {
            me: me.to_owned(),
            contacts: BTreeMap::new(),
            records: BTreeMap::new(),
            next_tick: None,
        }
    }

    /// Takes in an address at which a node may listen.
    pub fn add_contact(&mut self, peer: SocketAddr, now: Instant) {
        self.contacts.insert(peer, now);
    }

    /// Takes in a beat; one of an earlier run, or one that was overtaken, is ignored.
    ///
    /// Returns whether the node is new or has started again.
    pub fn on_heartbeat(&mut self, beat: Heartbeat, now: Instant) -> bool {
        if beat.node == self.me {
            return false;
        }
        let order = (beat.boot, beat.sequence);
        let known = self.records.get(&beat.node);
        let last = known.map(|record| (record.beat.boot, record.beat.sequence));
        if last.is_some_and(|last| order <= last) {
            return false;
        }
        let is_new = known.is_none_or(|record| record.beat.boot != beat.boot);
        self.contacts.remove(&beat.peer);
        let record = Record { beat, heard: now };
        self.records.insert(record.beat.node.clone(), record);
        is_new
    }

    /// Advances the time; the next call is expected after `interval`. A pause of this process
    /// is not counted against its peers.
    pub fn tick(&mut self, now: Instant, interval: Duration) {
        let gap = now.saturating_since(self.next_tick.unwrap_or(now));
        self.next_tick = Some(now + interval);
        if gap > PAUSE {
            for record in self.records.values_mut() {
                record.heard = record.heard + gap;
            }
        }
        self.records
            .retain(|_, record| now.saturating_since(record.heard) < FORGET);
        self.contacts
            .retain(|_, since| now.saturating_since(*since) < FORGET);
    }

    /// Returns the addresses to which beats are sent.
    pub fn targets(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let known = self.records.values().map(|record| record.beat.peer);
        known.chain(self.contacts.keys().copied())
    }

    /// Returns the last beat of a node.
    pub fn heartbeat(&self, node: &str) -> Option<&Heartbeat> {
        self.records.get(node).map(|record| &record.beat)
    }

    /// Returns whether a node is alive.
    pub fn is_live(&self, node: &str, now: Instant) -> bool {
        node == self.me || self.records.get(node).is_some_and(|r| r.is_live(now))
    }

    /// Returns the other nodes that are alive.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Heartbeat> {
        let records = self.records.values();
        records
            .filter(move |record| record.is_live(now))
            .map(|record| &record.beat)
    }

    /// Returns the other nodes that callers may be sent to.
    pub fn routable(&self, now: Instant) -> impl Iterator<Item = &Heartbeat> {
        let records = self.records.values();
        records
            .filter(move |record| record.is_routable(now))
            .map(|record| &record.beat)
    }

    /// Returns whether a node can take or keep a duty.
    pub fn is_eligible(&self, node: &str, now: Instant) -> bool {
        let record = self.records.get(node);
        record.is_some_and(|record| record.is_live(now) && is_eligible(&record.beat))
    }

    /// Returns how many live nodes come before `own` as candidates for a duty.
    ///
    /// Those near the store come first, then those with more processor time; among equals a
    /// hash of the duty decides, so that duties spread over the nodes.
    pub fn rank(&self, duty: &str, own: &Heartbeat, now: Instant) -> usize {
        let place = |beat: &Heartbeat| {
            let hash =
                xxh3_64_with_seed(beat.node.as_bytes(), xxh3_64_with_seed(duty.as_bytes(), 0));
            (beat.near_store, beat.cpu_millis, hash)
        };
        let mine = place(own);
        let fit = self.live(now).filter(|beat| is_eligible(beat));
        fit.filter(|beat| place(beat) > mine).count()
    }
}

fn is_eligible(beat: &Heartbeat) -> bool {
    beat.serving && beat.has_store && !beat.leaving
}
