use dogwoodlb_types::Instant;
use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Returns the time since the machine started, which goes on while the machine is suspended.
///
/// A node that slept must not take what it knew before for fresh, so that the monotonic clock,
/// which stands still meanwhile, doesn't serve.
pub(crate) fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let millis = u64::try_from(time.tv_nsec / 1_000_000).unwrap_or_default();
    Instant::from_millis(seconds * 1_000 + millis)
}

/// Returns the civil time, which numbers the runs of a process.
pub(crate) fn wall_clock_ms() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::UNIX_EPOCH);
    let since = since.unwrap_or(Duration::ZERO).as_millis();
    u64::try_from(since).unwrap_or(u64::MAX)
}
