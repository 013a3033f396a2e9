//! A stand-in for the transactional table service.

use crate::fault::{FaultPlan, Faults};
use crate::server::{endpoint_not_found, parse, percent_decode, Backend, StandinServer};
use crate::Result;
use dogwoodlb_external::table::{Outcome, Row, Txn};
use dogwoodlb_http::{Request, Response};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// An in-memory table service.
///
/// `POST /txn` applies a transaction if all its checks hold; `GET /rows` with `key` or `prefix`
/// reads rows. A row's version is the number of the transaction that wrote it last.
pub struct Table {
    server: StandinServer,
    store: Arc<Store>,
}

#[derive(Default)]
struct Store(Mutex<Rows>);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<String, (u64, String)>,
    applied: u64,
    reads: u64,
}

impl Table {
    /// Starts an empty table service.
    ///
    /// # Errors
    ///
    /// [`Category::Io`](crate::Category::Io) if the server can't be started.
    pub fn start(listener: TcpListener) -> Result<Self> {
        let store = Arc::new(Store::default());
        let server = StandinServer::start(listener, store.clone())?;
        Ok(Self { server, store })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Commits a transaction directly, without the network.
    pub fn commit(&self, txn: &Txn) -> Outcome {
        self.store.lock().commit(txn)
    }

    /// Returns a row.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.store.lock().select(|k| k == key).pop()
    }

    /// Returns all rows whose keys start with `prefix`.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.store.lock().select(|key| key.starts_with(prefix))
    }

    /// Returns the number of transactions applied.
    pub fn applied(&self) -> u64 {
        self.store.lock().applied
    }

    /// Returns the number of read requests served.
    pub fn reads(&self) -> u64 {
        self.store.lock().reads
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Rows {
    fn select(&self, wanted: impl Fn(&str) -> bool) -> Vec<Row> {
        let rows = self.rows.iter().filter(|(key, _)| wanted(key));
        let rows = rows.map(|(key, (version, value))| Row {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        });
        rows.collect()
    }

    fn commit(&mut self, txn: &Txn) -> Outcome {
        for check in &txn.checks {
            let found = self.rows.get(&check.key).map_or(0, |(version, _)| *version);
            if found != check.version {
                return Outcome::Conflict {
                    key: check.key.clone(),
                    found,
                };
            }
        }
        self.applied += 1;
        for key in &txn.deletes {
            self.rows.remove(key);
        }
        for put in &txn.puts {
            let row = (self.applied, put.value.clone());
            self.rows.insert(put.key.clone(), row);
        }
        Outcome::Applied {
            version: self.applied,
        }
    }
}

impl Backend for Store {
    fn execute(&self, request: &Request, _plan: &FaultPlan) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/txn") => match parse(request) {
                Ok(txn) => Response::json(200, &self.lock().commit(&txn)),
                Err(response) => response,
            },
            ("GET", "/rows") => {
                let mut rows = self.lock();
                rows.reads += 1;
                let found = match (request.query_param("key"), request.query_param("prefix")) {
                    (Some(key), _) => {
                        let key = percent_decode(key);
                        rows.select(|k| k == key)
                    }
                    (None, prefix) => {
                        let prefix = percent_decode(prefix.unwrap_or_default());
                        rows.select(|key| key.starts_with(&prefix))
                    }
                };
                Response::json(200, &json!({ "rows": found }))
            }
            _ => endpoint_not_found(),
        }
    }
}
