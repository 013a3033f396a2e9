use crate::Record;
use dogwoodlb_types::Instant;
use dogwoodlb_weights::{Claim, ClaimHeld, StoreTime, ORDER_WINDOW};
use std::time::Duration;

/// The right of this node to make the calls of a duty, as far as it is known here.
///
/// It addresses a load of a few calls per second that any node has to be able to take over while
/// its predecessor may only be suspended or cut off. There is no lease with renewals: before each
/// call the holder writes a claim to the duty's row, on the condition that the row is unchanged.
/// The version of the written row is the fencing token of the call.
///
/// A claim by another process is in effect until its send window and the lease have passed. That
/// includes an earlier process of the same node, whose last call may still be on its way.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Holder {
    node: String,
    boot: u64,
    lease: Duration,
    row: Option<Row>,
    pending: Option<PendingWrite>,
    /// Whether the outcome of the pending write is unknown, so that the row has to be read.
    is_unsettled: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Row {
    version: u64,
    record: Record,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct PendingWrite {
    record: Record,
    sent: Instant,
}

/// A time, by the clocks that a claim depends on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Moment {
    /// The time of the node's clock, which includes time spent suspended.
    pub local: Instant,
    /// What is known of the store's clock.
    pub store: StoreTime,
    /// An upper bound on the time of the store's clock, in milliseconds.
    pub store_latest_ms: u64,
}

/// The write of a claim.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimWrite {
    /// The version that the row must have; 0 if it must not exist.
    pub expected_version: u64,
    /// The new value of the row.
    pub record: Record,
}

/// The right to send one call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Token {
    /// The fencing token of the call.
    pub fence: u64,
    until: Instant,
}

impl Token {
    /// Returns whether the call may be sent at a time of the node's clock. It has to be asked
    /// immediately before the bytes are written.
    pub fn permits(&self, now: Instant) -> bool {
        now < self.until
    }
}

/// The reason why a claim may not be written now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The claim of another process is in effect for this long.
    Held(Duration),
    /// The outcome of the last write is unknown: the row has to be read first.
    Unsettled,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Held(wait) => write!(f, "another claim holds for {} more ms", wait.as_millis()),
            Self::Unsettled => f.write_str("the outcome of the last claim is unknown"),
        }
    }
}

impl std::error::Error for Refusal {}

impl Holder {
    /// Creates the state of a process that knows no row. `boot` differs between the processes of a
    /// node. The calls of two nodes are at least `lease` apart.
    pub fn new(node: &str, boot: u64, lease: Duration) -> Self {
        Self {
            node: node.to_owned(),
            boot,
            lease,
            row: None,
            pending: None,
            is_unsettled: false,
        }
    }

    /// Returns whether this process holds the duty, as far as it knows.
    pub fn is_holder(&self) -> bool {
        self.row.as_ref().is_some_and(|row| self.is_own(row))
    }

    /// Returns the node that holds the duty, or an empty name if no row is known.
    pub fn holder_name(&self) -> &str {
        let row = self.row.as_ref();
        row.map_or("", |row| row.record.claim.node.as_str())
    }

    /// Returns the progress of the duty, or `None` if no row is known.
    pub fn progress(&self) -> Option<&[u8]> {
        self.row.as_ref().map(|row| row.record.progress.as_slice())
    }

    /// Returns whether the row has to be read, because the outcome of a write is unknown.
    pub fn is_unsettled(&self) -> bool {
        self.is_unsettled
    }

    /// Takes in a version of the row from the change feed or from a conflict. Older ones are
    /// ignored.
    pub fn on_row(&mut self, version: u64, record: Record) {
        if self.row.as_ref().is_none_or(|row| row.version < version) {
            self.row = Some(Row { version, record });
        }
    }

    /// Checks whether a claim may be written, before the work of planning its call.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if not.
    pub fn check(&self, now: &Moment) -> Result<(), Refusal> {
        if self.is_unsettled {
            return Err(Refusal::Unsettled);
        }
        self.check_available(now.store)
            .map_err(|held| Refusal::Held(held.wait))
    }

    /// Returns the write of a claim, after which one of the `on_` functions has to be called with
    /// its outcome. `progress` is the progress of the duty after the write, and `nonce` a random
    /// number.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the claim may not be written now.
    pub fn claim(
        &mut self,
        progress: Vec<u8>,
        nonce: u64,
        now: &Moment,
    ) -> Result<ClaimWrite, Refusal> {
        self.check(now)?;
        let record = Record {
            claim: Claim {
                node: self.node.clone(),
                at_ms: now.store_latest_ms,
            },
            boot: self.boot,
            nonce,
            progress,
        };
        self.pending = Some(PendingWrite {
            record: record.clone(),
            // The send window begins with the write, not with its reply: by the store's clock,
            // others count from a time that is no later.
            sent: now.local,
        });
        Ok(ClaimWrite {
            expected_version: self.row.as_ref().map_or(0, |row| row.version),
            record,
        })
    }

    /// Takes in that the pending write was applied as a version of the row. Returns `None` if no
    /// write was pending.
    pub fn on_written(&mut self, version: u64) -> Option<Token> {
        let pending = self.pending.take()?;
        self.is_unsettled = false;
        self.on_row(version, pending.record);
        Some(Token {
            fence: version,
            until: pending.sent + ORDER_WINDOW,
        })
    }

    /// Takes in that the pending write was not applied and never will be. After a conflict, the row
    /// has to be taken in with [`on_read`](Self::on_read).
    pub fn on_not_written(&mut self) {
        self.pending = None;
        self.is_unsettled = false;
    }

    /// Takes in that the outcome of the pending write is unknown.
    pub fn on_unknown(&mut self) {
        self.is_unsettled = true;
    }

    /// Takes in the row as read from the store after the write. Returns the token of the pending
    /// write if the row shows that it was applied.
    ///
    /// If it was not, it may still be applied later. A claim that is written then has the same
    /// condition, so that only one of the two is applied.
    pub fn on_read(&mut self, row: Option<(u64, Record)>) -> Option<Token> {
        self.is_unsettled = false;
        let Some((version, record)) = row else {
            self.row = None;
            self.pending = None;
            return None;
        };
        let pending = self.pending.as_ref();
        if pending.is_some_and(|pending| pending.record == record) {
            return self.on_written(version);
        }
        self.pending = None;
        self.on_row(version, record);
        None
    }

    fn is_own(&self, row: &Row) -> bool {
        row.record.boot == self.boot && row.record.claim.node == self.node
    }

    fn check_available(&self, now: StoreTime) -> Result<(), ClaimHeld> {
        let Some(row) = &self.row else {
            return Ok(());
        };
        if self.is_own(row) {
            return Ok(());
        }
        // An empty name is that of no node, so that a claim of an earlier process of this node counts
        // as another node's.
        row.record.claim.check_available("", now, self.lease)
    }
}
