use crate::{Heartbeat, MIN_INTERVAL};
use dogwoodlb_types::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The silence after which a node is considered dead, in quarters of its heartbeat interval.
const DEAD_AFTER_QUARTERS: u32 = 18;
/// The silence after which callers are no longer sent to a node, in quarters of its heartbeat
/// interval. Leaving out a live node briefly costs less than sending callers to a dead one.
const UNROUTABLE_AFTER_QUARTERS: u32 = 10;
/// The minimum silence after which callers are no longer sent to a node.
const MIN_UNROUTABLE_AFTER: Duration = Duration::from_millis(1_100);
/// The delay of a tick above which this process is considered to have been paused. It received no
/// heartbeats in the meantime, so the delay is not counted as silence of the peers.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(600);
/// The number of nodes up to which all use [`MIN_INTERVAL`]. Beyond it the interval grows, so that
/// a node sends about 64 heartbeats per second regardless of the number of nodes.
const MIN_INTERVAL_NODES: usize = 16;
/// The silence after which a node, or an address that never sent a heartbeat, is removed.
const RECORD_TTL: Duration = Duration::from_secs(120);

/// Returns the heartbeat interval of a node without a leader role among `nodes` nodes.
pub fn interval(nodes: usize) -> Duration {
    let factor = u32::try_from(nodes.div_ceil(MIN_INTERVAL_NODES)).unwrap_or(u32::MAX);
    MIN_INTERVAL * factor.max(1)
}

/// The other nodes, as known to one node.
#[derive(Clone, Debug)]
pub struct Peers {
    own_node: String,
    /// Addresses of nodes that have not sent a heartbeat yet, with the time they were added.
    contacts: BTreeMap<SocketAddr, Instant>,
    records: BTreeMap<String, Record>,
    next_tick: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Record {
    heartbeat: Heartbeat,
    last_heard: Instant,
}

impl Record {
    fn is_live(&self, now: Instant) -> bool {
        let interval = Duration::from_millis(self.heartbeat.interval_ms);
        now.saturating_since(self.last_heard) < interval * DEAD_AFTER_QUARTERS / 4
    }

    fn is_routable(&self, now: Instant) -> bool {
        let interval = Duration::from_millis(self.heartbeat.interval_ms);
        let limit = MIN_UNROUTABLE_AFTER.max(interval * UNROUTABLE_AFTER_QUARTERS / 4);
        let serves = self.heartbeat.serving && !self.heartbeat.leaving;
        serves && now.saturating_since(self.last_heard) < limit
    }
}

impl Peers {
    /// Creates an empty set of peers of a node.
    pub fn new(own_node: &str) -> Self {
        Self {
            own_node: own_node.to_owned(),
            contacts: BTreeMap::new(),
            records: BTreeMap::new(),
            next_tick: None,
        }
    }

    /// Adds an address on which another node may listen.
    pub fn add_contact(&mut self, peer: SocketAddr, now: Instant) {
        self.contacts.insert(peer, now);
    }

    /// Records a heartbeat. One of an earlier incarnation, or one that arrives out of order, is
    /// ignored.
    ///
    /// Returns whether the node is new or has restarted.
    pub fn on_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) -> bool {
        if heartbeat.node == self.own_node {
            return false;
        }
        let sequence = (heartbeat.boot, heartbeat.sequence);
        let known = self.records.get(&heartbeat.node);
        let last = known.map(|record| (record.heartbeat.boot, record.heartbeat.sequence));
        if last.is_some_and(|last| sequence <= last) {
            return false;
        }
        let is_new = known.is_none_or(|record| record.heartbeat.boot != heartbeat.boot);
        self.contacts.remove(&heartbeat.peer);
        let record = Record {
            heartbeat,
            last_heard: now,
        };
        self.records.insert(record.heartbeat.node.clone(), record);
        is_new
    }

    /// Removes nodes without recent heartbeats; the next call is expected after `interval`. If it
    /// comes much later, this process was paused, and the pause is not counted as silence of the
    /// peers.
    pub fn tick(&mut self, now: Instant, interval: Duration) {
        let delay = now.saturating_since(self.next_tick.unwrap_or(now));
        self.next_tick = Some(now + interval);
        if delay > PAUSE_THRESHOLD {
            for record in self.records.values_mut() {
                record.last_heard = record.last_heard + delay;
            }
        }
        self.records
            .retain(|_, record| now.saturating_since(record.last_heard) < RECORD_TTL);
        self.contacts
            .retain(|_, since| now.saturating_since(*since) < RECORD_TTL);
    }

    /// Returns the addresses to which heartbeats are sent.
    pub fn targets(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let known = self.records.values().map(|record| record.heartbeat.peer);
        known.chain(self.contacts.keys().copied())
    }

    /// Returns the last heartbeat of a node.
    pub fn heartbeat(&self, node: &str) -> Option<&Heartbeat> {
        self.records.get(node).map(|record| &record.heartbeat)
    }

    /// Returns whether a node is alive.
    pub fn is_live(&self, node: &str, now: Instant) -> bool {
        node == self.own_node || self.records.get(node).is_some_and(|r| r.is_live(now))
    }

    /// Returns the other nodes that are alive.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Heartbeat> {
        let records = self.records.values();
        records
            .filter(move |record| record.is_live(now))
            .map(|record| &record.heartbeat)
    }

    /// Returns the other nodes to which callers may be sent.
    pub fn routable(&self, now: Instant) -> impl Iterator<Item = &Heartbeat> {
        let records = self.records.values();
        records
            .filter(move |record| record.is_routable(now))
            .map(|record| &record.heartbeat)
    }

    /// Returns whether a node can take or keep a leader role.
    pub fn is_eligible(&self, node: &str, now: Instant) -> bool {
        let record = self.records.get(node);
        record.is_some_and(|record| record.is_live(now) && is_eligible(&record.heartbeat))
    }

    /// Returns the number of other eligible nodes that precede `own` as candidates for a leader
    /// role.
    ///
    /// Nodes with at least about twice the CPU share come first: a leader runs the batches of all
    /// models, for which a small share does not suffice, while distance from the store adds a few
    /// milliseconds to each write. Among nodes of similar size those near the store come first, then
    /// those with a larger CPU share. Ties are broken by a hash of the node and the role, so that
    /// roles are spread over the nodes.
    pub fn rank(&self, role: &str, own: &Heartbeat, now: Instant) -> usize {
        let rank_key = |heartbeat: &Heartbeat| {
            let hash = xxh3_64_with_seed(
                heartbeat.node.as_bytes(),
                xxh3_64_with_seed(role.as_bytes(), 0),
            );
            let cpu_class = heartbeat.cpu_millis.max(1).ilog2();
            (cpu_class, heartbeat.near_store, heartbeat.cpu_millis, hash)
        };
        let own_key = rank_key(own);
        let eligible = self.live(now).filter(|heartbeat| is_eligible(heartbeat));
        eligible
            .filter(|heartbeat| rank_key(heartbeat) > own_key)
            .count()
    }
}

fn is_eligible(heartbeat: &Heartbeat) -> bool {
    heartbeat.serving && heartbeat.has_store && !heartbeat.leaving
}
