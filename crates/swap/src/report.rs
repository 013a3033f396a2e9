use crate::replica_state::{Phase, ReplicaState, Report, MAX_ATTEMPTS};
use crate::swap::{Action, Swap};
use dogwoodlb_external::engine::Weights;
use dogwoodlb_external::{Category, Error};
use dogwoodlb_types::{id, Instant};
use rand::{Rng, RngExt};
use std::time::Duration;

/// Time that an engine may need until its reports reflect an accepted order.
const REPORT_LAG: Duration = Duration::from_secs(2);

/// Delay after the first failure, without jitter; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

/// The result of sending an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine has seen a higher fencing token: this node no longer holds the lease.
    Fenced,
    /// The engine refused the order for a different reason.
    Refused,
    /// The order did not reach the engine, or was not sent because `start_by` had passed.
    NotSent,
    /// The order may or may not have reached the engine.
    Unknown,
}

impl From<&Error> for Outcome {
    /// Classifies a failed call. This never yields [`Outcome::Fenced`]; a driver that can
    /// recognise a fenced order has to pass it itself.
    fn from(error: &Error) -> Self {
        match error.classify() {
            Category::NotSent => Self::NotSent,
            Category::Refused => Self::Refused,
            _ => Self::Unknown,
        }
    }
}

impl Swap {
    /// Applies a replica's report about the model; `None` if the replica does not have the model.
    ///
    /// `requested_at` is when the read was sent. Reads sent before the last order or before the
    /// lease was granted do not lead to an order.
    pub fn on_weights(
        &mut self,
        upstream: &id::Upstream,
        requested_at: Instant,
        weights: Option<&Weights>,
        now: Instant,
    ) {
        let Some(state) = self.replicas.get_mut(upstream) else {
            return;
        };
        let is_late = state
            .report
            .is_some_and(|report| requested_at < report.requested_at);
        let is_other_model = weights.is_some_and(|weights| weights.model != self.model);
        if is_late || is_other_model {
            return;
        }
        let report = Report {
            requested_at,
            version: weights.and_then(|weights| weights.version),
            loading: weights.and_then(|weights| weights.loading),
        };
        state.report = Some(report);
        state.external_load_since = match (report.loading, state.phase) {
            (Some(_), Phase::Idle) => state.external_load_since.or(Some(now)),
            _ => None,
        };
        let target = self.target.as_ref().map(|target| target.version);
        if target.is_some_and(|version| state.serves(version)) {
            state.phase = Phase::Idle;
            state.attempts = 0;
        } else if let Phase::Loading { version, .. } = state.phase {
            // The replica has completed an order for a previous target.
            if target != Some(version) && report.loading.is_none() {
                state.phase = Phase::Idle;
            }
        }
    }

    /// Applies the result of an order; the result of an order that is no longer pending is
    /// ignored.
    pub fn on_order_result(
        &mut self,
        upstream: &id::Upstream,
        operation: id::Operation,
        outcome: Outcome,
        now: Instant,
    ) {
        let Some(state) = self.replicas.get_mut(upstream) else {
            return;
        };
        let Phase::Sent {
            operation: pending,
            version,
            ..
        } = state.phase
        else {
            return;
        };
        if pending != operation {
            return;
        }
        state.min_requested_at = now;
        match outcome {
            Outcome::Accepted => {
                state.phase = Phase::Loading {
                    version,
                    since: now,
                };
            }
            // Another node holds the lease. No more orders are sent until a grant with a higher
            // fencing token arrives.
            Outcome::Fenced => {
                self.refused_fence = self
                    .lease
                    .take()
                    .map(|lease| lease.fence)
                    .max(self.refused_fence);
            }
            Outcome::Refused | Outcome::NotSent => {
                self.failed_attempts.insert(upstream.clone(), None);
            }
            Outcome::Unknown => {
                self.failed_attempts
                    .insert(upstream.clone(), Some(operation));
            }
        }
    }

    /// Records attempts as failed whose result is overdue, or whose load has ended without the
    /// target version or exceeded the maximum duration.
    pub(crate) fn detect_failures(&mut self, now: Instant) {
        for (upstream, state) in &mut self.replicas {
            match state.phase {
                // An order may be sent up to one timeout after the poll, and the call may take
                // another.
                Phase::Sent { operation, at, .. }
                    if now.saturating_since(at) > self.settings.order_timeout * 2
                        && !self.failed_attempts.contains_key(upstream) =>
                {
                    state.min_requested_at = now;
                    self.failed_attempts
                        .insert(upstream.clone(), Some(operation));
                }
                Phase::Loading { since, .. } => {
                    let has_stopped = state.report.is_some_and(|report| {
                        report.loading.is_none()
                            && report.requested_at.saturating_since(since) >= REPORT_LAG
                    });
                    if has_stopped || now.saturating_since(since) >= self.settings.max_duration {
                        self.failed_attempts.insert(upstream.clone(), None);
                    }
                }
                _ => {}
            }
        }
    }

    /// Schedules the next attempt of each failed replica, or excludes the replica.
    pub(crate) fn schedule_retries(&mut self, now: Instant, rng: &mut dyn Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        let target = self.target.as_ref().map(|target| target.version);
        for (upstream, operation) in std::mem::take(&mut self.failed_attempts) {
            let Some(state) = self.replicas.get_mut(&upstream) else {
                continue;
            };
            let ordered = match state.phase {
                Phase::Sent { version, .. } | Phase::Loading { version, .. } => version,
                _ => continue,
            };
            if target != Some(ordered) {
                state.phase = Phase::Idle;
                continue;
            }
            state.attempts += 1;
            if state.attempts < MAX_ATTEMPTS {
                state.phase = backoff_phase(state, operation, now, rng);
                continue;
            }
            state.phase = Phase::Excluded;
            actions.push(Action::Excluded {
                upstream,
                version: ordered,
                attempts: state.attempts,
            });
        }
        actions
    }
}

/// Returns the phase of a failed replica until its next attempt: an exponential backoff with up to
/// 50% jitter, so that replicas that failed together are not retried together.
fn backoff_phase(
    state: &ReplicaState,
    operation: Option<id::Operation>,
    now: Instant,
    rng: &mut dyn Rng,
) -> Phase {
    let wait = INITIAL_BACKOFF * 2_u32.pow(state.attempts.saturating_sub(1));
    let jitter = wait.mul_f64(rng.random_range(0.0..0.5));
    Phase::Backoff {
        until: now + wait + jitter,
        operation,
    }
}
