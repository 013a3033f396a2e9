use dogwoodlb_external::table::Txn;
use dogwoodlb_types::{id, Instant};

/// Identifies one request to the table service.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RequestId(pub(crate) u64);

/// A request to the table service; at most one of a lease is in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Scan the rows with a prefix and call [`Lease::on_read`](crate::Lease::on_read).
    Read {
        /// Identifies the request.
        request_id: RequestId,
        /// The prefix of the keys.
        prefix: String,
    },
    /// Carry out a transaction and call [`Lease::on_commit`](crate::Lease::on_commit).
    Commit {
        /// Identifies the request.
        request_id: RequestId,
        /// The transaction.
        txn: Txn,
    },
}

/// The right to act for a lease, valid for a limited time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guard {
    /// The fencing number, which orders to upstreams carry.
    pub fence: id::Fence,
    /// The version of the fence row, which data writes require.
    pub row_version: u64,
    /// When the right ends unless a renewal succeeds.
    pub expires_at: Instant,
}

/// Who held a lease when it was last read or written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// The VM.
    pub vm: id::Vm,
    /// The run of the VM's process.
    pub incarnation: id::Incarnation,
    /// The fencing number.
    pub fence: id::Fence,
}
