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
    /// Since when the directory is known to have no entry of the incarnation. Set by
    /// [`Departures::expire`], so that time in which the process was paused is not counted.
    absent_since: Option<Instant>,
}

impl Departures {
    /// Records the departure of an incarnation, which may be absent from the directory. Returns
    /// whether it is new.
    pub(crate) fn insert(&mut self, id: &str, born_ms: i64, absent_since: Option<Instant>) -> bool {
        if let Some(known) = self.get_mut(id, born_ms) {
            known.absent_since = absent_since;
            return false;
        }
        let departures = self.by_replica.entry(id.to_owned()).or_default();
        departures.push(Departure {
            born_ms,
            absent_since,
        });
        true
    }

    /// Records that the directory has an entry of an incarnation.
    pub(crate) fn on_entry(&mut self, id: &str, born_ms: i64) {
        if let Some(known) = self.get_mut(id, born_ms) {
            known.absent_since = None;
        }
    }

    fn get_mut(&mut self, id: &str, born_ms: i64) -> Option<&mut Departure> {
        let departures = self.by_replica.get_mut(id)?;
        departures.iter_mut().find(|one| one.born_ms == born_ms)
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
                if !is_present(id, one.born_ms) {
                    one.absent_since.get_or_insert(now);
                }
            }
            departures.retain(|one| {
                let absent_since = one.absent_since.unwrap_or(now);
                now.saturating_since(absent_since) < DEPARTURE_TTL
            });
            !departures.is_empty()
        });
    }
}
