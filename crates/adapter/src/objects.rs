use crate::client::{percent_encode, Client, Exchange};
use dogwoodlb_external::Result;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum number of idle connections to the object store.
const MAX_IDLE_PER_HOST: usize = 8;

/// A client of the object store.
#[derive(Debug)]
pub struct ObjectStoreClient {
    address: SocketAddr,
    client: Client,
}

impl ObjectStoreClient {
    /// Creates a client of the object store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::new(MAX_IDLE_PER_HOST),
        }
    }

    fn exchange<'a>(
        &self,
        method: &'a str,
        path: &'a str,
        body: Option<&'a [u8]>,
        timeout: Duration,
    ) -> Exchange<'a> {
        Exchange {
            target: "objects",
            address: self.address,
            method,
            path,
            headers: &[("content-type", "application/octet-stream")],
            body,
            idle_timeout: None,
            timeout,
        }
    }
}

impl dogwoodlb_external::ObjectStore for ObjectStoreClient {
    fn put(&self, name: &str, body: &[u8], timeout: Duration) -> Result<()> {
        let path = format!("/objects/{}", percent_encode(name));
        let exchange = self.exchange("PUT", &path, Some(body), timeout);
        match self.client.call(&exchange)? {
            (200 | 201 | 204, ..) => Ok(()),
            (status, ..) => Err(exchange.status_error(status)),
        }
    }

    fn get(&self, name: &str, timeout: Duration) -> Result<Option<Vec<u8>>> {
        let path = format!("/objects/{}", percent_encode(name));
        let exchange = self.exchange("GET", &path, None, timeout);
        match self.client.call(&exchange)? {
            (200, body, _) => Ok(Some(body)),
            (404, ..) => Ok(None),
            (status, ..) => Err(exchange.status_error(status)),
        }
    }
}
