use dogwoodlb_types::Instant;
use std::time::Duration;

/// How long a value is retained at least; at most it is retained for twice as long. Steps follow
/// each other after a few seconds, and a new replica serves only after its boot time.
const INTERVAL: Duration = Duration::from_secs(8);

/// The largest value in a recent time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peak {
    current: Duration,
    previous: Duration,
    until: Instant,
}

impl Peak {
    pub(crate) fn observe(&mut self, value: Duration, now: Instant) {
        if self.until <= now {
            let is_recent = now.saturating_since(self.until) < INTERVAL;
            let current = std::mem::take(&mut self.current);
            self.previous = if is_recent { current } else { Duration::ZERO };
            self.until = now + INTERVAL;
        }
        self.current = self.current.max(value);
    }

    pub(crate) fn max(&self) -> Duration {
        self.current.max(self.previous)
    }
}
