use crate::cache::Cache;
use crate::health::{Health, FULL_WEIGHT};
use crate::{Locality, Replica};
use dogwoodlb_types::{Class, Instant};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The age at which a load report counts nothing. Reports lag by up to a second or two, and
/// an idle replica is polled again long before this.
pub(crate) const REPORT_LIFE: Duration = Duration::from_secs(5);

/// The share of the slots that a class leaves free for higher ones, in thousandths.
const RESERVE: [u64; 3] = [0, 100, 200];

/// The estimated load at which customers are kept from a replica, as a multiple of its slots.
/// A late report shows replicas as full that have emptied since, and all nodes would send to
/// the others.
const OVERBOOKING: u64 = 2;

/// One request in the units of load estimates, so that decayed reports keep their fractions.
pub(crate) const ONE: u64 = 1_000;

/// The load that a replica reports, counted over all nodes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// The number of the report; a replica numbers its reports one by one.
    pub sequence: u64,
    /// The requests being served.
    pub running: u32,
    /// The requests that wait.
    pub waiting: u32,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Report {
    pub(crate) sequence: u64,
    pub(crate) at: Instant,
    /// The requests of other nodes: those reported less those that this node had sent.
    others: u32,
}

/// A replica that the node uses, or has used and still waits for.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) replica: Replica,
    pub(crate) locality: Locality,
    pub(crate) hash: u64,
    pub(crate) in_subset: bool,
    pub(crate) in_flight: u32,
    pub(crate) started: u32,
    pub(crate) limit: u32,
    pub(crate) report: Option<Report>,
    pub(crate) cache: Cache,
    pub(crate) health: Health,
}

impl Member {
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
            cache: Cache::default(),
            health: Health::default(),
        }
    }

    pub(crate) fn set_report(&mut self, load: &LoadReport, now: Instant) {
        let reported = load.running.saturating_add(load.waiting);
        self.report = Some(Report {
            sequence: load.sequence,
            at: now,
            others: reported.saturating_sub(self.started),
        });
    }

    /// Returns the estimated load in thousandths of a request.
    pub(crate) fn load(&self, now: Instant) -> u64 {
        let others = self.report.map_or(0, |report| {
            let life = REPORT_LIFE.as_millis() as u64;
            let age = now.saturating_since(report.at).as_millis() as u64;
            u64::from(report.others) * ONE * life.saturating_sub(age) / life
        });
        u64::from(self.in_flight) * ONE + others
    }

    /// Returns the slots that the replica's health allows, in thousandths, at least one slot.
    pub(crate) fn capacity(&self, now: Instant) -> u64 {
        let slots = u64::from(self.replica.slots);
        let weighted = slots * ONE * self.health.weight(now) / FULL_WEIGHT;
        weighted.max(ONE).min(slots * ONE)
    }

    /// Tells whether a request of a class finds a free slot.
    pub(crate) fn has_room(&self, class: Class, now: Instant) -> bool {
        let slots = self.capacity(now) / ONE;
        let open = open_slots(slots, class);
        let most = match class {
            Class::Customer => open * OVERBOOKING,
            Class::Trainer | Class::Background => open,
        };
        u64::from(self.in_flight) < open
            && self.load(now) + ONE <= most * ONE
            && u64::from(self.in_flight) < open_slots(u64::from(self.limit), class)
    }

    /// Returns how full the replica would be with one more request.
    pub(crate) fn fullness(&self, now: Instant) -> u128 {
        let load = u128::from(self.load(now) + ONE) * u128::from(u64::MAX);
        load / u128::from(self.capacity(now).max(1))
    }
}

/// Returns the slots that a class may use; one slot is always open to every class, because a
/// replica with a single slot would otherwise never serve a trainer.
fn open_slots(slots: u64, class: Class) -> u64 {
    let reserve = (slots * RESERVE[class.rank()]).div_ceil(1_000);
    slots - reserve.min(slots.saturating_sub(1))
}
