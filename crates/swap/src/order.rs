use crate::replica_state::{Phase, ReplicaState};
use crate::swap::{Action, Swap};
use crate::{LeaseGrant, Target};
use dogwoodlb_external::engine;
use dogwoodlb_types::{id, Instant, Timestamp};
use rand::{Rng, RngExt};
use std::time::Duration;

/// Maximum age of a report on which an order may be based, in read intervals: up to three
/// consecutive reads may be lost.
const MAX_REPORT_AGE_READS: u32 = 4;

impl Swap {
    /// Advances the time and returns the actions to execute.
    ///
    /// `is_allowed(start, longest)` returns whether a disruptive change that starts at `start` and
    /// takes at most `longest` ends before the next quiet hour, allowing for clock skew. `longest`
    /// already includes the time that an order may be in transit.
    pub fn poll(
        &mut self,
        now: Instant,
        timestamp: Timestamp,
        is_allowed: &dyn Fn(Timestamp, Duration) -> bool,
        rng: &mut dyn Rng,
    ) -> Vec<Action> {
        let Some(lease) = self.lease.filter(|lease| now < lease.until) else {
            return Vec::new();
        };
        self.start_tokens.refill(now);
        self.detect_failures(now);
        let mut actions = self.schedule_retries(now, rng);
        self.report_newer(&mut actions);
        self.read_due(now, &mut actions);
        let longest = self.settings.max_duration + self.settings.order_timeout;
        if is_allowed(timestamp, longest) {
            self.order_due(lease, now, timestamp, rng, &mut actions);
        }
        actions
    }

    /// Reports each replica once that serves a newer version than the target.
    fn report_newer(&mut self, actions: &mut Vec<Action>) {
        let Some(target) = &self.target else { return };
        for (upstream, state) in &mut self.replicas {
            let served = state.report.and_then(|report| report.version);
            let newer = served.filter(|version| *version > target.version);
            if newer == state.newer {
                continue;
            }
            state.newer = newer;
            if let Some(version) = newer {
                actions.push(Action::Newer {
                    upstream: upstream.clone(),
                    version,
                });
            }
        }
    }

    /// Requests a read of each replica whose last read is at least one read interval ago.
    fn read_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for (upstream, state) in &mut self.replicas {
            let is_due = state
                .last_read
                .is_none_or(|at| now.saturating_since(at) >= self.settings.read_interval);
            if is_due {
                state.last_read = Some(now);
                actions.push(Action::Read {
                    upstream: upstream.clone(),
                });
            }
        }
    }

    /// Orders as many due replicas as the concurrency limit and the start rate allow. Replicas
    /// that serve no version come first.
    fn order_due(
        &mut self,
        lease: LeaseGrant,
        now: Instant,
        timestamp: Timestamp,
        rng: &mut dyn Rng,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.target.clone() else {
            return;
        };
        let max_report_age = self.settings.read_interval * MAX_REPORT_AGE_READS;
        let swapping = self
            .replicas
            .values()
            .filter(|s| s.is_swapping(now, max_report_age));
        let mut swapping = swapping.count();
        let mut due: Vec<(bool, id::Upstream)> = self
            .replicas
            .iter()
            .filter(|(_, state)| self.is_due(state, &target, now))
            .map(|(upstream, state)| {
                let serves = state.report.is_some_and(|report| report.version.is_some());
                (serves, upstream.clone())
            })
            .collect();
        due.sort();
        for (_, upstream) in due {
            let Some(state) = self.replicas.get(&upstream) else {
                continue;
            };
            let was_swapping = state.is_swapping(now, max_report_age);
            if !was_swapping && swapping >= self.max_swapping() {
                continue;
            }
            if !self.start_tokens.take() {
                return;
            }
            swapping += usize::from(!was_swapping);
            actions.push(self.order(&upstream, &target, lease, now, timestamp, rng));
        }
    }

    /// Returns the maximum number of replicas swapping at the same time.
    fn max_swapping(&self) -> usize {
        let share = usize::try_from(self.settings.max_swapping_permille).unwrap_or(usize::MAX);
        (self.replicas.len().saturating_mul(share) / 1_000).max(1)
    }

    /// Returns whether a replica may be ordered to load the target: a recent read, sent after the
    /// last order, shows an older version, no attempt or load is in progress, and the replica is
    /// not excluded.
    fn is_due(&self, state: &ReplicaState, target: &Target, now: Instant) -> bool {
        let max_report_age = self.settings.read_interval * MAX_REPORT_AGE_READS;
        let Some(report) = state
            .report
            .filter(|_| state.has_recent_report(now, max_report_age))
        else {
            return false;
        };
        if report.requested_at < state.min_requested_at || report.version >= Some(target.version) {
            return false;
        }
        // An engine that ignores fencing tokens may still execute an order of the previous
        // holder, which can be sent until the end of the previous term.
        let earliest = self.lease_since + self.settings.lease_term + self.settings.order_timeout;
        if !state.checks_fencing && now < earliest {
            return false;
        }
        match state.phase {
            Phase::Idle => {
                // A load that this instance did not order is waited for, but no longer than a load
                // may take.
                let since = state.external_load_since.unwrap_or(now);
                let has_timed_out = now.saturating_since(since) >= self.settings.max_duration;
                report.loading.is_none() || has_timed_out
            }
            Phase::Backoff { until, .. } => until <= now,
            Phase::Sent { .. } | Phase::Loading { .. } | Phase::Excluded => false,
        }
    }

    /// Returns the order to send to a replica and marks it as sent.
    fn order(
        &mut self,
        upstream: &id::Upstream,
        target: &Target,
        lease: LeaseGrant,
        now: Instant,
        timestamp: Timestamp,
        rng: &mut dyn Rng,
    ) -> Action {
        let remaining = lease.until.saturating_since(now);
        let window = self.settings.order_timeout.min(remaining);
        let mut operation = id::Operation(rng.random());
        if let Some(state) = self.replicas.get_mut(upstream) {
            // An order that may have been accepted is retried with the same id, so that it is
            // executed only once.
            if let Phase::Backoff {
                operation: Some(earlier),
                ..
            } = state.phase
            {
                operation = earlier;
            }
            state.external_load_since = None;
            state.phase = Phase::Sent {
                operation,
                version: target.version,
                at: now,
            };
        }
        let order = engine::Order {
            order: operation,
            fence: lease.fence,
            not_after_ms: timestamp + window,
            action: engine::Action::LoadVersion {
                model: self.model.clone(),
                version: target.version,
                object: target.object.clone(),
            },
        };
        Action::Order {
            upstream: upstream.clone(),
            order,
            start_by: now + window,
        }
    }
}
