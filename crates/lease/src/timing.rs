use std::time::Duration;

/// How long a lease lasts after its last renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(6);

/// How often the holder renews; two renewals may fail before the lease ends.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// How long each candidate waits for those ranked before it.
pub const RANK_DELAY: Duration = Duration::from_millis(500);

const SAFETY_MARGIN: Duration = Duration::from_millis(200);

/// How long the holder counts on a renewal: the term, less 1% clock-rate error and a margin.
pub const HOLDER_VALIDITY: Duration =
    Duration::from_millis(LEASE_TTL.as_millis() as u64 * 99 / 100).saturating_sub(SAFETY_MARGIN);

/// How long a candidate must see the lease unchanged: the term, plus 1% and a margin.
pub const TAKEOVER_WAIT: Duration =
    Duration::from_millis(LEASE_TTL.as_millis() as u64 * 101 / 100).saturating_add(SAFETY_MARGIN);

/// The pause after a failed request.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(500);

/// How often the first three candidates read.
///
/// Rank r reads every r - 1 intervals, so the reads of all candidates of a lease grow with the
/// logarithm of their number only.
pub(crate) const READ_INTERVAL: Duration = Duration::from_secs(1);
