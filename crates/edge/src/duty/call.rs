//! One call to the provider.

use super::{Call, Driver, Duty};
use bytes::Bytes;
use dogwoodlb_duty::Token;
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// The time limit of a call after an answered one. It doubles with each further call without a
/// response: the provider may still read a call that was given up, after a later one.
const MIN_CALL_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(8);
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// What became of a call.
#[derive(Debug)]
pub(crate) enum CallOutcome {
    /// The provider accepted it.
    Acknowledged,
    /// The provider responded with another status.
    Refused(StatusCode),
    /// It was not sent, because the claim had expired or the node began to leave.
    Expired,
    /// It was certainly not received.
    Unsent(dogwoodlb_client::Error),
    /// It may have been received.
    Unknown(dogwoodlb_client::Error),
}

impl CallOutcome {
    /// Returns the name of the outcome in metrics and log lines.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Acknowledged => "acknowledged",
            Self::Refused(_) => "refused",
            Self::Expired => "expired",
            Self::Unsent(_) => "unsent",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Returns the status or the error of a call that failed.
    pub(crate) fn cause(&self) -> String {
        match self {
            Self::Acknowledged | Self::Expired => String::new(),
            Self::Refused(status) => status.to_string(),
            Self::Unsent(error) | Self::Unknown(error) => error.to_string(),
        }
    }
}

impl<D: Duty> Driver<D> {
    /// Sends a call, unless its claim has expired.
    pub(super) async fn send(&mut self, token: Token, call: Call) -> CallOutcome {
        let Some(provider) = &self.context.settings.provider else {
            return CallOutcome::Expired;
        };
        let address = provider.address;
        let request = self.build_request(address, token, call);
        let doubled = MIN_CALL_TIMEOUT * 2_u32.saturating_pow(self.silent_calls.min(4));
        let time_limit = doubled.min(MAX_CALL_TIMEOUT);
        let may_send = || self.may_send(token);
        let client = self.client.checked(&may_send);
        let called = client.call(address, request, time_limit, MAX_RESPONSE_BYTES);
        let outcome = match called.await {
            Ok(response) if response.status().is_success() => CallOutcome::Acknowledged,
            Ok(response) => CallOutcome::Refused(response.status()),
            Err(dogwoodlb_client::Error::Revoked { .. }) => CallOutcome::Expired,
            Err(error) if error.is_unsent() => CallOutcome::Unsent(error),
            Err(error) => CallOutcome::Unknown(error),
        };
        self.silent_calls = match &outcome {
            CallOutcome::Unknown(dogwoodlb_client::Error::Timeout { .. }) => self.silent_calls + 1,
            CallOutcome::Acknowledged | CallOutcome::Refused(_) => 0,
            _ => self.silent_calls,
        };
        let calls = &self.context.metrics.duty_calls;
        let labels = [self.duty.kind(), outcome.label()];
        calls.with_label_values(&labels).inc();
        outcome
    }

    fn build_request(&self, address: SocketAddr, token: Token, call: Call) -> Request<Bytes> {
        let mut request = Request::new(call.body);
        *request.method_mut() = Method::POST;
        match call.path.parse() {
            Ok(path) => *request.uri_mut() = path,
            Err(error) => tracing::error!(call.path, %error, "path_invalid"),
        }
        let names = self.context.protocol.headers();
        let (host, fence) = (address.to_string(), token.fence.to_string());
        let values: [(HeaderName, &str); 4] = [
            (HOST, &host),
            (CONTENT_TYPE, "application/json"),
            (names.duty_holder.clone(), &self.context.settings.node),
            (names.fence.clone(), &fence),
        ];
        for (name, value) in values {
            if let Ok(value) = HeaderValue::from_str(value) {
                request.headers_mut().insert(name, value);
            }
        }
        request
    }
}
