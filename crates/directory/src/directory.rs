use crate::departures::Departures;
use crate::{Entry, Stage};
use dogwoodlb_types::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The time after a recovery of the store within which a live replica registers again.
pub const REREGISTRATION_TIME: Duration = Duration::from_millis(2_200);

/// The time without contact to the store after which entries may have expired unnoticed.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_500);

/// The replicas of all services.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    replicas: BTreeMap<String, Record>,
    departures: Departures,
    /// The time of the last contact with the store.
    last_contact: Option<Instant>,
    /// The time until which the replica of a removed entry may register again.
    grace_until: Option<Instant>,
    /// The number of changes so far.
    revision: u64,
}

#[derive(Clone, Debug)]
struct Record {
    row_version: u64,
    entry: Entry,
    /// When the replica is removed, if its entry expired during an outage of the store.
    expires_at: Option<Instant>,
}

impl Directory {
    /// Records a successful request to the store.
    pub fn on_contact(&mut self, now: Instant) {
        let gap = self.last_contact.map(|last| now.saturating_since(last));
        if gap.is_some_and(|gap| gap > OUTAGE_THRESHOLD) {
            self.grace_until = Some(now + REREGISTRATION_TIME);
        }
        self.last_contact = Some(now);
    }

    /// Records a failed request to the store. Replicas may have been unable to renew their entries.
    pub fn on_failure(&mut self, now: Instant) {
        self.grace_until = Some(now + REREGISTRATION_TIME);
    }

    /// Inserts or updates an entry, unless a newer version or a later removal of a kept replica is
    /// known. Other removals are not remembered: the caller follows a copy of the table that never
    /// goes back. Returns whether the directory changed.
    pub fn put(&mut self, id: &str, row_version: u64, entry: Entry, _now: Instant) -> bool {
        let known = self.replicas.get(id);
        if known.is_some_and(|known| row_version < known.row_version) {
            return false;
        }
        let changed = known.is_none_or(|known| known.entry != entry || known.expires_at.is_some());
        self.departures.on_entry(id, entry.born_ms);
        let record = Record {
            row_version,
            entry,
            expires_at: None,
        };
        self.replicas.insert(id.to_owned(), record);
        self.revision += u64::from(changed);
        changed
    }

    /// Records the removal of an entry. Returns whether the replica was removed immediately; after
    /// an outage of the store it is kept until it has had time to register again.
    pub fn remove(&mut self, id: &str, row_version: u64, now: Instant) -> bool {
        let grace_until = self.grace_until.filter(|until| now < *until);
        let Some(record) = self.replicas.get_mut(id) else {
            return false;
        };
        if row_version < record.row_version {
            return false;
        }
        match grace_until {
            // A draining replica does not register again.
            Some(until) if record.entry.stage == Stage::Ready => {
                record.row_version = row_version;
                record.expires_at.get_or_insert(until);
                false
            }
            _ => {
                self.revision += 1;
                self.replicas.remove(id).is_some()
            }
        }
    }

    /// Removes a replica whose entry was replaced by one that names no replica. Unlike an expired
    /// entry, it is not kept after an outage of the store. Returns whether it was removed.
    pub fn invalidate(&mut self, id: &str, row_version: u64) -> bool {
        let known = self.replicas.get(id);
        if known.is_none_or(|known| row_version < known.row_version) {
            return false;
        }
        self.revision += 1;
        self.replicas.remove(id).is_some()
    }

    /// Replaces the contents by a full read as of row version `as_of`. Returns the replicas that
    /// were removed.
    pub fn replace(
        &mut self,
        entries: Vec<(String, u64, Entry)>,
        as_of: u64,
        now: Instant,
    ) -> Vec<String> {
        let present: BTreeSet<&str> = entries.iter().map(|(id, _, _)| id.as_str()).collect();
        let known = self.replicas.keys();
        let missing: Vec<String> = known
            .filter(|id| !present.contains(id.as_str()))
            .cloned()
            .collect();
        for (id, row_version, entry) in entries {
            self.put(&id, row_version, entry, now);
        }
        let missing = missing.into_iter();
        missing.filter(|id| self.remove(id, as_of, now)).collect()
    }

    /// Removes the replicas that did not register again in time, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let expired: Vec<String> = self
            .replicas
            .iter()
            .filter(|(_, record)| record.expires_at.is_some_and(|at| at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.replicas.remove(id);
            self.revision += 1;
        }
        let replicas = &self.replicas;
        self.departures.expire(now, |id, born_ms| {
            let record = replicas.get(id);
            record.is_some_and(|record| record.entry.born_ms == born_ms)
        });
        expired
    }

    /// Records that an incarnation of a replica has said itself that it is leaving. No later entry
    /// of this incarnation makes it ready again, and another incarnation is not affected. Returns
    /// whether this was unknown.
    pub fn mark_leaving(&mut self, id: &str, born_ms: i64, now: Instant) -> bool {
        let is_present = self.get(id).is_some_and(|entry| entry.born_ms == born_ms);
        let absent_since = (!is_present).then_some(now);
        let is_new = self.departures.insert(id, born_ms, absent_since);
        self.revision += u64::from(is_new);
        is_new
    }

    /// Returns whether an incarnation of a replica accepts new work: its entry says so, and the
    /// replica has not said otherwise.
    pub fn accepts_work(&self, id: &str, born_ms: i64) -> bool {
        let entry = self.get(id).filter(|entry| entry.born_ms == born_ms);
        entry.is_some_and(|entry| self.is_ready(id, entry))
    }

    /// Returns whether an incarnation of a replica is known to have said that it is leaving.
    pub fn has_announced_departure(&self, id: &str, born_ms: i64) -> bool {
        self.departures.contains(id, born_ms)
    }

    fn is_ready(&self, id: &str, entry: &Entry) -> bool {
        entry.stage == Stage::Ready && !self.has_announced_departure(id, entry.born_ms)
    }

    /// Returns a number that increases with each change of the replicas.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the entry of a replica.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.replicas.get(id).map(|record| &record.entry)
    }

    /// Returns all replicas of a service, including draining ones.
    pub fn replicas<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (&'a str, &'a Entry)> {
        let replicas = self.replicas.iter();
        replicas
            .filter(move |(_, record)| record.entry.service == service)
            .map(|(id, record)| (id.as_str(), &record.entry))
    }

    /// Returns the replicas of a service that accept new work.
    pub fn ready_replicas<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Entry)> {
        let replicas = self.replicas(service);
        replicas.filter(|(id, entry)| self.is_ready(id, entry))
    }
}
