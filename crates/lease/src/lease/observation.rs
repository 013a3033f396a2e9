//! What a candidate concludes from the rows of a lease.

use super::Lease;
use crate::row::Rows;
use crate::timing::{RANK_DELAY, READ_INTERVAL, TAKEOVER_WAIT};
use crate::view::Holder;
use dogwoodlb_types::{id, Instant};
use std::time::Duration;

/// The versions of both rows and when this combination was first observed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    /// The versions of the fence row and the heartbeat row, both 0 if the rows do not exist.
    pub(super) versions: (u64, u64),
    since: Instant,
    pub(super) fence: id::Fence,
}

impl Lease {
    /// Updates the holder, and for a candidate whether the lease has expired and when to read next.
    pub(super) fn observe(&mut self, now: Instant, started_at: Instant, rows: Option<&Rows>) {
        self.holder = rows.map(|rows| Holder {
            vm: rows.fence.row.vm.clone(),
            incarnation: rows.fence.row.incarnation,
            fence: rows.fence.row.fence,
        });
        if self.held.is_some() {
            return;
        }
        let versions = rows.map_or((0, 0), |rows| (rows.fence.version, rows.heartbeat.version));
        let is_free = rows.is_none_or(|rows| rows.heartbeat.row.released);
        // The rows may have been written right before the reply, so the wait starts at the reply
        // instead of at the start of the read.
        let since = match self.observed {
            Some(observed) if observed.versions == versions => observed.since,
            _ => now,
        };
        let wait = if is_free {
            Duration::ZERO
        } else {
            TAKEOVER_WAIT
        };
        self.observed = Some(Observation {
            versions,
            since,
            fence: rows.map_or(id::Fence(0), |rows| rows.fence.row.fence),
        });
        let rank = u32::try_from(self.rank).unwrap_or(u32::MAX);
        let takeover_at = since + wait + RANK_DELAY.saturating_mul(rank);
        // A held lease must be unchanged for the whole wait, which only a read that started after
        // the wait shows.
        self.takeover_due = takeover_at <= if is_free { now } else { started_at };
        let interval = READ_INTERVAL.saturating_mul(rank.saturating_sub(1).max(1));
        self.next_read = now + interval;
        if !self.takeover_due {
            self.next_read = self.next_read.min(takeover_at.max(now));
        }
    }
}
