use dogwoodlb_types::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// The maximum number of observations. A quantile of 0.95 then rests on a dozen slower ones.
const MAX_OBSERVATIONS: usize = 256;
/// The age at which an observation is dropped, so that the profile follows a change of the load.
const WINDOW: Duration = Duration::from_secs(60);
/// The number of responses below which there is no estimate: the slowest of fewer than 20 calls
/// is not a quantile of 0.95.
const MIN_RESPONSES: usize = 20;
const QUANTILE: f64 = 0.95;
/// The estimate is computed again after this many observations or this time. Sorting the
/// observations for each call would cost a busy node more than the calls themselves.
const REFRESH_OBSERVATIONS: u32 = 16;
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// A measured time, or a lower bound of a time that was not measured to its end.
#[derive(Clone, Copy, Debug)]
struct Observation {
    at: Instant,
    time: Duration,
    is_lower_bound: bool,
}

/// How long the recent calls of one route took.
///
/// A call that was cancelled is recorded with its age, as a lower bound. Without these, only the
/// calls that were faster than the time-out or the hedge would be known, and the estimate would
/// stay too low for good.
///
/// # Examples
///
/// ```
/// use dogwoodlb_limit::LatencyProfile;
/// use dogwoodlb_types::Instant;
/// use std::time::Duration;
///
/// let now = Instant::from_millis(1_000);
/// let mut profile = LatencyProfile::default();
/// assert_eq!(profile.high_quantile(now), None);
/// for ms in 1..=100 {
///     profile.record(Duration::from_millis(ms), now);
/// }
/// assert_eq!(profile.high_quantile(now), Some(Duration::from_millis(95)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LatencyProfile {
    /// Oldest first.
    observations: VecDeque<Observation>,
    /// The last estimate, when it was computed, and the number of observations since.
    estimate: Option<Duration>,
    estimated_at: Option<Instant>,
    pending: u32,
}

impl LatencyProfile {
    /// Records how long a call took.
    pub fn record(&mut self, time: Duration, now: Instant) {
        self.push(time, false, now);
    }

    /// Records that a call would have taken at least this long.
    pub fn record_lower_bound(&mut self, time: Duration, now: Instant) {
        self.push(time, true, now);
    }

    fn push(&mut self, time: Duration, is_lower_bound: bool, now: Instant) {
        if self.observations.len() == MAX_OBSERVATIONS {
            self.observations.pop_front();
        }
        self.observations.push_back(Observation {
            at: now,
            time,
            is_lower_bound,
        });
        self.pending += 1;
    }

    /// Returns the time within which most calls of the route end, or `None` if there are too few
    /// recent responses.
    pub fn high_quantile(&mut self, now: Instant) -> Option<Duration> {
        let is_recent = |at: Instant| now.saturating_since(at) < REFRESH_INTERVAL;
        let is_current =
            self.pending < REFRESH_OBSERVATIONS && self.estimated_at.is_some_and(is_recent);
        if !is_current {
            while let Some(oldest) = self.observations.front() {
                if now.saturating_since(oldest.at) < WINDOW {
                    break;
                }
                self.observations.pop_front();
            }
            self.estimate = self.estimate();
            self.estimated_at = Some(now);
            self.pending = 0;
        }
        self.estimate
    }

    /// Computes the Kaplan-Meier estimate of the quantile. If the lower bounds leave it open, it is
    /// at least the longest time observed.
    fn estimate(&self) -> Option<Duration> {
        let mut sorted: Vec<(Duration, bool)> = self
            .observations
            .iter()
            .map(|one| (one.time, one.is_lower_bound))
            .collect();
        let responses = sorted.iter().filter(|(_, is_lower_bound)| !is_lower_bound);
        if responses.count() < MIN_RESPONSES {
            return None;
        }
        sorted.sort_unstable();
        let mut exceeding = 1.0;
        for (index, (time, is_lower_bound)) in sorted.iter().enumerate() {
            if *is_lower_bound {
                continue;
            }
            exceeding *= 1.0 - 1.0 / (sorted.len() - index) as f64;
            // The product of the rounded factors may exceed its exact value.
            if exceeding <= 1.0 - QUANTILE + 1e-9 {
                return Some(*time);
            }
        }
        sorted.last().map(|(time, _)| *time)
    }
}
