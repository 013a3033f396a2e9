//! Guards against a copy that reverts to an older table in any order of reads, watches, copies from
//! other nodes and the node's own writes, each of which can be held up and arrive late.
//!
//! Each test follows all states that a copy can reach, for all short histories of a table.

use dogwoodlb_external::store::Row;
use dogwoodlb_mirror::{Mirror, NextRequest, VersionedMap};
use std::collections::{BTreeMap, BTreeSet};

const KEYS: [&str; 2] = ["a", "b"];
/// The number of transactions in a history.
const LENGTH: u32 = 5;

/// A transaction that writes or removes one row. Its version is its position, counted from 1.
#[derive(Clone, Copy, Debug)]
struct Write {
    key: &'static str,
    removes: bool,
}

type Rows = BTreeMap<&'static str, u64>;

/// A table over time. Version `v` is the table after the first `v` transactions.
#[derive(Clone, Debug)]
struct History(Vec<Write>);

impl History {
    fn all() -> impl Iterator<Item = Self> {
        let choices: Vec<Write> = KEYS
            .into_iter()
            .flat_map(|key| [false, true].map(|removes| Write { key, removes }))
            .collect();
        let base = choices.len();
        (0..base.pow(LENGTH)).map(move |number| {
            let digit = |place| choices[number / base.pow(place) % base];
            Self((0..LENGTH).map(digit).collect())
        })
    }

    fn newest(&self) -> u64 {
        self.0.len() as u64
    }

    fn versions(&self) -> std::ops::RangeInclusive<u64> {
        0..=self.newest()
    }

    /// Returns the version of each row at a version of the table.
    fn at(&self, as_of: u64) -> Rows {
        let mut rows = Rows::new();
        for (version, write) in (1..=as_of).zip(&self.0) {
            if write.removes {
                rows.remove(write.key);
            } else {
                rows.insert(write.key, version);
            }
        }
        rows
    }

    /// Returns the response to a read of the table.
    fn read(&self, as_of: u64) -> Vec<Row> {
        let rows = self.at(as_of).into_iter();
        rows.map(|(key, version)| row(key, version, false))
            .collect()
    }

    /// Returns the response to a watch: the last change of each row since a version, in order.
    fn changes(&self, after: u64, as_of: u64) -> Vec<Row> {
        let mut last = BTreeMap::new();
        for (version, write) in (1..=as_of).zip(&self.0) {
            if version > after {
                last.insert(write.key, row(write.key, version, write.removes));
            }
        }
        let mut changes: Vec<Row> = last.into_values().collect();
        changes.sort_by_key(|row| row.version);
        changes
    }
}

fn row(key: &str, version: u64, removed: bool) -> Row {
    Row {
        key: key.into(),
        version,
        removed,
        ..Row::default()
    }
}

/// A copy of a table and what is derived from its changes.
#[derive(Clone, Debug, Default)]
struct CopiedTable {
    mirror: Mirror,
    derived: BTreeMap<String, u64>,
}

impl CopiedTable {
    fn follow(mut self, changed: Vec<Row>) -> Self {
        for row in changed {
            if row.removed {
                self.derived.remove(&row.key);
            } else {
                self.derived.insert(row.key, row.version);
            }
        }
        self
    }

    /// Returns the copies after each report that can arrive next. A read, also that of another node,
    /// may be as old as the table; a watch was asked for at a version that the copy had.
    fn successors(&self, history: &History) -> Vec<Self> {
        let mut successors = Vec::new();
        for as_of in history.versions() {
            let mut next = self.clone();
            let changed = next.mirror.replace(history.read(as_of), as_of);
            successors.push(next.follow(changed));
            for after in 0..=as_of.min(self.mirror.version()) {
                let mut next = self.clone();
                let changed = next.mirror.apply(history.changes(after, as_of), as_of);
                successors.push(next.follow(changed));
            }
        }
        let mut stale = self.clone();
        stale.mirror.mark_stale();
        successors.push(stale);
        successors
    }

