//! Forwards requests whose bodies are too large to be buffered: the body is passed on as it arrives, so
//! that there is only one attempt.

use super::{Attempt, Forwarder, ProxiedRequest};
use crate::clock;
use crate::reply::{self, Body};
use hyper::body::{Body as _, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::Response;
use tokio::time::timeout;

impl Forwarder {
    /// Forwards a request whose body is too large to be buffered, in a single attempt.
    pub(super) async fn serve_upload(
        &self,
        proxied: &ProxiedRequest<'_>,
        body: Incoming,
        max_body_bytes: usize,
    ) -> Response<Body> {
        let Some(selection) = self.wait_for_replica(proxied, &[]).await else {
            reply::discard_body(proxied.head, body, max_body_bytes).await;
            return self.refuse(proxied, 0);
        };
        let left = proxied.deadline.saturating_since(clock::now());
        let length = body.size_hint().exact();
        let mut request = self.build_request(proxied, &selection, left).map(|()| body);
        if let Some(length) = length {
            request.headers_mut().insert(CONTENT_LENGTH, length.into());
        }
        let exchange = async {
            let may_send = || self.permits_write(proxied, &selection);
            // Only the first response on a connection is certainly not one to an earlier request: while
            // the body is being sent, no second request can follow.
            let client = self.client.checked(&may_send).on_new_connection();
            let sent = client.send_streaming(selection.address, request).await;
            let mut response = match sent {
                Ok(response) => response,
                Err(error) if error.is_unsent() => {
                    proxied.usage.on_not_run(&selection);
                    return Attempt::NotRun;
                }
                Err(_) => return Attempt::Failed(None),
            };
            // The replica may respond before it has read the whole request body, so the
            // connection can't be reused.
            response.body.prevent_reuse();
            self.handle_response(proxied, response, &selection).await
        };
        match timeout(left, exchange).await {
            Ok(Attempt::Responded(response) | Attempt::Failed(Some(response))) => response,
            Ok(Attempt::NotRun | Attempt::Unsent) => self.refuse(proxied, 1),
            Ok(Attempt::Failed(None)) => self.fail(proxied, 1),
            Ok(Attempt::TimedOut) | Err(_) => self.time_out(proxied, 1),
        }
    }
}
