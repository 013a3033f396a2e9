use crate::client::{Client, Exchange};
use dogwoodlb_external::service::{Call, Reply};
use dogwoodlb_external::Result;

/// A client of plain services.
///
/// Every call opens a new connection. On a reused connection, a call can fail because the service
/// closes the idle connection at the same time, and it is then unknown whether the call was
/// executed.
#[derive(Debug)]
pub struct ServiceClient {
    client: Client,
}

impl ServiceClient {
    /// Creates a client of plain services.
    pub fn new() -> Self {
        Self {
            client: Client::new(0),
        }
    }
}

impl Default for ServiceClient {
    fn default() -> Self {
        Self::new()
    }
}

impl dogwoodlb_external::Service for ServiceClient {
    fn call(&self, call: &Call<'_>) -> Result<Reply> {
        let mut headers = vec![("x-request-id", call.request_id), ("connection", "close")];
        headers.extend(call.content_type.map(|value| ("content-type", value)));
        let has_body = !call.body.is_empty() || matches!(call.method, "POST" | "PUT" | "PATCH");
        let (status, body, content_type) = self.client.call(&Exchange {
            target: "service",
            address: call.address,
            method: call.method,
            path: call.path,
            headers: &headers,
            body: has_body.then_some(call.body),
            idle_timeout: None,
            timeout: call.timeout,
        })?;
        Ok(Reply {
            status,
            content_type,
            body,
        })
    }
}
