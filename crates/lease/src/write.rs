use crate::row::{to_json, Beat, Fence, Rows};
use crate::LeaseName;
use dogwoodlb_external::table::Txn;
use dogwoodlb_types::{id, Instant};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    TakeOver(id::Fence),
    Renew,
    Release,
}

/// A write whose outcome isn't known yet; the same transaction is sent until it is.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub(crate) kind: Kind,
    operation: id::Operation,
    txn: Txn,
    /// When the first copy was sent; a read-back can't tell which copy took effect.
    pub(crate) first_sent: Option<Instant>,
    pub(crate) last_sent: Instant,
}

/// What a read-back tells about a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// The write took effect.
    Applied,
    /// The write didn't take effect yet, but a delayed copy still can.
    Open,
    /// Another write took effect and no copy of this one can any more.
    Beaten,
}

impl Write {
    pub(crate) fn take_over(name: &LeaseName, holder: Fence, seen: (u64, u64)) -> Self {
        let beat = Beat {
            operation: holder.operation,
            released: false,
        };
        let txn = checks(name, seen)
            .put(name.fence_key(), to_json(&holder))
            .put(name.heartbeat_key(), to_json(&beat));
        Self::new(Kind::TakeOver(holder.fence), holder.operation, txn)
    }

    pub(crate) fn beat(
        name: &LeaseName,
        operation: id::Operation,
        released: bool,
        seen: (u64, u64),
    ) -> Self {
        let beat = Beat {
            operation,
            released,
        };
        let kind = if released { Kind::Release } else { Kind::Renew };
        let txn = checks(name, seen).put(name.heartbeat_key(), to_json(&beat));
        Self::new(kind, operation, txn)
    }

    fn new(kind: Kind, operation: id::Operation, txn: Txn) -> Self {
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

    pub(crate) fn judge(&self, rows: Option<&Rows>) -> Verdict {
        let (fence, beat, operation) = match (rows, self.kind) {
            (None, _) => (0, 0, None),
            (Some(rows), Kind::TakeOver(_)) => (
                rows.fence.version,
                rows.beat.version,
                Some(rows.fence.row.operation),
            ),
            (Some(rows), Kind::Renew | Kind::Release) => (
                rows.fence.version,
                rows.beat.version,
                Some(rows.beat.row.operation),
            ),
        };
        if operation == Some(self.operation) {
            Verdict::Applied
        } else if fence == self.txn.checks[0].version && beat == self.txn.checks[1].version {
            Verdict::Open
        } else {
            Verdict::Beaten
        }
    }
}

fn checks(name: &LeaseName, (fence, beat): (u64, u64)) -> Txn {
    Txn::new()
        .check(name.fence_key(), fence)
        .check(name.heartbeat_key(), beat)
}
