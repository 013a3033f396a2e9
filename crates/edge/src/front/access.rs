//! Admits only callers with a key of an organisation, where the configuration has organisations.

use super::{FrontHandler, RETRY_AFTER};
use crate::clock;
use crate::headers::header_str;
use crate::identity::{self, Caller, Rejection};
use crate::reader;
use crate::reply::{self, Body};
use dogwoodlb_batch::BatchHeader;
use dogwoodlb_config::Snapshot;
use dogwoodlb_types::Instant;
use hyper::header::{HeaderValue, WWW_AUTHENTICATE};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use std::cell::Cell;
use std::time::Duration;

/// The maximum number of lines about rejected callers in each [`LOG_PERIOD`]. A caller with a
/// revoked key repeats its requests as fast as it can.
const MAX_LOGGED: u64 = 10;
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Limits the lines about rejected callers.
#[derive(Default)]
pub(crate) struct RejectionLog {
    period_began: Cell<Instant>,
    /// The number of rejections in the period.
    count: Cell<u64>,
    /// The number of rejections since the last line.
    left_out: Cell<u64>,
}

impl RejectionLog {
    /// Returns whether a rejection gets a line and, if so, how many before it got none.
    fn admit(&self, now: Instant) -> Option<u64> {
        if now.saturating_since(self.period_began.get()) >= LOG_PERIOD {
            self.period_began.set(now);
            self.count.set(0);
        }
        self.count.set(self.count.get() + 1);
        if self.count.get() > MAX_LOGGED {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        Some(self.left_out.take())
    }
}

impl FrontHandler {
    /// Returns the time since the configuration was last confirmed to be the newest one.
    pub(super) fn config_age(&self) -> Option<Duration> {
        let confirmed_at = self.cluster.config_confirmed_at();
        confirmed_at.map(|at| clock::now().saturating_since(at))
    }

    /// Returns who sent a request on a route.
    pub(super) fn route_caller(
        &self,
        head: &Parts,
        config: &Snapshot,
        is_public: bool,
    ) -> Result<Caller, Rejection> {
        let organisations = config.organisations();
        identity::identify(organisations, is_public, &head.headers, self.config_age())
    }

    /// Returns who sent a request about a batch, or the response that rejects it. A batch without an
    /// organisation that was submitted on a public route needs no key.
    pub(super) async fn batch_caller(
        &self,
        head: &Parts,
        batch: &str,
    ) -> Result<Caller, Response<Body>> {
        let Some(config) = self.cluster.config() else {
            return Err(reply::unavailable(
                "no configuration is known yet",
                RETRY_AFTER,
            ));
        };
        let rejection = match self.route_caller(head, &config, false) {
            Ok(caller) => return Ok(caller),
            Err(rejection) => rejection,
        };
        // Rejecting a caller costs no call to the store where no route would need it.
        if config.has_public_batches() {
            let header = match self.cluster.batch_header(batch) {
                None if rejection != Rejection::Outdated => {
                    self.reader.batch_store.read_header(batch).await
                }
                known => Ok(known),
            };
            match header {
                Ok(Some(header)) if is_public(&config, &header.value) => {
                    return Ok(Caller::Anonymous);
                }
                Ok(_) => {}
                Err(error) => return Err(reader::store_unavailable(batch, &error)),
            }
        }
        Err(self.reject(head, &config, batch, rejection))
    }

    /// Returns the response to a request that is not run because it has no usable key. `target` is
    /// the name of the route or the id of the batch.
    pub(super) fn reject(
        &self,
        head: &Parts,
        config: &Snapshot,
        target: &str,
        rejection: Rejection,
    ) -> Response<Body> {
        let reason = rejection.as_str();
        self.cluster.metrics.count_rejection(reason);
        let is_outdated = rejection == Rejection::Outdated;
        if let Some(left_out) = self.rejections.admit(clock::now()) {
            let id = header_str(&head.headers, &self.protocol.headers().request_id);
            tracing::info!(
                request = id.unwrap_or_default(),
                target,
                reason,
                version = config.version(),
                age_ms = self.config_age().map(|age| age.as_millis()),
                left_out,
                outcome = if is_outdated {
                    "unavailable"
                } else {
                    "unauthorized"
                },
                "caller_rejected"
            );
        }
        if is_outdated {
            return reply::unavailable("the configuration may be out of date", RETRY_AFTER);
        }
        let reason = "the request needs a key of an organisation";
        let mut response = reply::plain_text(StatusCode::UNAUTHORIZED, reason);
        let scheme = HeaderValue::from_static("Bearer");
        response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
        response
    }
}

/// Returns whether a batch was submitted without a key on a public route.
fn is_public(config: &Snapshot, header: &BatchHeader) -> bool {
    let route = config.route(&header.host, &header.path);
    header.organisation.is_none() && route.is_some_and(|route| route.is_public)
}