    fn check(&self, history: &History) {
        let rows = self
            .mirror
            .rows()
            .map(|row| (row.key.as_str(), row.version));
        let rows: BTreeMap<&str, u64> = rows.collect();
        let version = self.mirror.version();
        assert_eq!(rows, history.at(version), "{history:?} at {version}");
        let derived = self
            .derived
            .iter()
            .map(|(key, version)| (key.as_str(), *version));
        let derived: BTreeMap<&str, u64> = derived.collect();
        assert_eq!(derived, rows, "{history:?} at {version}");
    }
}

/// The copy is always the table as it was at the copy's version, and this never decreases.
#[test]
fn mirror_in_all_orders() {
    for history in History::all() {
        let mut seen = BTreeSet::new();
        let mut open = vec![CopiedTable::default()];
        while let Some(copy) = open.pop() {
            if !seen.insert(format!("{copy:?}")) {
                continue;
            }
            for next in copy.successors(&history) {
                next.check(&history);
                assert!(
                    next.mirror.version() >= copy.mirror.version(),
                    "{history:?}"
                );
                open.push(next);
            }
        }
    }
}

/// The copy reaches the newest table by its own requests, whatever came before.
#[test]
fn mirror_catches_up() {
    for history in History::all() {
        let newest = history.newest();
        for copy in CopiedTable::default().successors(&history) {
            for mut next in copy.successors(&history) {
                while next.mirror.version() < newest
                    || next.mirror.next_request() == NextRequest::Read
                {
                    let changed = match next.mirror.next_request() {
                        NextRequest::Read => next.mirror.replace(history.read(newest), newest),
                        NextRequest::Watch(after) => {
                            let changes = history.changes(after, newest);
                            next.mirror.apply(changes, newest)
                        }
                    };
                    next = next.follow(changed);
                }
                next.check(&history);
            }
        }
    }
}

/// Values with, for each name, the newest version of the table at which its state is known.
#[derive(Clone, Debug, Default)]
struct Values {
    map: VersionedMap<u64>,
    known_at: BTreeMap<&'static str, u64>,
}

impl Values {
    fn learn(&mut self, key: &'static str, as_of: u64) {
        let known_at = self.known_at.entry(key).or_default();
        *known_at = as_of.max(*known_at);
    }

    fn learn_all(&mut self, as_of: u64) {
        self.map.advance(as_of);
        for key in KEYS {
            self.learn(key, as_of);
        }
    }

    /// Returns the values after each report that can arrive next: changes or a full read of the
    /// copied table, which never go back; a read of one row, an own write or an own removal, which
    /// may be late.
    fn successors(&self, history: &History) -> Vec<Self> {
        let mut successors = Vec::new();
        let reached = self.map.complete_to();
        for as_of in reached..=history.newest() {
            let mut next = self.clone();
            for row in history.changes(reached, as_of) {
                if row.removed {
                    next.map.remove(&row.key, row.version);
                } else {
                    next.map.put(&row.key, row.version, row.version, as_of);
                }
            }
            next.learn_all(as_of);
            successors.push(next);
            let mut next = self.clone();
            let rows = history.at(as_of);
            for (key, version) in &rows {
                next.map.put(key, *version, *version, as_of);
            }
            next.map.remove_absent(as_of, |key| rows.contains_key(key));
            next.learn_all(as_of);
            successors.push(next);
        }
        for as_of in history.versions() {
            for (key, version) in history.at(as_of) {
                let mut next = self.clone();
                next.map.put(key, version, version, as_of);
                next.learn(key, as_of);
                successors.push(next);
            }
        }
        for (version, write) in (1..).zip(&history.0) {
            if write.removes {
                let mut next = self.clone();
                next.map.remove(write.key, version);
                next.learn(write.key, version);
                successors.push(next);
            }
        }
        successors
    }

    fn check(&self, history: &History) {
        for (key, known_at) in &self.known_at {
            let value = self.map.get(key).map(|known| known.value);
            let expected = history.at(*known_at).get(key).copied();
            assert_eq!(value, expected, "{key} at {known_at} of {history:?}");
        }
    }
}

/// The state of each row is the newest that any report has shown.
#[test]
fn values_in_all_orders() {
    for history in History::all() {
        let mut seen = BTreeSet::new();
        let mut open = vec![Values::default()];
        while let Some(values) = open.pop() {
            if !seen.insert(format!("{values:?}")) {
                continue;
            }
            for next in values.successors(&history) {
                next.check(&history);
                open.push(next);
            }
        }
    }
}
