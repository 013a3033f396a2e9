use dogwoodlb_types::Instant;
use rand::Rng;
use std::time::Duration;

/// The maximum jitter before the first write after an outage of the table service.
pub const MAX_RECOVERY_JITTER: Duration = Duration::from_secs(2);

/// The time for which requests must fail to count as an outage; a single lost reply does not.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(1);

/// Delays the first write after an outage of the table service by a random jitter, which spreads
/// the writes of all nodes.
///
/// See docs/design.md, section 4.4.
#[derive(Clone, Debug, Default)]
pub struct OutageBackoff {
    failing_since: Option<Instant>,
    jitter_due: bool,
    not_before: Option<Instant>,
}

impl OutageBackoff {
    /// Creates the state for an available service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a failed request.
    pub fn on_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Records a successful request.
    pub fn on_success(&mut self, now: Instant) {
        if let Some(since) = self.failing_since.take() {
            self.jitter_due |= now.saturating_since(since) >= OUTAGE_THRESHOLD;
        }
    }

    /// Returns whether a write may be sent now.
    ///
    /// The first call after an outage chooses a random delay of at most `max_jitter` and
    /// [`MAX_RECOVERY_JITTER`].
    pub fn allows_write(&mut self, now: Instant, max_jitter: Duration, rng: &mut dyn Rng) -> bool {
        if std::mem::take(&mut self.jitter_due) {
            let limit_ms = MAX_RECOVERY_JITTER.min(max_jitter).as_millis() as u64;
            let wait_ms = rng.next_u64() % (limit_ms + 1);
            self.not_before = Some(now + Duration::from_millis(wait_ms));
        }
        self.not_before.is_none_or(|earliest| now >= earliest)
    }
}
