use crate::connection::Outgoing;
use crate::{Client, Error, Origin, Response, Result};
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::Request;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// A [`Client`] that sends a request only if a check permits it.
///
/// The check runs once a connection is ready, immediately before the request is written. A caller
/// that checked earlier could have waited for the connection since.
pub struct CheckedClient<'a> {
    pub(crate) client: &'a Client,
    pub(crate) check: &'a dyn Fn() -> bool,
    pub(crate) needs_new_connection: bool,
}

impl CheckedClient<'_> {
    /// Sends each request on a connection of its own, whose first response is certainly the one to
    /// the request.
    #[must_use]
    pub fn on_new_connection(mut self) -> Self {
        self.needs_new_connection = true;
        self
    }

    /// Sends a request with a buffered body and returns the response once its head has arrived.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], and [`Error::Revoked`].
    pub async fn send(&self, address: SocketAddr, request: Request<Bytes>) -> Result<Response> {
        self.send_outgoing(address, request.map(|body| Either::Left(Full::new(body))))
            .await
    }

    /// Sends a request whose body is streamed as it arrives.
    ///
    /// # Errors
    ///
    /// As [`send`](Self::send).
    pub async fn send_streaming(
        &self,
        address: SocketAddr,
        request: Request<Incoming>,
    ) -> Result<Response> {
        self.send_outgoing(address, request.map(Either::Right))
            .await
    }

    async fn send_outgoing(
        &self,
        address: SocketAddr,
        request: Request<Outgoing>,
    ) -> Result<Response> {
        let client = self.client;
        client
            .send_request(address, request, self.check, self.needs_new_connection)
            .await
    }

    /// Sends a request and reads the complete response. After a time-out, the idle connections to
    /// the server are closed, because one that is silent is seldom the only one.
    ///
    /// # Errors
    ///
    /// As [`Client::call`], and [`Error::Revoked`].
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        time_limit: Duration,
        max_body_bytes: usize,
    ) -> Result<hyper::Response<Bytes>> {
        let exchange = async {
            let response = self.send(address, request).await?;
            if response.origin == Origin::Foreign {
                let reason = "the response names another request";
                return Err(Error::Malformed { address, reason });
            }
            let body = response.body.collect(max_body_bytes).await?;
            Ok(hyper::Response::from_parts(response.head, body))
        };
        let outcome = timeout(time_limit, exchange).await;
        outcome.unwrap_or_else(|_| {
            self.client.close_idle(address);
            Err(Error::Timeout {
                address,
                time_limit,
            })
        })
    }
}
