use crate::client::{percent_encode, to_json, Client, Exchange};
use dogwoodlb_external::table::{Outcome, Row, Txn};
use dogwoodlb_external::{Category, Result};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum number of idle connections to the table service.
const MAX_IDLE_PER_HOST: usize = 8;

/// A client of the table service.
///
/// A write whose response is missing or malformed fails as
/// [`Ambiguous`](dogwoodlb_external::Category::Ambiguous).
#[derive(Debug)]
pub struct TableClient {
    address: SocketAddr,
    client: Client,
}

#[derive(Deserialize)]
struct RowsResponse {
    rows: Vec<Row>,
}

impl TableClient {
    /// Creates a client of the table service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::new(MAX_IDLE_PER_HOST),
        }
    }

    fn get_rows(&self, path: &str, timeout: Duration) -> Result<Vec<Row>> {
        let exchange = Exchange {
            target: "table",
            address: self.address,
            method: "GET",
            path,
            headers: &[],
            body: None,
            idle_timeout: None,
            timeout,
        };
        let response: RowsResponse = self
            .client
            .call_json(&exchange, Category::InvalidResponse)?;
        Ok(response.rows)
    }
}

impl dogwoodlb_external::Table for TableClient {
    fn read(&self, key: &str, timeout: Duration) -> Result<Option<Row>> {
        let rows = self.get_rows(&format!("/rows?key={}", percent_encode(key)), timeout)?;
        Ok(rows.into_iter().find(|row| row.key == key))
    }

    fn scan(&self, prefix: &str, timeout: Duration) -> Result<Vec<Row>> {
        self.get_rows(&format!("/rows?prefix={}", percent_encode(prefix)), timeout)
    }

    fn commit(&self, txn: &Txn, timeout: Duration) -> Result<Outcome> {
        let exchange = Exchange {
            target: "table",
            address: self.address,
            method: "POST",
            path: "/txn",
            headers: &[("content-type", "application/json")],
            body: Some(&to_json("table", txn)?),
            idle_timeout: None,
            timeout,
        };
        self.client.call_json(&exchange, Category::Ambiguous)
    }
}
