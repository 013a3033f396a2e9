//! A simulated table and the requests to it.

use dogwoodlb_external::table::{Outcome, Row, Txn};
use dogwoodlb_external::Category;
use dogwoodlb_manifest::record::Record;
use dogwoodlb_manifest::{from_str, Manifest};
use dogwoodlb_types::Instant;
use std::collections::BTreeMap;

/// The origin of a request: the adoption of a node, or a commit by its index.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Requester {
    Pointer,
    Text,
    Commit(usize),
}

#[derive(Clone, Debug)]
pub(crate) enum Request {
    Read(String),
    Write(Txn),
}

#[derive(Clone, Debug)]
pub(crate) enum Reply {
    Read(String, Result<Option<Row>, Category>),
    Write(Result<Outcome, Category>),
}

/// A request in flight to the table.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) node: usize,
    pub(crate) incarnation: u64,
    pub(crate) requester: Requester,
    pub(crate) sent_at: Instant,
    pub(crate) request: Request,
    /// Whether the client receives the response before it times out.
    pub(crate) is_answered: bool,
}

#[derive(Default)]
pub(crate) struct Store {
    pub(crate) rows: BTreeMap<String, Row>,
    version: u64,
    /// The time of the write and the contents of each revision.
    pub(crate) history: Vec<(u64, Manifest)>,
    pub(crate) closed: usize,
}

impl Request {
    pub(crate) fn failed(&self, category: Category) -> Reply {
        match self {
            Self::Read(key) => Reply::Read(key.clone(), Err(category)),
            Self::Write(_) => Reply::Write(Err(category)),
        }
    }
}

impl Store {
    pub(crate) fn on_request(&mut self, request: &Request, now: u64) -> Reply {
        match request {
            Request::Read(key) => Reply::Read(key.clone(), Ok(self.rows.get(key).cloned())),
            Request::Write(txn) => Reply::Write(Ok(self.apply(txn, now))),
        }
    }

    fn apply(&mut self, txn: &Txn, now: u64) -> Outcome {
        for check in &txn.checks {
            let found = self.rows.get(&check.key).map_or(0, |row| row.version);
            if found != check.version {
                let key = check.key.clone();
                return Outcome::Conflict { key, found };
            }
        }
        self.version += 1;
        let version = self.version;
        for put in txn.puts.clone() {
            let (key, value) = (put.key, put.value);
            let row = Row {
                key: key.clone(),
                version,
                value,
            };
            self.rows.insert(key, row);
        }
        if let [record, _] = &txn.puts[..] {
            let record = Record::from_row(&self.rows[&record.key]).unwrap();
            assert_eq!(record.revision.0 as usize, self.history.len() + 1);
            let manifest = from_str(&record.text).unwrap();
            self.history.push((now, manifest));
        } else {
            self.closed += 1;
        }
        Outcome::Applied { version }
    }
}
