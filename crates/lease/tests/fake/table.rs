//! An in-memory table that applies transactions immediately.

use dogwoodlb_external::table::{Outcome, Row, Txn};
use std::collections::BTreeMap;

#[derive(Default)]
pub(crate) struct Table {
    rows: BTreeMap<String, (u64, String)>,
    last: u64,
}

impl Table {
    pub(crate) fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |(version, _)| *version)
    }

    pub(crate) fn scan(&self, prefix: &str) -> Vec<Row> {
        self.rows
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, (version, value))| Row {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect()
    }

    pub(crate) fn commit(&mut self, txn: &Txn) -> Outcome {
        for check in &txn.checks {
            let found = self.version(&check.key);
            if found != check.version {
                return Outcome::Conflict {
                    key: check.key.clone(),
                    found,
                };
            }
        }
        self.last += 1;
        for put in &txn.puts {
            let row = (self.last, put.value.clone());
            self.rows.insert(put.key.clone(), row);
        }
        for key in &txn.deletes {
            self.rows.remove(key);
        }
        Outcome::Applied { version: self.last }
    }
}
