use dogwoodlb_types::Instant;

const MILLI: u64 = 1_000;

/// A token bucket for starts.
///
/// It starts empty, because an earlier holder may just have used the whole burst.
#[derive(Clone, Debug)]
pub(crate) struct Rate {
    per_s: u64,
    burst_milli: u64,
    milli: u64,
    last: Option<Instant>,
}

impl Rate {
    pub(crate) fn new(per_s: u32, burst: u32) -> Self {
        Self {
            per_s: u64::from(per_s),
            burst_milli: u64::from(burst.max(1)) * MILLI,
            milli: 0,
            last: None,
        }
    }

    pub(crate) fn refill(&mut self, now: Instant) {
        let last = self.last.replace(now).unwrap_or(now);
        let elapsed_ms = now.as_millis().saturating_sub(last.as_millis());
        // One token per second is one thousandth of a token per millisecond.
        let gained = elapsed_ms.saturating_mul(self.per_s);
        self.milli = self.milli.saturating_add(gained).min(self.burst_milli);
    }

    pub(crate) fn take(&mut self) -> bool {
        if self.milli < MILLI {
            return false;
        }
        self.milli -= MILLI;
        true
    }

    pub(crate) fn empty(&mut self) {
        self.milli = 0;
    }
}
