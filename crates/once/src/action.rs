use dogwoodlb_external::service::Reply;
use dogwoodlb_external::table::Txn;
use dogwoodlb_types::{id, Refusal};
use std::time::Duration;

/// An action that the I/O driver executes for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read a row and pass the result to [`Call::on_read`](crate::Call::on_read).
    Read {
        /// The key of the row.
        key: String,
        /// The timeout of the table request.
        timeout: Duration,
    },
    /// Commit a transaction and pass the result to [`Call::on_commit`](crate::Call::on_commit).
    Commit {
        /// The transaction.
        txn: Txn,
        /// The operation id in the written row.
        operation: id::Operation,
        /// The timeout of the table request.
        timeout: Duration,
    },
    /// Send the request to an upstream and pass the result to
    /// [`Call::on_dispatch`](crate::Call::on_dispatch).
    ///
    /// The driver may try other upstreams as long as every previous attempt is known not to have
    /// reached its upstream. It reports only the last attempt.
    Dispatch {
        /// The timeout of the upstream request.
        timeout: Duration,
    },
    /// Respond to the caller; each call has exactly one response.
    Respond(Response),
}

/// The response to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Response {
    /// The upstream's reply to this call.
    Reply(Reply),
    /// The stored reply to an earlier call with the same key.
    Replay(Reply),
    /// No reply; the refusal states whether the call may have run.
    Refuse(Refusal),
}
