use dogwoodlb_types::Instant;

/// Tokens consumed by a retry.
const TOKENS_PER_RETRY: u64 = 1_000;
/// Tokens added by each request: a tenth of a retry.
const TOKENS_PER_REQUEST: u64 = 100;
/// Tokens added per millisecond: 3 retries per second, so that a node with little traffic can
/// still retry.
const TOKENS_PER_MS: u64 = 3;
/// Capacity of the budget. With a larger one, an hour of low traffic would accumulate enough
/// tokens for a burst of retries against an upstream that has just failed.
const MAX_TOKENS: u64 = 30 * TOKENS_PER_RETRY;

/// The retry budget of a node: 10% of its requests plus 3 retries per second.
///
/// The budget keeps retries from multiplying the load on an upstream that is already
/// overloaded.
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
    refilled_at: Instant,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub const fn new(now: Instant) -> Self {
        Self {
            tokens: 0,
            refilled_at: now,
        }
    }

    /// Creates a budget filled to capacity.
    ///
    /// This gives a newly started node the same budget as one that has been idle for 10 s.
    pub const fn full(now: Instant) -> Self {
        Self {
            tokens: MAX_TOKENS,
            refilled_at: now,
        }
    }

    /// Records a first attempt; retries must not be recorded.
    pub fn on_request(&mut self) {
        self.add(TOKENS_PER_REQUEST);
    }

    /// Consumes the tokens for one retry, or returns `false` if the budget is exhausted.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        let elapsed_ms = now.saturating_since(self.refilled_at).as_millis();
        let elapsed_ms = u64::try_from(elapsed_ms).unwrap_or(u64::MAX);
        self.refilled_at = self.refilled_at.max(now);
        self.add(elapsed_ms.saturating_mul(TOKENS_PER_MS));
        if self.tokens < TOKENS_PER_RETRY {
            return false;
        }
        self.tokens -= TOKENS_PER_RETRY;
        true
    }

    fn add(&mut self, tokens: u64) {
        self.tokens = self.tokens.saturating_add(tokens).min(MAX_TOKENS);
    }
}
