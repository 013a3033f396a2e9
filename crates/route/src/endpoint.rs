use crate::health::{Health, FULL_WEIGHT};
use crate::prefix_cache::PrefixCache;
use crate::{Locality, Replica};
use dogwoodlb_types::{Class, Instant};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Age at which a load report is ignored. Reports are delayed by up to two seconds, and idle
/// replicas are polled well within this time.
pub(crate) const REPORT_TTL: Duration = Duration::from_secs(5);

/// Share of the slots reserved for higher classes, by class, in thousandths. Without it, long
/// samples would occupy every slot and customers would have to wait for one to finish.
const RESERVED_PERMILLE: [u64; 3] = [0, 100, 200];

/// Estimated load up to which customers are still routed to a replica, as a multiple of its
/// slots. A delayed report can show a replica as full after its load has dropped; at a multiple
/// of 1, all nodes would then route to the remaining replicas.
const CUSTOMER_OVERCOMMIT: u64 = 2;

/// Load units per request; the fixed-point scale keeps the fractions of decayed reports.
pub(crate) const UNITS_PER_REQUEST: u64 = 1_000;

/// The load reported by a replica, including the requests of all nodes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// The sequence number; each replica numbers its reports consecutively.
    pub sequence: u64,
    /// The number of requests being processed.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Report {
    pub(crate) sequence: u64,
    pub(crate) received_at: Instant,
    /// Requests of other nodes: the reported count minus those sent by this node.
    other_nodes: u32,
}

/// A replica in the node's subset, or one outside it that still has requests in flight.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) replica: Replica,
    pub(crate) locality: Locality,
    /// The hash of the replica's name, the seed of its affinity scores.
    pub(crate) hash: u64,
    pub(crate) in_subset: bool,
    /// Requests routed by this node that have not ended.
    pub(crate) in_flight: u32,
    /// Those of the requests in flight that were sent; reports are assumed to include them.
    pub(crate) started: u32,
    /// Maximum number of requests in flight from this node.
    pub(crate) limit: u32,
    pub(crate) report: Option<Report>,
    pub(crate) cache: PrefixCache,
    pub(crate) health: Health,
}

impl Endpoint {
    pub(crate) fn new(replica: Replica, locality: Locality) -> Self {
        Self {
            hash: xxh3_64(replica.upstream.as_str().as_bytes()),
            replica,
            locality,
            in_subset: true,
            in_flight: 0,
            started: 0,
            limit: u32::MAX,
            report: None,
            cache: PrefixCache::default(),
            health: Health::default(),
        }
    }

    pub(crate) fn set_report(&mut self, load: &LoadReport, now: Instant) {
        let reported = load.running.saturating_add(load.waiting);
        self.report = Some(Report {
            sequence: load.sequence,
            received_at: now,
            other_nodes: reported.saturating_sub(self.started),
        });
    }

    /// Returns the estimated load, in thousandths of a request.
    pub(crate) fn load(&self, now: Instant) -> u64 {
        let other_nodes = self.report.map_or(0, |report| {
            let ttl = REPORT_TTL.as_millis() as u64;
            let age = now.saturating_since(report.received_at).as_millis() as u64;
            u64::from(report.other_nodes) * UNITS_PER_REQUEST * ttl.saturating_sub(age) / ttl
        });
        u64::from(self.in_flight) * UNITS_PER_REQUEST + other_nodes
    }

    /// Returns the slots available at the replica's current weight, at least one, in thousandths.
    pub(crate) fn capacity(&self, now: Instant) -> u64 {
        let slots = u64::from(self.replica.slots);
        let weighted = slots * UNITS_PER_REQUEST * self.health.weight(now) / FULL_WEIGHT;
        weighted
            .max(UNITS_PER_REQUEST)
            .min(slots * UNITS_PER_REQUEST)
    }

    /// Returns whether a slot is free for a request of `class`.
    pub(crate) fn has_free_slot(&self, class: Class, now: Instant) -> bool {
        let slots = self.capacity(now) / UNITS_PER_REQUEST;
        let usable = usable_slots(slots, class);
        let max_load = match class {
            Class::Customer => usable * CUSTOMER_OVERCOMMIT,
            Class::Trainer | Class::Background => usable,
        };
        u64::from(self.in_flight) < usable
            && self.load(now) + UNITS_PER_REQUEST <= max_load * UNITS_PER_REQUEST
            && u64::from(self.in_flight) < usable_slots(u64::from(self.limit), class)
    }

    /// Returns the utilization of the replica with one additional request, in units of
    /// 1 / `u64::MAX`.
    pub(crate) fn utilization(&self, now: Instant) -> u128 {
        let load = u128::from(self.load(now) + UNITS_PER_REQUEST) * u128::from(u64::MAX);
        load / u128::from(self.capacity(now).max(1))
    }
}

/// Returns the slots that a class may use. At least one is available to every class; otherwise
/// a replica with a single slot would never serve a trainer.
fn usable_slots(slots: u64, class: Class) -> u64 {
    let reserve = (slots * RESERVED_PERMILLE[class.rank()]).div_ceil(1_000);
    slots - reserve.min(slots.saturating_sub(1))
}
