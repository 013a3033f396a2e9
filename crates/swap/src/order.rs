use crate::replica::{Phase, State};
use crate::swap::{Action, Swap};
use crate::{LeaseGrant, Target};
use dogwoodlb_external::engine;
use dogwoodlb_types::{id, Instant, Timestamp};
use rand::{Rng, RngExt};
use std::time::Duration;

/// The reads after which a report is too old to order by.
const STALE_READS: u32 = 4;

impl Swap {
    /// Advances the time and returns what to do.
    ///
    /// `allows(start, longest)` tells whether a disruptive change that starts at `start` and
    /// takes at most `longest` ends before the next quiet hour, the skew of clocks included.
    /// The core adds the time that an order may be on its way.
    pub fn poll(
        &mut self,
        now: Instant,
        timestamp: Timestamp,
        allows: &dyn Fn(Timestamp, Duration) -> bool,
        rng: &mut dyn Rng,
    ) -> Vec<Action> {
        let Some(guard) = self.guard.filter(|guard| now < guard.until) else {
            return Vec::new();
        };
        self.rate.refill(now);
        self.check_progress(now);
        let mut actions = self.schedule_retries(now, rng);
        self.report_newer(&mut actions);
        self.read(now, &mut actions);
        let longest = self.settings.max_duration + self.settings.order_timeout;
        if allows(timestamp, longest) {
            self.start(guard, now, timestamp, rng, &mut actions);
        }
        actions
    }

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

    fn read(&mut self, now: Instant, actions: &mut Vec<Action>) {
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

    /// Orders as many replicas as the capacity and the weight store allow, those that serve
    /// no version first.
    fn start(
        &mut self,
        guard: LeaseGrant,
        now: Instant,
        timestamp: Timestamp,
        rng: &mut dyn Rng,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.target.clone() else {
            return;
        };
        let stale = self.settings.read_interval * STALE_READS;
        let busy = self.replicas.values().filter(|s| s.is_busy(now, stale));
        let mut busy = busy.count();
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
            let was_busy = state.is_busy(now, stale);
            if !was_busy && busy >= self.capacity() {
                continue;
            }
            if !self.rate.take() {
                return;
            }
            busy += usize::from(!was_busy);
            actions.push(self.order(&upstream, &target, guard, now, timestamp, rng));
        }
    }

    /// Returns how many replicas may be swapping at once.
    fn capacity(&self) -> usize {
        let share = usize::try_from(self.settings.max_swapping_permille).unwrap_or(usize::MAX);
        (self.replicas.len().saturating_mul(share) / 1_000).max(1)
    }

    fn is_due(&self, state: &State, target: &Target, now: Instant) -> bool {
        let stale = self.settings.read_interval * STALE_READS;
        let Some(report) = state.report.filter(|_| state.has_report(now, stale)) else {
            return false;
        };
        if report.began < state.reports_after || report.version >= Some(target.version) {
            return false;
        }
        // An engine that ignores fencing numbers may still carry out an order of the earlier
        // holder, which can be sent until the earlier term has ended.
        let earliest = self.guarded_since + self.settings.term + self.settings.order_timeout;
        if !state.checks_fencing && now < earliest {
            return false;
        }
        match state.phase {
            Phase::Idle => {
                let since = state.foreign_since.unwrap_or(now);
                let is_over = now.saturating_since(since) >= self.settings.max_duration;
                report.loading.is_none() || is_over
            }
            Phase::Backoff { until, .. } => until <= now,
            Phase::Sent { .. } | Phase::Loading { .. } | Phase::Excluded => false,
        }
    }

    fn order(
        &mut self,
        upstream: &id::Upstream,
        target: &Target,
        guard: LeaseGrant,
        now: Instant,
        timestamp: Timestamp,
        rng: &mut dyn Rng,
    ) -> Action {
        let left = guard.until.saturating_since(now);
        let window = self.settings.order_timeout.min(left);
        let mut operation = id::Operation(rng.random());
        if let Some(state) = self.replicas.get_mut(upstream) {
            // An order that may have been accepted is repeated under its id, so that it is
            // carried out once.
            if let Phase::Backoff {
                operation: Some(earlier),
                ..
            } = state.phase
            {
                operation = earlier;
            }
            state.foreign_since = None;
            state.phase = Phase::Sent {
                operation,
                version: target.version,
                at: now,
            };
        }
        let order = engine::Order {
            order: operation,
            fence: guard.fence,
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
