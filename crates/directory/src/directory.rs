use crate::{Entry, Stage};
use dogwoodlb_types::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The time after the store's return in which a live replica registers again.
pub const REREGISTRATION_TIME: Duration = Duration::from_millis(2_200);

/// A gap in the contact with the store after which entries may have lapsed unseen.
const AWAY_AFTER: Duration = Duration::from_millis(1_500);

/// The replicas of all services.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    replicas: BTreeMap<String, Record>,
    /// The last contact with the store.
    contact: Option<Instant>,
    /// Until when a missing entry counts as lapsed rather than gone.
    returning: Option<Instant>,
    /// The number of changes so far.
    revision: u64,
}

#[derive(Clone, Debug)]
struct Record {
    row: u64,
    entry: Entry,
    /// When a lapsed entry counts as gone.
    lapses: Option<Instant>,
}

impl Directory {
    /// Notes a successful exchange with the store.
    pub fn on_contact(&mut self, now: Instant) {
        let gap = self.contact.map(|last| now.saturating_since(last));
        if gap.is_some_and(|gap| gap > AWAY_AFTER) {
            self.returning = Some(now + REREGISTRATION_TIME);
        }
        self.contact = Some(now);
    }

    /// Notes that the store refused to serve, although it answered.
    pub fn on_refusal(&mut self, now: Instant) {
        self.returning = Some(now + REREGISTRATION_TIME);
    }

    /// Takes in an entry, unless a newer one is known; returns whether it changed anything.
    pub fn put(&mut self, id: &str, row: u64, entry: Entry, _now: Instant) -> bool {
        let known = self.replicas.get(id);
        if known.is_some_and(|known| row < known.row) {
            return false;
        }
        let changed = known.is_none_or(|known| known.entry != entry || known.lapses.is_some());
        let record = Record {
            row,
            entry,
            lapses: None,
        };
        self.replicas.insert(id.to_owned(), record);
        self.revision += u64::from(changed);
        changed
    }

    /// Takes in the removal of an entry; returns whether the replica is gone at once.
    pub fn remove(&mut self, id: &str, row: u64, now: Instant) -> bool {
        let returning = self.returning.filter(|until| now < *until);
        let Some(record) = self.replicas.get_mut(id) else {
            return false;
        };
        if row < record.row {
            return false;
        }
        match returning {
            // A replica that announced its leaving does not come back.
            Some(until) if record.entry.stage == Stage::Ready => {
                record.lapses.get_or_insert(until);
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
        for (id, row, entry) in entries {
            self.put(&id, row, entry, now);
        }
        let gone = missing.into_iter();
        gone.filter(|id| self.remove(id, as_of, now)).collect()
    }

    /// Drops the replicas whose entries lapsed and did not come back, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let lapsed: Vec<String> = self
            .replicas
            .iter()
            .filter(|(_, record)| record.lapses.is_some_and(|at| at <= now))
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
