use crate::Outcome;
use dogwoodlb_types::Instant;
use std::time::Duration;

/// Consecutive failures before ejection; a single failure may be caused by the request itself.
const EJECTION_THRESHOLD: u32 = 3;
/// Duration of the first ejection; it doubles with each further one until the replica has
/// recovered.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Upper bound of the ejection time.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(60);
/// Time in which the weight of a returning replica grows from the initial to the full weight.
const SLOW_START_DURATION: Duration = Duration::from_secs(10);
/// Weight of a replica at the start of its slow start, in thousandths of the normal load.
const INITIAL_WEIGHT: u64 = 100;
pub(crate) const FULL_WEIGHT: u64 = 1_000;

/// Outlier detection for one replica: ejection, and slow start after an ejection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Consecutive failures since the last success or ejection.
    failures: u32,
    /// Ejections since the replica last served at its full weight.
    ejections: u32,
    /// The last ejection, kept until a request succeeds after slow start.
    ejection: Option<Ejection>,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    since: Instant,
    until: Instant,
    /// Whether a request has succeeded since.
    has_succeeded: bool,
}

impl Health {
    /// Returns the end of the current ejection, if the replica is ejected.
    pub(crate) fn ejected_until(&self, now: Instant) -> Option<Instant> {
        self.ejection
            .map(|ejection| ejection.until)
            .filter(|&until| now < until)
    }

    /// Returns the replica's weight in thousandths; it ramps up linearly after an ejection.
    pub(crate) fn weight(&self, now: Instant) -> u64 {
        let Some(ejection) = self.ejection else {
            return FULL_WEIGHT;
        };
        let since_return = millis(now.saturating_since(ejection.until));
        (INITIAL_WEIGHT
            + (FULL_WEIGHT - INITIAL_WEIGHT) * since_return / millis(SLOW_START_DURATION))
        .min(FULL_WEIGHT)
    }

    /// Records the outcome of a request that was routed at `picked_at`.
    pub(crate) fn on_end(&mut self, outcome: Outcome, picked_at: Instant, now: Instant) {
        // Requests routed before the ejection fail for the same reason as those that caused it;
        // counting them would extend the ejection for a single fault.
        if self
            .ejection
            .is_some_and(|ejection| picked_at <= ejection.since)
        {
            return;
        }
        match outcome {
            Outcome::Cancelled => {}
            Outcome::Success => self.on_success(now),
            Outcome::Failure => self.on_failure(now),
        }
    }

    fn on_success(&mut self, now: Instant) {
        self.failures = 0;
        // If all replicas are ejected, customers are still sent to them; a success shows that this
        // one works, and ends its ejection early.
        if let Some(ejection) = &mut self.ejection {
            ejection.until = ejection.until.min(now);
            ejection.has_succeeded = true;
        }
        if self.weight(now) == FULL_WEIGHT {
            self.ejections = 0;
            self.ejection = None;
        }
    }

    fn on_failure(&mut self, now: Instant) {
        if self.ejected_until(now).is_some() {
            return;
        }
        self.failures += 1;
        // A failure during slow start means that the replica has not recovered, unless a request has
        // succeeded since the ejection.
        let has_succeeded = self.ejection.is_some_and(|ejection| ejection.has_succeeded);
        let is_unproven = self.weight(now) < FULL_WEIGHT && !has_succeeded;
        if self.failures >= EJECTION_THRESHOLD || is_unproven {
            let duration = BASE_EJECTION_TIME * (1 << self.ejections.min(6));
            self.ejections = self.ejections.saturating_add(1);
            self.failures = 0;
            self.ejection = Some(Ejection {
                since: now,
                until: now + duration.min(MAX_EJECTION_TIME),
                has_succeeded: false,
            });
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
