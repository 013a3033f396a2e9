use dogwoodlb_types::Instant;
use std::time::Duration;

/// The latency at which the limit shrinks, as a multiple of the best one, in thousandths.
const TOLERANCE: u64 = 2_000;
/// The latency above the best one that is no sign of a queue, in microseconds. An engine that
/// batches lets a request wait for its next scheduling round, which takes some 10 ms, and on a
/// fast upstream that alone is a multiple of the best latency.
const SLACK: u64 = 50_000;
/// What remains of the limit after a decrease, in thousandths.
const DECREASE: u64 = 800;
/// One slot in the units of the limit.
const SLOT: u64 = 1_000;
/// How long the best latency is remembered. The best latency changes when a model's weights
/// or the upstream's VM change.
const WINDOW: Duration = Duration::from_secs(60);
/// The least time between two decreases; answers to requests sent before a decrease say
/// nothing about it.
const SHORTEST_PAUSE: Duration = Duration::from_millis(50);

/// The latest answers, the best of which shows the queue. A prompt that misses the prefix cache
/// needs a few hundred milliseconds more on an idle engine, while a queue delays every answer.
const RECENT: usize = 8;

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
    least: u64,
    most: u64,
    limit: u64,
    initial: u64,
    /// The best latency of this window and of the one before, in microseconds.
    best: [Option<u64>; 2],
    window: Instant,
    /// The latency of the latest answers in microseconds; the oldest is replaced next.
    recent: [u64; RECENT],
    answers: usize,
    decreased: Option<Instant>,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at `initial` and stays between `least` and `most`, all of
    /// them at least 1.
    pub fn new(least: u32, most: u32, initial: u32) -> Self {
        let least = u64::from(least.max(1)) * SLOT;
        let most = (u64::from(most) * SLOT).max(least);
        Self {
            least,
            most,
            limit: (u64::from(initial) * SLOT).clamp(least, most),
            initial: (u64::from(initial) * SLOT).clamp(least, most),
            best: [None; 2],
            window: Instant::default(),
            recent: [u64::MAX; RECENT],
            answers: 0,
            decreased: None,
        }
    }

    /// Returns the limit.
    pub fn get(&self) -> u32 {
        u32::try_from(self.limit / SLOT).unwrap_or(u32::MAX)
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
        self.turn_window(now);
        let current = self.best[0].map_or(latency, |best| best.min(latency));
        self.best[0] = Some(current);
        let best = self.best[1].map_or(current, |earlier| earlier.min(current));
        self.recent[self.answers % RECENT] = latency;
        self.answers = self.answers.wrapping_add(1);
        let longest = (best.saturating_mul(TOLERANCE) / 1_000).max(best.saturating_add(SLACK));
        let full = self.recent.iter().all(|own| *own != u64::MAX);
        if full && self.latency() > longest {
            self.decrease(now);
        } else if u64::from(in_flight) * SLOT * 2 > self.limit {
            // A limit that isn't used would grow without a sign that the upstream can take it.
            // Below its start the limit doubles with each round, because long answers are few.
            let step = if self.limit < self.initial {
                SLOT
            } else {
                SLOT * SLOT / self.limit
            };
            self.limit = (self.limit + step).min(self.most);
        }
    }

    /// Returns the best of the latest answers.
    fn latency(&self) -> u64 {
        let known = self.recent.iter().filter(|own| **own != u64::MAX);
        known.copied().min().unwrap_or(0)
    }

    fn turn_window(&mut self, now: Instant) {
        if now.saturating_since(self.window) >= WINDOW {
            self.best = [None, self.best[0]];
            self.window = now;
        }
    }

    fn decrease(&mut self, now: Instant) {
        let pause = Duration::from_micros(self.latency()).max(SHORTEST_PAUSE);
        let recent = |at: Instant| now.saturating_since(at) < pause;
        if self.decreased.is_some_and(recent) {
            return;
        }
        self.decreased = Some(now);
        self.limit = (self.limit * DECREASE / 1_000).max(self.least);
    }
}
