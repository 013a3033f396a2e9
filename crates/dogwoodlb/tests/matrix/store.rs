//! The store: a table with the real semantics of transactions, objects, outages and requests
//! that take effect late.

use crate::table::Table;
use dogwoodlb_external::table::{Outcome, Row, Txn};
use dogwoodlb_external::{Category, Cause, Error, Result};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Default)]
pub(crate) struct Store {
    pub(crate) table: Table,
    pub(crate) objects: BTreeMap<String, Vec<u8>>,
    pub(crate) down_until: u64,
    late: Vec<(u64, Txn)>,
}

pub(crate) fn failure(category: Category) -> Error {
    let cause = Cause::Timeout(Duration::from_secs(1));
    Error::new(category, "stand-in", cause)
}

impl Store {
    /// Carries out the late transactions that are due.
    pub(crate) fn advance(&mut self, now: u64) {
        if now < self.down_until {
            return;
        }
        let late = std::mem::take(&mut self.late);
        let (due, rest): (Vec<_>, _) = late.into_iter().partition(|(at, _)| *at <= now);
        self.late = rest;
        for (_, txn) in due {
            self.table.commit(&txn);
        }
    }

    pub(crate) fn delay(&mut self, at: u64, txn: &Txn) {
        self.late.push((at, txn.clone()));
    }

    pub(crate) fn check(&self, now: u64) -> Result<()> {
        match now < self.down_until {
            true => Err(failure(Category::NotSent)),
            false => Ok(()),
        }
    }

    pub(crate) fn commit(&mut self, now: u64, txn: &Txn) -> Result<Outcome> {
        self.check(now)?;
        Ok(self.table.commit(txn))
    }

    pub(crate) fn scan(&self, now: u64, prefix: &str) -> Result<Vec<Row>> {
        self.check(now)?;
        Ok(self.table.scan(prefix))
    }

    pub(crate) fn read(&self, now: u64, key: &str) -> Result<Option<Row>> {
        let rows = self.scan(now, key)?;
        Ok(rows.into_iter().find(|row| row.key == key))
    }

    /// Stores an object; names are written once.
    pub(crate) fn put(&mut self, now: u64, name: &str, body: &[u8]) -> Result<()> {
        self.check(now)?;
        let old = self.objects.insert(name.to_owned(), body.to_vec());
        assert!(old.is_none_or(|old| old == body), "object overwritten");
        Ok(())
    }
}
