use dogwoodlb_external::table::Txn;
use dogwoodlb_types::{id, Instant};

/// Identifies one request to the table service.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RequestId(pub(crate) u64);

/// A request to the table service; each lease has at most one in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Scan the rows with a prefix and pass the result to
    /// [`Lease::on_read`](crate::Lease::on_read).
    Read {
        /// Identifies the request.
        request_id: RequestId,
        /// The key prefix.
        prefix: String,
    },
    /// Commit a transaction and pass the result to
    /// [`Lease::on_commit`](crate::Lease::on_commit).
    Commit {
        /// Identifies the request.
        request_id: RequestId,
        /// The transaction.
        txn: Txn,
    },
}

/// Proof that the lease is held, valid for a limited time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guard {
    /// The fencing token, to include in orders to upstreams.
    pub fence: id::Fence,
    /// The version of the fence row, which data writes must check.
    pub fence_row_version: u64,
    /// When the guard expires unless a renewal succeeds.
    pub expires_at: Instant,
}

/// The holder of a lease when it was last read or written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// The VM of the holder.
    pub vm: id::Vm,
    /// The incarnation of the VM's process.
    pub incarnation: id::Incarnation,
    /// The fencing token.
    pub fence: id::Fence,
}
