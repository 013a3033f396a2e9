use dogwoodlb_types::{id, Instant};

/// Number of failed attempts at a version after which a replica is excluded.
pub(crate) const MAX_ATTEMPTS: u32 = 5;

/// The state of one replica.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaState {
    pub(crate) checks_fencing: bool,
    pub(crate) phase: Phase,
    /// The number of failed attempts at the target version.
    pub(crate) attempts: u32,
    pub(crate) report: Option<Report>,
    /// When the last read was requested from the I/O driver.
    pub(crate) last_read: Option<Instant>,
    /// Reads sent before this instant may not reflect the last order.
    pub(crate) min_requested_at: Instant,
    /// When the replica first reported a load that was not ordered by this instance.
    pub(crate) external_load_since: Option<Instant>,
    /// The version newer than the target that was last reported to the I/O driver.
    pub(crate) newer: Option<id::Version>,
}

/// The versions of the model reported by a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Report {
    pub(crate) requested_at: Instant,
    pub(crate) version: Option<id::Version>,
    pub(crate) loading: Option<id::Version>,
}

/// The progress of a replica's order.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Phase {
    /// No order is pending.
    Idle,
    /// The order was passed to the I/O driver, and its result is pending.
    Sent {
        operation: id::Operation,
        version: id::Version,
        at: Instant,
    },
    /// The replica accepted the order.
    Loading {
        version: id::Version,
        since: Instant,
    },
    /// The last attempt failed. `operation` is set if the order may have been accepted.
    Backoff {
        until: Instant,
        operation: Option<id::Operation>,
    },
    /// All attempts failed.
    Excluded,
}

impl ReplicaState {
    pub(crate) const fn new(checks_fencing: bool, now: Instant) -> Self {
        Self {
            checks_fencing,
            phase: Phase::Idle,
            attempts: 0,
            report: None,
            last_read: None,
            min_requested_at: now,
            external_load_since: None,
            newer: None,
        }
    }

    /// Returns whether the replica's serving capacity may be reduced by a swap.
    pub(crate) fn is_swapping(&self, now: Instant, max_report_age: std::time::Duration) -> bool {
        let is_loading = self.report.is_some_and(|report| report.loading.is_some());
        match self.phase {
            Phase::Sent { .. } | Phase::Loading { .. } => true,
            // An unresponsive replica must not hold up the others.
            Phase::Backoff { .. } => self.has_recent_report(now, max_report_age),
            Phase::Idle => is_loading,
            Phase::Excluded => false,
        }
    }

    /// Returns whether the last report is younger than `max_report_age`.
    pub(crate) fn has_recent_report(
        &self,
        now: Instant,
        max_report_age: std::time::Duration,
    ) -> bool {
        self.report
            .is_some_and(|report| now.saturating_since(report.requested_at) < max_report_age)
    }

    /// Returns whether the replica serves `version` or a newer one.
    pub(crate) fn serves(&self, version: id::Version) -> bool {
        self.report
            .is_some_and(|report| report.version >= Some(version) && report.loading.is_none())
    }
}
