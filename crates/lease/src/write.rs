use crate::row::{to_json, FenceRow, HeartbeatRow, Rows};
use crate::LeaseName;
use dogwoodlb_external::table::Txn;
use dogwoodlb_types::{id, Instant};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteKind {
    TakeOver(id::Fence),
    Renew,
    Release,
}

/// A write with an unknown outcome; the same transaction is sent until the outcome is known.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub(crate) kind: WriteKind,
    operation: id::Operation,
    txn: Txn,
    /// When the first copy was sent. A read-back cannot tell which copy was applied, so the
    /// validity is computed from the first one.
    pub(crate) first_sent: Option<Instant>,
    pub(crate) last_sent: Instant,
}

/// The outcome of a write according to a read-back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteOutcome {
    /// The write was applied.
    Applied,
    /// The write has not been applied, but a delayed copy may still be.
    Undecided,
    /// Another write was applied, so no copy of this one can be applied any more.
    Superseded,
}

impl Write {
    pub(crate) fn take_over(name: &LeaseName, holder: FenceRow, versions: (u64, u64)) -> Self {
        let heartbeat = HeartbeatRow {
            operation: holder.operation,
            released: false,
        };
        let txn = checked_txn(name, versions)
            .put(name.fence_key(), to_json(&holder))
            .put(name.heartbeat_key(), to_json(&heartbeat));
        Self::new(WriteKind::TakeOver(holder.fence), holder.operation, txn)
    }

    pub(crate) fn heartbeat(
        name: &LeaseName,
        operation: id::Operation,
        released: bool,
        versions: (u64, u64),
    ) -> Self {
        let heartbeat = HeartbeatRow {
            operation,
            released,
        };
        let kind = if released {
            WriteKind::Release
        } else {
            WriteKind::Renew
        };
        let txn = checked_txn(name, versions).put(name.heartbeat_key(), to_json(&heartbeat));
        Self::new(kind, operation, txn)
    }

    fn new(kind: WriteKind, operation: id::Operation, txn: Txn) -> Self {
        Self {
            kind,
            operation,
            txn,
            first_sent: None,
            last_sent: Instant::default(),
        }
    }

    pub(crate) fn send(&mut self, now: Instant) -> Txn {
        self.first_sent.get_or_insert(now);
        self.last_sent = now;
        self.txn.clone()
    }

    pub(crate) fn outcome(&self, rows: Option<&Rows>) -> WriteOutcome {
        let (fence_version, heartbeat_version, operation) = match (rows, self.kind) {
            (None, _) => (0, 0, None),
            (Some(rows), WriteKind::TakeOver(_)) => (
                rows.fence.version,
                rows.heartbeat.version,
                Some(rows.fence.row.operation),
            ),
            (Some(rows), WriteKind::Renew | WriteKind::Release) => (
                rows.fence.version,
                rows.heartbeat.version,
                Some(rows.heartbeat.row.operation),
            ),
        };
        if operation == Some(self.operation) {
            WriteOutcome::Applied
        } else if fence_version == self.txn.checks[0].version
            && heartbeat_version == self.txn.checks[1].version
        {
            WriteOutcome::Undecided
        } else {
            WriteOutcome::Superseded
        }
    }
}

/// Returns a transaction that checks the versions of the fence row and the heartbeat row, in this
/// order.
fn checked_txn(name: &LeaseName, (fence_version, heartbeat_version): (u64, u64)) -> Txn {
    Txn::new()
        .check(name.fence_key(), fence_version)
        .check(name.heartbeat_key(), heartbeat_version)
}
