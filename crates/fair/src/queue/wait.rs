//! How long a request is expected to wait, and when a refused caller should return.

use super::{Place, Queue};
use crate::arrival::Arrival;
use crate::{Weight, AGED_START_INTERVAL};
use dogwoodlb_types::Instant;
use std::sync::Arc;
use std::time::Duration;

/// The minimum retry-after time, so that a caller doesn't use up its attempts at once.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Callers honour a retry-after time of at most this part of the time that they have left.
const HONOURED_DIVISOR: u32 = 3;
/// The retry-after time while nothing is known of the rate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The part of the retry-after time that is random, so that callers don't return together.
const JITTER: f64 = 0.5;

impl Queue {
    /// Returns how many requests are served before one at a place, and how long that takes at the
    /// present rate. The wait is zero if nothing is known of the rate: then nothing speaks against the
    /// request.
    pub(super) fn expected_wait(
        &self,
        organisation: &str,
        place: Place,
        now: Instant,
    ) -> (usize, Duration) {
        let places = self.places.get(organisation);
        let own = places.map_or(0, |places| places.range(..place).count());
        let cost_ms = self.pace.mean_cost_ms();
        let weight = Weight::of_priority(place.priority);
        let start = self.shares.position(organisation, weight);
        let target = start + own as f64 * cost_ms / weight.get();
        let others = self
            .places
            .iter()
            .filter(|(name, _)| &***name != organisation);
        let others = others.map(|(name, places)| {
            let weight = Weight::of_priority(places.first().map_or(0, |first| first.priority));
            let lead = (target - self.shares.position(name, weight)) * weight.get() / cost_ms;
            lead.ceil().clamp(0.0, places.len() as f64) as usize
        });
        let by_share = own + others.sum::<usize>();
        // All other starts go by age, which also bounds the wait.
        let aged = AGED_START_INTERVAL as usize;
        let ahead = (by_share * aged / (aged - 1)).min(self.entries.len() * aged);
        let interval = self.interval(now).unwrap_or_default();
        let count = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        (ahead, interval.saturating_mul(count))
    }

    fn interval(&self, now: Instant) -> Option<Duration> {
        self.pace.interval(self.running, self.busy_since, now)
    }

    /// Returns when the caller of a refused request should return: after the time in which the
    /// requests ahead of it are served, but within the time that the caller is willing to wait,
    /// spread by a random number in `0.0..1.0`. A request of its organisation and route that arrives
    /// by then goes ahead of those that come for the first time.
    pub fn retry_after(&mut self, arrival: &Arrival<'_>, now: Instant, random: f64) -> Duration {
        let organisation: Arc<str> = arrival.organisation.unwrap_or_default().into();
        let last = Place {
            priority: arrival.priority,
            standing: super::Standing::New,
            ticket: crate::Ticket(u64::MAX),
        };
        let wait = match self.interval(now) {
            Some(_) => self.expected_wait(&organisation, last, now).1,
            None => DEFAULT_RETRY_AFTER,
        };
        let left = arrival.deadline.saturating_since(now);
        let wait = wait.min(left / HONOURED_DIVISOR);
        let wait = wait.mul_f64(1.0 - JITTER + JITTER * random);
        let wait = wait.max(MIN_RETRY_AFTER);
        let caller = (organisation, arrival.route.into());
        self.returns.announce(caller, wait, now);
        wait
    }
}
