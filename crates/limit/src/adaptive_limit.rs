use dogwoodlb_types::Instant;
use std::time::Duration;

/// Latency above which the limit decreases, relative to the minimum latency, in thousandths.
const LATENCY_TOLERANCE_PERMILLE: u64 = 2_000;
/// Latency above the minimum that does not indicate queueing, in microseconds. On an engine with
/// continuous batching, a request waits about 10 ms for the next scheduling iteration, which on
/// a fast upstream is already several times the minimum latency.
const LATENCY_SLACK_US: u64 = 50_000;
/// Factor applied to the limit on a decrease, in thousandths.
const DECREASE_PERMILLE: u64 = 800;
/// Fixed-point units per slot of the limit.
const UNITS_PER_SLOT: u64 = 1_000;
/// Length of the window for the minimum latency. The minimum changes when a model's weights or
/// the upstream's VM change.
const MIN_LATENCY_WINDOW: Duration = Duration::from_secs(60);
/// Minimum time between two decreases; responses to requests sent before a decrease do not
/// reflect it.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(50);

/// Number of recent responses whose minimum latency is used to detect queueing. A prefix cache
/// miss adds a few hundred milliseconds even on an idle engine, whereas a queue delays every
/// response.
const RECENT_SAMPLES: usize = 8;

/// The congestion signal given by the end of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// The upstream responded with this latency.
    ///
    /// The latency must not depend on the size of the response: for a model it is the time to
    /// first token.
    Latency(Duration),
    /// The upstream refused the request or timed out.
    Overload,
}

/// An adaptive (AIMD) limit on a node's requests in flight at one upstream.
///
/// The limit grows by one per round of responses whose latency is near the minimum; below its
/// initial value it grows by one per response. It decreases by a fifth when the upstream signals
/// overload, or when each of the last eight latencies is more than twice the minimum and more than
/// 50 ms above it.
///
/// # Examples
///
/// ```
/// use dogwoodlb_limit::{AdaptiveLimit, Signal};
/// use dogwoodlb_types::Instant;
///
/// let mut limit = AdaptiveLimit::new(1, 100, 10);
/// limit.on_end(Signal::Overload, 10, Instant::from_millis(0));
/// assert_eq!(limit.get(), 8);
/// ```
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    // The limits are in thousandths of a slot.
    min: u64,
    max: u64,
    limit: u64,
    initial: u64,
    /// The minimum latency of the current and the previous window, in microseconds.
    min_latency: [Option<u64>; 2],
    window_start: Instant,
    /// A ring buffer of recent latencies, in microseconds; `u64::MAX` marks an unused entry.
    recent: [u64; RECENT_SAMPLES],
    /// The number of latencies recorded.
    samples: usize,
    last_decrease: Option<Instant>,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at `initial` and stays between `min` and `max`; all three are
    /// raised to at least 1.
    pub fn new(min: u32, max: u32, initial: u32) -> Self {
        let min = u64::from(min.max(1)) * UNITS_PER_SLOT;
        let max = (u64::from(max) * UNITS_PER_SLOT).max(min);
        Self {
            min,
            max,
            limit: (u64::from(initial) * UNITS_PER_SLOT).clamp(min, max),
            initial: (u64::from(initial) * UNITS_PER_SLOT).clamp(min, max),
            min_latency: [None; 2],
            window_start: Instant::default(),
            recent: [u64::MAX; RECENT_SAMPLES],
            samples: 0,
            last_decrease: None,
        }
    }

    /// Returns the current limit.
    pub fn get(&self) -> u32 {
        u32::try_from(self.limit / UNITS_PER_SLOT).unwrap_or(u32::MAX)
    }

    /// Records the end of a request; `in_flight` is the number of requests in flight at the
    /// upstream, including this one.
    pub fn on_end(&mut self, signal: Signal, in_flight: u32, now: Instant) {
        let Signal::Latency(latency) = signal else {
            self.decrease(now);
            return;
        };
        let latency = u64::try_from(latency.as_micros())
            .unwrap_or(u64::MAX)
            .max(1);
        self.rotate_window(now);
        let current = self.min_latency[0].map_or(latency, |lowest| lowest.min(latency));
        self.min_latency[0] = Some(current);
        let lowest = self.min_latency[1].map_or(current, |earlier| earlier.min(current));
        self.recent[self.samples % RECENT_SAMPLES] = latency;
        self.samples = self.samples.wrapping_add(1);
        let threshold = (lowest.saturating_mul(LATENCY_TOLERANCE_PERMILLE) / 1_000)
            .max(lowest.saturating_add(LATENCY_SLACK_US));
        let has_all_samples = self.recent.iter().all(|sample| *sample != u64::MAX);
        if has_all_samples && self.recent_min() > threshold {
            self.decrease(now);
        } else if u64::from(in_flight) * UNITS_PER_SLOT * 2 > self.limit {
            // The limit grows only while it is at least half used; otherwise it would grow without
            // evidence that the upstream can handle the load. Below its initial value it doubles
            // each round: with responses that take seconds, growing by one per round would keep
            // it near its minimum for minutes after an overload.
            let increase = if self.limit < self.initial {
                UNITS_PER_SLOT
            } else {
                UNITS_PER_SLOT * UNITS_PER_SLOT / self.limit
            };
            self.limit = (self.limit + increase).min(self.max);
        }
    }

    /// Returns the minimum of the recent latencies, or 0 if there are none.
    fn recent_min(&self) -> u64 {
        let samples = self.recent.iter().filter(|sample| **sample != u64::MAX);
        samples.copied().min().unwrap_or(0)
    }

    fn rotate_window(&mut self, now: Instant) {
        if now.saturating_since(self.window_start) >= MIN_LATENCY_WINDOW {
            self.min_latency = [None, self.min_latency[0]];
            self.window_start = now;
        }
    }

    fn decrease(&mut self, now: Instant) {
        let interval = Duration::from_micros(self.recent_min()).max(MIN_DECREASE_INTERVAL);
        let is_recent = |at: Instant| now.saturating_since(at) < interval;
        if self.last_decrease.is_some_and(is_recent) {
            return;
        }
        self.last_decrease = Some(now);
        self.limit = (self.limit * DECREASE_PERMILLE / 1_000).max(self.min);
    }
}
