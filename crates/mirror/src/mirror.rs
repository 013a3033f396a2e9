use dogwoodlb_external::store::Row;
use std::collections::{BTreeMap, BTreeSet};

/// The next request to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextRequest {
    /// Read the whole table.
    Read,
    /// Watch for changes after this version.
    Watch(u64),
}

/// A local copy of a table.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    rows: BTreeMap<String, Row>,
    version: u64,
    is_synced: bool,
}

impl Mirror {
    /// Returns the next request to the store.
    pub fn next_request(&self) -> NextRequest {
        if self.is_synced {
            NextRequest::Watch(self.version)
        } else {
            NextRequest::Read
        }
    }

    /// Returns the table version that the copy has reached; 0 before the first read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the rows in the order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Records that changes may have been missed, so that the whole table must be read again.
    /// Known rows remain available.
    pub fn mark_stale(&mut self) {
        self.is_synced = false;
    }

    /// Drops the value of a row that can't be decoded, so that it is neither kept nor copied to
    /// other nodes. The version of the row stays known.
    pub fn clear_value(&mut self, key: &str) {
        if let Some(row) = self.rows.get_mut(key) {
            row.value = Vec::new();
        }
    }

    /// Replaces the copy by all rows as of a table version, and returns the rows that changed. A
    /// version older than the current one changes nothing.
    pub fn replace(&mut self, rows: Vec<Row>, version: u64) -> Vec<Row> {
        if version < self.version {
            return Vec::new();
        }
        let present: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let missing = self
            .rows
            .values()
            .filter(|known| known.version <= version && !present.contains(known.key.as_str()));
        let mut changed: Vec<Row> = missing
            .map(|known| Row {
                version,
                removed: true,
                value: Vec::new(),
                ..known.clone()
            })
            .collect();
        changed.extend(rows);
        self.is_synced = true;
        self.merge(changed, version)
    }

    /// Applies changes up to a table version, and returns those that were not known yet.
    pub fn apply(&mut self, rows: Vec<Row>, version: u64) -> Vec<Row> {
        self.merge(rows, version)
    }

    fn merge(&mut self, rows: Vec<Row>, version: u64) -> Vec<Row> {
        let mut changed = Vec::new();
        for row in rows {
            let known = self.rows.get(&row.key);
            if known.is_some_and(|known| known.version >= row.version) {
                continue;
            }
            if row.removed {
                if self.rows.remove(&row.key).is_none() {
                    continue;
                }
            } else {
                self.rows.insert(row.key.clone(), row.clone());
            }
            changed.push(row);
        }
        self.version = self.version.max(version);
        changed
    }
}
