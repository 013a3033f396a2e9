use crate::VersionedMap;
use dogwoodlb_external::store::Row;
use std::collections::BTreeSet;

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
    rows: VersionedMap<Row>,
    is_synced: bool,
}

impl Mirror {
    /// Returns the next request to the store.
    pub fn next_request(&self) -> NextRequest {
        if self.is_synced {
            NextRequest::Watch(self.version())
        } else {
            NextRequest::Read
        }
    }

    /// Returns the table version that the copy has reached; 0 before the first read.
    pub fn version(&self) -> u64 {
        self.rows.complete_to()
    }

    /// Returns the rows in the order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.iter().map(|(_, known)| &known.value)
    }

    /// Returns whether the copy has a row.
    pub fn contains(&self, key: &str) -> bool {
        self.rows.get(key).is_some()
    }

    /// Records that changes may have been missed, so that the whole table must be read again.
    /// Known rows remain available.
    pub fn mark_stale(&mut self) {
        self.is_synced = false;
    }

    /// Drops the value of a row that can't be decoded, so that it is neither kept nor copied to
    /// other nodes. The version of the row stays known.
    pub fn clear_value(&mut self, key: &str) {
        if let Some(row) = self.rows.value_mut(key) {
            row.value = Vec::new();
        }
    }

    /// Replaces the copy by all rows as of a table version, and returns the rows that changed. A
    /// version older than the current one changes nothing.
    ///
    /// A read of several pages counts as one as of its first page. The watch from there on repeats
    /// what changed between the pages.
    pub fn replace(&mut self, rows: Vec<Row>, version: u64) -> Vec<Row> {
        if version < self.version() {
            return Vec::new();
        }
        let present: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let absent = self
            .rows
            .remove_absent(version, |key| present.contains(key));
        let removal = |key| Row {
            key,
            version,
            removed: true,
            ..Row::default()
        };
        let mut changed: Vec<Row> = absent.into_iter().map(removal).collect();
        self.is_synced = true;
        changed.extend(self.merge(rows, version));
        changed
    }

    /// Applies the changes of the feed up to a table version, and returns those that were not known
    /// yet. A response that shows an older table than the copy changes nothing: the copy has come
    /// from another source meanwhile.
    pub fn apply(&mut self, rows: Vec<Row>, version: u64) -> Vec<Row> {
        // The feed is in order, so the response is at least as recent as its rows.
        let version = rows.iter().map(|row| row.version).fold(version, u64::max);
        if version < self.version() {
            return Vec::new();
        }
        self.merge(rows, version)
    }

    fn merge(&mut self, rows: Vec<Row>, version: u64) -> Vec<Row> {
        let mut changed = Vec::new();
        for row in rows {
            let is_new = if row.removed {
                self.rows.remove(&row.key, row.version)
            } else {
                self.rows.put(&row.key, row.version, row.clone(), version)
            };
            if is_new {
                changed.push(row);
            }
        }
        self.rows.advance(version);
        changed
    }
}
