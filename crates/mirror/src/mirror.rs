use dogwoodlb_external::store::Row;
use std::collections::{BTreeMap, BTreeSet};

/// What the shell has to ask the store next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Read the whole table.
    Read,
    /// Wait for changes after this version.
    Watch(u64),
}

/// A copy of a table.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    rows: BTreeMap<String, Row>,
    version: u64,
    is_whole: bool,
}

impl Mirror {
    /// Returns what to ask next.
    pub fn next(&self) -> Next {
        if self.is_whole {
            Next::Watch(self.version)
        } else {
            Next::Read
        }
    }

    /// Returns the version up to which the copy is whole, 0 before the first read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the rows, by key.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Notes that changes may have been missed, so that the table has to be read anew.
    pub fn mark_stale(&mut self) {
        self.is_whole = false;
    }

    /// Takes in all rows as of a version and returns the changed ones. A copy that is older
    /// than what is known changes nothing.
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
        self.is_whole = true;
        self.merge(changed, version)
    }

    /// Takes in changes that end at a version and returns those that are news.
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
