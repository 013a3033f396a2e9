use dogwoodlb_types::Instant;

/// The bucket counts in thousandths of a token.
const MILLI_PER_TOKEN: u64 = 1_000;

/// A token bucket that limits the rate of starts.
///
/// It is initially empty, because a previous holder may have just used the whole burst.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens_per_s: u64,
    capacity_milli: u64,
    tokens_milli: u64,
    refilled_at: Option<Instant>,
}

impl TokenBucket {
    pub(crate) fn new(tokens_per_s: u32, burst: u32) -> Self {
        Self {
            tokens_per_s: u64::from(tokens_per_s),
            capacity_milli: u64::from(burst.max(1)) * MILLI_PER_TOKEN,
            tokens_milli: 0,
            refilled_at: None,
        }
    }

    pub(crate) fn refill(&mut self, now: Instant) {
        let refilled_at = self.refilled_at.replace(now).unwrap_or(now);
        let elapsed_ms = now.as_millis().saturating_sub(refilled_at.as_millis());
        // One token per second is one milli-token per millisecond.
        let gained = elapsed_ms.saturating_mul(self.tokens_per_s);
        self.tokens_milli = self
            .tokens_milli
            .saturating_add(gained)
            .min(self.capacity_milli);
    }

    pub(crate) fn take(&mut self) -> bool {
        if self.tokens_milli < MILLI_PER_TOKEN {
            return false;
        }
        self.tokens_milli -= MILLI_PER_TOKEN;
        true
    }

    pub(crate) fn clear(&mut self) {
        self.tokens_milli = 0;
    }
}
