use dogwoodlb_types::{id, Instant};

/// The attempts at one version before a replica is excluded.
pub(crate) const MAX_ATTEMPTS: u32 = 5;

/// What the core knows about one replica.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaState {
    pub(crate) checks_fencing: bool,
    pub(crate) phase: Phase,
    pub(crate) attempts: u32,
    pub(crate) report: Option<Report>,
    pub(crate) last_read: Option<Instant>,
    /// Reports of reads that began earlier say nothing about the last order.
    pub(crate) min_report_start: Instant,
    /// Since when the replica has reported a load that this core did not order.
    pub(crate) external_load_since: Option<Instant>,
    /// The version beyond the target that was reported to the caller.
    pub(crate) newer: Option<id::Version>,
}

/// What a replica reported about the model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Report {
    pub(crate) requested_at: Instant,
    pub(crate) version: Option<id::Version>,
    pub(crate) loading: Option<id::Version>,
}

/// How far the order of a replica has come.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Phase {
    /// No order is open.
    Idle,
    /// The order was handed to the shell, whose result is awaited.
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
    /// The last attempt failed. The operation is kept if the order may have been accepted.
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
            min_report_start: now,
            external_load_since: None,
            newer: None,
        }
    }

    /// Returns whether the replica may be serving less because of a swap.
    pub(crate) fn is_swapping(&self, now: Instant, max_report_age: std::time::Duration) -> bool {
        let is_loading = self.report.is_some_and(|report| report.loading.is_some());
        match self.phase {
            Phase::Sent { .. } | Phase::Loading { .. } => true,
            // A replica that went silent must not hold up the others.
            Phase::Backoff { .. } => self.has_recent_report(now, max_report_age),
            Phase::Idle => is_loading,
            Phase::Excluded => false,
        }
    }

    /// Returns whether the last report is recent.
    pub(crate) fn has_recent_report(
        &self,
        now: Instant,
        max_report_age: std::time::Duration,
    ) -> bool {
        self.report
            .is_some_and(|report| now.saturating_since(report.requested_at) < max_report_age)
    }

    /// Returns whether the replica serves a version at least as new as `version`.
    pub(crate) fn serves(&self, version: id::Version) -> bool {
        self.report
            .is_some_and(|report| report.version >= Some(version) && report.loading.is_none())
    }
}
