use dogwoodlb_types::{Clock, Instant, Timestamp};
use std::time::{SystemTime, UNIX_EPOCH};

/// The monotonic and wall clocks of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    origin: std::time::Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts at one second.
    ///
    /// Zero is reserved for times before the process started.
    pub fn new() -> Self {
        Self {
            origin: std::time::Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        let elapsed = u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX);
        Instant::from_millis(elapsed.saturating_add(1000))
    }

    fn timestamp(&self) -> Timestamp {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Timestamp::from_millis(i64::try_from(since.as_millis()).unwrap_or(i64::MAX))
    }
}
