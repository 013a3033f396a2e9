use dogwoodlb_types::Instant;

/// One retry in the units of the budget.
const RETRY: u64 = 1_000;
/// What each request adds: a tenth of a retry.
const PER_REQUEST: u64 = 100;
/// What each millisecond adds: 3 retries a second, so that a node with few requests can retry.
const PER_MILLI: u64 = 3;
/// The most that is kept. A larger store would let a burst of retries hit an upstream that has
/// just failed after a quiet hour.
const MOST: u64 = 30 * RETRY;

/// The retry budget of a node: 10% of its requests plus 3 a second.
///
/// Retries beyond it would multiply the load of an upstream that is already overloaded.
///
/// # Examples
///
/// ```
/// use dogwoodlb_limit::RetryBudget;
/// use dogwoodlb_types::Instant;
///
/// let mut budget = RetryBudget::new(Instant::from_millis(0));
/// for _ in 0..10 {
///     budget.on_request();
/// }
/// assert!(budget.try_retry(Instant::from_millis(0)));
/// assert!(!budget.try_retry(Instant::from_millis(0)));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: u64,
    at: Instant,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub const fn new(now: Instant) -> Self {
        Self { tokens: 0, at: now }
    }

    /// Creates the budget of a node that has been idle, with all that is kept.
    ///
    /// A node that was just started may retry as much as one that has been idle for 10 s.
    pub const fn full(now: Instant) -> Self {
        Self {
            tokens: MOST,
            at: now,
        }
    }

    /// Counts a first attempt; retries don't count.
    pub fn on_request(&mut self) {
        self.add(PER_REQUEST);
    }

    /// Takes one retry from the budget, or returns false if none is left.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        let passed = now.saturating_since(self.at).as_millis();
        let passed = u64::try_from(passed).unwrap_or(u64::MAX);
        self.at = self.at.max(now);
        self.add(passed.saturating_mul(PER_MILLI));
        if self.tokens < RETRY {
            return false;
        }
        self.tokens -= RETRY;
        true
    }

    fn add(&mut self, tokens: u64) {
        self.tokens = self.tokens.saturating_add(tokens).min(MOST);
    }
}
