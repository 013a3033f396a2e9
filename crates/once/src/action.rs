use dogwoodlb_external::service::Reply;
use dogwoodlb_external::table::Txn;
use dogwoodlb_types::{id, Refusal};
use std::time::Duration;

/// What the shell has to do for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read a row, and feed the result to [`Call::on_read`](crate::Call::on_read).
    Read {
        /// The key of the row.
        key: String,
        /// How long to wait for the table.
        timeout: Duration,
    },
    /// Commit a transaction, and feed the result to
    /// [`Call::on_commit`](crate::Call::on_commit).
    Commit {
        /// The transaction.
        txn: Txn,
        /// The operation id that the row written carries.
        operation: id::Operation,
        /// How long to wait for the table.
        timeout: Duration,
    },
    /// Send the request to an upstream, and feed the result to
    /// [`Call::on_dispatch`](crate::Call::on_dispatch).
    ///
    /// The shell may try further upstreams while each attempt is known not to have reached its
    /// upstream. It reports only the last attempt.
    Dispatch {
        /// How long the upstream may take.
        timeout: Duration,
    },
    /// Answer the caller; each call has exactly one answer.
    Respond(Response),
}

/// The answer to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Response {
    /// The upstream's reply to this call.
    Reply(Reply),
    /// The stored reply to an earlier call with the same key.
    Replay(Reply),
    /// No reply; the refusal says whether the call may have run.
    Refuse(Refusal),
}
