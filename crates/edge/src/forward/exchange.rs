//! One exchange with a replica: sends the request and classifies the response.

use super::{Attempt, Forwarder, ProxiedRequest, MAX_BUFFERED_BYTES};
use crate::clock;
use crate::correlation::{correlate, SentRequest, Unanswered};
use crate::relay;
use crate::reply;
use crate::routing::Selection;
use dogwoodlb_route::Outcome;
use hyper::http::request::Parts;
use hyper::Version;

impl Forwarder {
    /// Returns whether the request may be written to the selected replica now. If so, it counts as
    /// written.
    pub(super) fn permits_write(
        &self,
        proxied: &ProxiedRequest<'_>,
        selection: &Selection,
    ) -> bool {
        let permits = selection.may_send() && self.admits(proxied);
        if permits {
            proxied.usage.on_write(selection);
        }
        permits
    }

    /// Sends the request to the selected replica, unless it is leaving, and waits for the response.
    pub(super) async fn exchange(
        &self,
        proxied: &ProxiedRequest<'_>,
        selection: &Selection,
    ) -> Attempt {
        let left = proxied.deadline.saturating_since(clock::now());
        let request = self.build_request(proxied, selection, left);
        let request = request.map(|()| proxied.body.clone());
        let may_send = || self.permits_write(proxied, selection);
        let client = self.client.checked(&may_send);
        let response = match client.send(selection.address, request).await {
            Ok(response) => response,
            Err(dogwoodlb_client::Error::Revoked { .. }) => {
                proxied.usage.on_not_run(selection);
                selection.finish(Outcome::Cancelled);
                return Attempt::Unsent;
            }
            Err(error) => {
                selection.finish(Outcome::Failure);
                let replica = &selection.replica;
                tracing::info!(request = proxied.request_id, %replica, %error, "attempt_failed");
                return if error.is_unsent() {
                    proxied.usage.on_not_run(selection);
                    Attempt::NotRun
                } else {
                    Attempt::Failed(None)
                };
            }
        };
        self.handle_response(proxied, response, selection).await
    }

    /// Classifies a response, and reads its body if it is short.
    pub(super) async fn handle_response(
        &self,
        proxied: &ProxiedRequest<'_>,
        response: dogwoodlb_client::Response,
        selection: &Selection,
    ) -> Attempt {
        let headers = self.protocol.headers();
        let request = SentRequest {
            id: &proxied.request_id,
            replica: selection.replica.as_str(),
        };
        let response = match correlate(headers, request, response).await {
            Ok(response) => response,
            Err(Unanswered::NotRun(head)) => {
                proxied.usage.on_head(selection);
                selection.observe(headers, &head);
                proxied.usage.on_not_run(selection);
                let status = head.status.as_u16();
                tracing::debug!(request = proxied.request_id, replica = %selection.replica, status, "not_run");
                selection.refuse();
                return Attempt::NotRun;
            }
            Err(Unanswered::Unknown) => {
                selection.finish(Outcome::Failure);
                return Attempt::Failed(None);
            }
        };
        proxied.usage.on_head(selection);
        selection.observe(headers, &response.head);
        let is_failure = response.head.status.is_server_error();
        // A replica can fail requests while its health check succeeds.
        let outcome = match is_failure {
            true => Outcome::Failure,
            false => Outcome::Success,
        };
        if !is_buffered(proxied.head, &response.body) {
            // A streamed response is final, also with a 5xx status: it is passed on without a retry.
            selection.finish(outcome);
            let monitor = relay::body_monitor(
                headers,
                proxied.route,
                proxied.head,
                proxied.began,
                &response.head,
            );
            return Attempt::Responded(relay::stream_body(response, monitor));
        }
        let (head, body) = (response.head, response.body);
        match body.collect(MAX_BUFFERED_BYTES).await {
            Ok(body) if is_failure => {
                selection.finish(outcome);
                Attempt::Failed(Some(relay::build_response(head, reply::full_body(body))))
            }
            Ok(body) => {
                selection.finish(outcome);
                self.metrics.observe_request(proxied.began);
                Attempt::Responded(relay::build_response(head, reply::full_body(body)))
            }
            Err(error) => {
                tracing::info!(request = proxied.request_id, replica = %selection.replica, %error, "response_incomplete");
                selection.finish(Outcome::Failure);
                Attempt::Failed(None)
            }
        }
    }
}

/// Returns whether a response is read to its end before it is passed on. A caller of HTTP/1.0 knows
/// no chunks, so it would take a body without a length that breaks off for a whole one.
fn is_buffered(request: &Parts, body: &dogwoodlb_client::Body) -> bool {
    match body.content_length() {
        Some(length) => length <= MAX_BUFFERED_BYTES as u64,
        None => request.version < Version::HTTP_11,
    }
}
