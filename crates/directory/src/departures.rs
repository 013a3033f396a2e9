use dogwoodlb_types::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a departure is kept once the directory has no entry of the incarnation. A replica
/// whose entry expired during an outage registers again well before.
pub const DEPARTURE_TTL: Duration = Duration::from_secs(60);

/// The incarnations of replicas that have said themselves that they are leaving.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departures {
    by_replica: BTreeMap<String, Vec<Departure>>,
}

#[derive(Clone, Debug)]
struct Departure {
    born_ms: i64,
    /// The last time at which the directory had an entry of the incarnation, or else the time of
    /// the announcement.
    last_seen: Instant,
}

impl Departures {
    /// Records the departure of an incarnation. Returns whether it is new.
    pub(crate) fn insert(&mut self, id: &str, born_ms: i64, now: Instant) -> bool {
        if self.contains(id, born_ms) {
            return false;
        }
        let departures = self.by_replica.entry(id.to_owned()).or_default();
        departures.push(Departure {
            born_ms,
            last_seen: now,
        });
        true
    }

    /// Returns whether an incarnation is leaving.
    pub(crate) fn contains(&self, id: &str, born_ms: i64) -> bool {
        let departures = self.by_replica.get(id);
        departures.is_some_and(|all| all.iter().any(|one| one.born_ms == born_ms))
    }

    /// Forgets the incarnations that have had no entry for [`DEPARTURE_TTL`]. `is_present` says
    /// whether one has an entry now.
    pub(crate) fn expire(&mut self, now: Instant, is_present: impl Fn(&str, i64) -> bool) {
        self.by_replica.retain(|id, departures| {
            for one in departures.iter_mut() {
                if is_present(id, one.born_ms) {
                    one.last_seen = now;
                }
            }
            departures.retain(|one| now.saturating_since(one.last_seen) < DEPARTURE_TTL);
            !departures.is_empty()
        });
    }
}
