use dogwoodlb_types::Instant;
use std::time::Duration;

/// The latency at which the limit shrinks, as a multiple of the best one, in thousandths.
const LATENCY_TOLERANCE_PERMILLE: u64 = 2_000;
/// The latency above the best one that is no sign of a queue, in microseconds. An engine that
/// batches lets a request wait for its next scheduling round, which takes some 10 ms, and on a
/// fast upstream that alone is a multiple of the best latency.
const LATENCY_SLACK_US: u64 = 50_000;
/// What remains of the limit after a decrease, in thousandths.
const DECREASE_PERMILLE: u64 = 800;
/// One slot in the units of the limit.
const UNITS_PER_SLOT: u64 = 1_000;
/// How long the best latency is remembered. The best latency changes when a model's weights
/// or the upstream's VM change.
const MIN_LATENCY_WINDOW: Duration = Duration::from_secs(60);
/// The least time between two decreases; answers to requests sent before a decrease say
/// nothing about it.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(50);

/// The latest answers, the best of which shows the queue. A prompt that misses the prefix cache
/// needs a few hundred milliseconds more on an idle engine, while a queue delays every answer.
const RECENT_SAMPLES: usize = 8;

/// What the end of a request tells about the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// The upstream answered after this time.
    ///
    /// The time must not depend on the size of the answer: for a model it is the time to the
    /// first token.
    Latency(Duration),
    /// The upstream refused the request or didn't answer in time.
    Overload,
}

/// The number of requests that a node may have in flight at one upstream.
///
/// The limit grows by one for each round of answers near the best latency, below its start by
/// one for each answer, and shrinks by a fifth when the latency doubles or the upstream is overloaded.
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
    min: u64,
    max: u64,
    limit: u64,
    initial: u64,
    /// The best latency of this window and of the one before, in microseconds.
    min_latency: [Option<u64>; 2],
    window_start: Instant,
    /// The latency of the latest answers in microseconds; the oldest is replaced next.
    recent: [u64; RECENT_SAMPLES],
    samples: usize,
    last_decrease: Option<Instant>,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at `initial` and stays between `min` and `max`, all of
    /// them at least 1.
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

    /// Returns the limit.
    pub fn get(&self) -> u32 {
        u32::try_from(self.limit / UNITS_PER_SLOT).unwrap_or(u32::MAX)
    }

    /// Takes the end of a request; `in_flight` counts the requests at the upstream with it.
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
        let is_full = self.recent.iter().all(|sample| *sample != u64::MAX);
        if is_full && self.recent_min() > threshold {
            self.decrease(now);
        } else if u64::from(in_flight) * UNITS_PER_SLOT * 2 > self.limit {
            // A limit that isn't used would grow without a sign that the upstream can take it.
            // Below its start the limit doubles with each round, because long answers are few.
            let step = if self.limit < self.initial {
                UNITS_PER_SLOT
            } else {
                UNITS_PER_SLOT * UNITS_PER_SLOT / self.limit
            };
            self.limit = (self.limit + step).min(self.max);
        }
    }

    /// Returns the best of the latest answers.
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
        let recent = |at: Instant| now.saturating_since(at) < interval;
        if self.last_decrease.is_some_and(recent) {
            return;
        }
        self.last_decrease = Some(now);
        self.limit = (self.limit * DECREASE_PERMILLE / 1_000).max(self.min);
    }
}
