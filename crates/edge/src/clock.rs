use dogwoodlb_types::Instant;
use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Returns the time since boot, including the time during which the machine was suspended.
///
/// `CLOCK_MONOTONIC` stops during suspension, so after a resume a node would take outdated state
/// for fresh.
pub(crate) fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let millis = u64::try_from(time.tv_nsec / 1_000_000).unwrap_or_default();
    Instant::from_millis(seconds * 1_000 + millis)
}

/// Returns the wall-clock time in Unix milliseconds, which numbers the incarnations of a process.
pub(crate) fn wall_clock_ms() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::UNIX_EPOCH);
    let since = since.unwrap_or(Duration::ZERO).as_millis();
    u64::try_from(since).unwrap_or(u64::MAX)
}
