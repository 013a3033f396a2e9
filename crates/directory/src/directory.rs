use crate::{Entry, Stage};
use dogwoodlb_types::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The time after the store's return in which a live replica registers again.
pub const REREGISTRATION_TIME: Duration = Duration::from_millis(2_200);

/// A gap in the contact with the store after which entries may have lapsed unseen.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_500);

/// The replicas of all services.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    replicas: BTreeMap<String, Record>,
    /// The last contact with the store.
    last_contact: Option<Instant>,
    /// Until when a missing entry counts as lapsed rather than gone.
    grace_until: Option<Instant>,
    /// The number of changes so far.
    revision: u64,
}

#[derive(Clone, Debug)]
struct Record {
    row_version: u64,
    entry: Entry,
    /// When a lapsed entry counts as gone.
    expires_at: Option<Instant>,
}

impl Directory {
    /// Notes a successful exchange with the store.
    pub fn on_contact(&mut self, now: Instant) {
        let gap = self.last_contact.map(|last| now.saturating_since(last));
        if gap.is_some_and(|gap| gap > OUTAGE_THRESHOLD) {
            self.grace_until = Some(now + REREGISTRATION_TIME);
        }
        self.last_contact = Some(now);
    }

    /// Notes that the store refused to serve, although it answered.
    pub fn on_refusal(&mut self, now: Instant) {
        self.grace_until = Some(now + REREGISTRATION_TIME);
    }

    /// Takes in an entry, unless a newer one is known; returns whether it changed anything.
    pub fn put(&mut self, id: &str, row_version: u64, entry: Entry, _now: Instant) -> bool {
        let known = self.replicas.get(id);
        if known.is_some_and(|known| row_version < known.row_version) {
            return false;
        }
        let changed = known.is_none_or(|known| known.entry != entry || known.expires_at.is_some());
        let record = Record {
            row_version,
            entry,
            expires_at: None,
        };
        self.replicas.insert(id.to_owned(), record);
        self.revision += u64::from(changed);
        changed
    }

    /// Takes in the removal of an entry; returns whether the replica is gone at once.
    pub fn remove(&mut self, id: &str, row_version: u64, now: Instant) -> bool {
        let grace_until = self.grace_until.filter(|until| now < *until);
        let Some(record) = self.replicas.get_mut(id) else {
            return false;
        };
        if row_version < record.row_version {
            return false;
        }
        match grace_until {
            // A replica that announced its leaving does not come back.
            Some(until) if record.entry.stage == Stage::Ready => {
                record.expires_at.get_or_insert(until);
                false
            }
            _ => {
                self.revision += 1;
                self.replicas.remove(id).is_some()
            }
        }
    }

    /// Takes in all entries of a full read as of row version `as_of`; returns those now missing.
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
        let gone = missing.into_iter();
        gone.filter(|id| self.remove(id, as_of, now)).collect()
    }

    /// Drops the replicas whose entries lapsed and did not come back, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let lapsed: Vec<String> = self
            .replicas
            .iter()
            .filter(|(_, record)| record.expires_at.is_some_and(|at| at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &lapsed {
            self.replicas.remove(id);
            self.revision += 1;
        }
        lapsed
    }

    /// Returns a number that grows whenever a replica comes, changes or goes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns what a replica says of itself.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.replicas.get(id).map(|record| &record.entry)
    }

    /// Returns the replicas of a service, those that leave included.
    pub fn replicas<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (&'a str, &'a Entry)> {
        let replicas = self.replicas.iter();
        replicas
            .filter(move |(_, record)| record.entry.service == service)
            .map(|(id, record)| (id.as_str(), &record.entry))
    }

    /// Returns the replicas of a service that take new work.
    pub fn ready_replicas<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Entry)> {
        self.replicas(service).filter(|(_, entry)| entry.is_ready())
    }
}
