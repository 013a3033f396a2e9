use crate::replica::{Phase, Report, State, MAX_ATTEMPTS};
use crate::swap::{Action, Swap};
use dogwoodlb_external::engine::Weights;
use dogwoodlb_external::{Category, Error};
use dogwoodlb_types::{id, Instant};
use rand::{Rng, RngExt};
use std::time::Duration;

/// An engine's report may lag behind the order that it has just accepted.
const REPORT_LAG: Duration = Duration::from_secs(2);

/// The waiting time after the first failure; it doubles with each further one.
const BACKOFF: Duration = Duration::from_secs(1);

/// What came of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine has seen a higher fencing number; this node no longer holds the lease.
    Fenced,
    /// The engine refused the order for another reason.
    Refused,
    /// The order never reached the engine, or `start_by` had passed.
    NotSent,
    /// The order may have reached the engine.
    Unknown,
}

impl From<&Error> for Outcome {
    /// Classifies a failed call; a shell that can tell an old fencing number passes
    /// [`Outcome::Fenced`] itself.
    fn from(error: &Error) -> Self {
        match error.classify() {
            Category::NotSent => Self::NotSent,
            Category::Refused => Self::Refused,
            _ => Self::Unknown,
        }
    }
}

impl Swap {
    /// Takes in what a replica reports about the model, `None` if it doesn't know the model.
    ///
    /// `began` is when the read was sent: no order is given by a read from before the last
    /// order or before the lease was granted.
    pub fn on_weights(
        &mut self,
        upstream: &id::Upstream,
        began: Instant,
        weights: Option<&Weights>,
        now: Instant,
    ) {
        let Some(state) = self.replicas.get_mut(upstream) else {
            return;
        };
        let is_late = state.report.is_some_and(|report| began < report.began);
        let is_other = weights.is_some_and(|weights| weights.model != self.model);
        if is_late || is_other {
            return;
        }
        let report = Report {
            began,
            version: weights.and_then(|weights| weights.version),
            loading: weights.and_then(|weights| weights.loading),
        };
        state.report = Some(report);
        state.foreign_since = match (report.loading, state.phase) {
            (Some(_), Phase::Idle) => state.foreign_since.or(Some(now)),
            _ => None,
        };
        let target = self.target.as_ref().map(|target| target.version);
        if target.is_some_and(|version| state.serves(version)) {
            state.phase = Phase::Idle;
            state.attempts = 0;
        } else if let Phase::Loading { version, .. } = state.phase {
            // The replica finished an order for an earlier target.
            if target != Some(version) && report.loading.is_none() {
                state.phase = Phase::Idle;
            }
        }
    }

    /// Takes in what came of an order; the result of an order that is no longer open is
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
            operation: open,
            version,
            ..
        } = state.phase
        else {
            return;
        };
        if open != operation {
            return;
        }
        state.reports_after = now;
        match outcome {
            Outcome::Accepted => {
                state.phase = Phase::Loading {
                    version,
                    since: now,
                };
            }
            Outcome::Fenced => {
                self.fenced = self.guard.take().map(|guard| guard.fence).max(self.fenced);
            }
            Outcome::Refused | Outcome::NotSent => {
                self.failed.insert(upstream.clone(), None);
            }
            Outcome::Unknown => {
                self.failed.insert(upstream.clone(), Some(operation));
            }
        }
    }

    /// Finds the attempts that failed without a result from the shell.
    pub(crate) fn check_progress(&mut self, now: Instant) {
        for (upstream, state) in &mut self.replicas {
            match state.phase {
                Phase::Sent { operation, at, .. }
                    if now.saturating_since(at) > self.settings.order_timeout * 2
                        && !self.failed.contains_key(upstream) =>
                {
                    state.reports_after = now;
                    self.failed.insert(upstream.clone(), Some(operation));
                }
                Phase::Loading { since, .. } => {
                    let is_stopped = state.report.is_some_and(|report| {
                        report.loading.is_none()
                            && report.began.saturating_since(since) >= REPORT_LAG
                    });
                    if is_stopped || now.saturating_since(since) >= self.settings.max_duration {
                        self.failed.insert(upstream.clone(), None);
                    }
                }
                _ => {}
            }
        }
    }

    /// Schedules the next attempt of each replica that failed, or excludes it.
    pub(crate) fn schedule_retries(&mut self, now: Instant, rng: &mut dyn Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        let target = self.target.as_ref().map(|target| target.version);
        for (upstream, operation) in std::mem::take(&mut self.failed) {
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
                state.phase = backoff(state, operation, now, rng);
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

/// Doubles the waiting time with each failure and adds up to a half at random, so that
/// replicas that failed together are not retried together.
fn backoff(
    state: &State,
    operation: Option<id::Operation>,
    now: Instant,
    rng: &mut dyn Rng,
) -> Phase {
    let wait = BACKOFF * 2_u32.pow(state.attempts.saturating_sub(1));
    let jitter = wait.mul_f64(rng.random_range(0.0..0.5));
    Phase::Backoff {
        until: now + wait + jitter,
        operation,
    }
}
