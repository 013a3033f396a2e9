use std::time::Duration;

/// The time after the last renewal at which a lease expires.
pub const LEASE_TTL: Duration = Duration::from_secs(6);

/// The interval between renewals; two renewals may fail before the lease expires.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// The additional wait of a candidate per candidate ranked before it.
pub const RANK_DELAY: Duration = Duration::from_millis(500);

/// The margin on both sides of the TTL, in addition to the clock-rate error.
const SAFETY_MARGIN: Duration = Duration::from_millis(200);

/// The time for which a renewal is valid for the holder: the TTL less 1% clock-rate error and the
/// safety margin.
pub const HOLDER_VALIDITY: Duration =
    Duration::from_millis(LEASE_TTL.as_millis() as u64 * 99 / 100).saturating_sub(SAFETY_MARGIN);

/// The time for which a candidate must see the lease unchanged before a takeover: the TTL plus 1%
/// clock-rate error and the safety margin.
pub const TAKEOVER_WAIT: Duration =
    Duration::from_millis(LEASE_TTL.as_millis() as u64 * 101 / 100).saturating_add(SAFETY_MARGIN);

/// The delay after a failed request or an invalid reply.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The interval at which the candidates of rank 0 to 2 read the rows.
///
/// A higher rank r reads every r - 1 intervals, so the read rate of all candidates of a lease
/// grows only logarithmically with their number.
pub(crate) const READ_INTERVAL: Duration = Duration::from_secs(1);
