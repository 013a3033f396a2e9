use crate::client::{Client, Exchange};
use dogwoodlb_external::vms::Vm;
use dogwoodlb_external::{Category, Result};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// A client of the platform's list of VMs.
#[derive(Debug)]
pub struct VmListClient {
    address: SocketAddr,
    client: Client,
}

#[derive(Deserialize)]
struct ListResponse {
    vms: Vec<Vm>,
}

impl VmListClient {
    /// Creates a client of the list of VMs at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::new(1),
        }
    }
}

impl dogwoodlb_external::VmList for VmListClient {
    fn list(&self, timeout: Duration) -> Result<Vec<Vm>> {
        let exchange = Exchange {
            target: "vms",
            address: self.address,
            method: "GET",
            path: "/vms",
            headers: &[],
            body: None,
            idle_timeout: None,
            timeout,
        };
        let response: ListResponse = self
            .client
            .call_json(&exchange, Category::InvalidResponse)?;
        Ok(response.vms)
    }
}
