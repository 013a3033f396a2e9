use std::time::Duration;

/// How long a lease lasts after its last renewal.
pub const TERM: Duration = Duration::from_secs(6);

/// How often the holder renews; two renewals may fail before the lease ends.
pub const RENEWAL: Duration = Duration::from_secs(2);

/// How long each candidate waits for those ranked before it.
pub const STAGGER: Duration = Duration::from_millis(500);

const MARGIN: Duration = Duration::from_millis(200);

/// How long the holder counts on a renewal: the term, less 1% clock-rate error and a margin.
pub const VALIDITY: Duration =
    Duration::from_millis(TERM.as_millis() as u64 * 99 / 100).saturating_sub(MARGIN);

/// How long a candidate must see the lease unchanged: the term, plus 1% and a margin.
pub const WAIT: Duration =
    Duration::from_millis(TERM.as_millis() as u64 * 101 / 100).saturating_add(MARGIN);

/// The pause after a failed request.
pub(crate) const RETRY: Duration = Duration::from_millis(500);

/// How often the first three candidates read.
///
/// Rank r reads every r - 1 intervals, so the reads of all candidates of a lease grow with the
/// logarithm of their number only.
pub(crate) const READ_INTERVAL: Duration = Duration::from_secs(1);
