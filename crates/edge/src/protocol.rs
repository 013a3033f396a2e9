//! What the platform's own manner of speaking has to give the node.
//!
//! The node knows no name, path or format of the platform. It asks a [`Protocol`], which
//! decodes what arrives into the project's own types and encodes what is sent.

use bytes::Bytes;
use dogwoodlb_batch::{Outcome, Submission};
use dogwoodlb_config::Snapshot;
use dogwoodlb_directory::{Entry, Weights};
use hyper::header::HeaderName;
use hyper::http::request::Parts;
use hyper::Uri;
use std::net::SocketAddr;
use std::time::Duration;

/// Something that was received can't be understood.
#[derive(Debug, thiserror::Error)]
#[error("malformed {what}: {cause}")]
pub struct DecodeError {
    /// What it was taken for.
    pub what: &'static str,
    /// What is wrong with it.
    pub cause: String,
}

/// The names of the headers that the node reads and sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id of a request, echoed by replicas.
    pub request_id: HeaderName,
    /// The milliseconds that the caller still waits.
    pub deadline_ms: HeaderName,
    /// The replica that a request is meant for.
    pub instance: HeaderName,
    /// A replica's statement that it did not run the request.
    pub not_run: HeaderName,
    /// The signature of a replica under its answer.
    pub signature: HeaderName,
    /// The version of the weights that generate.
    pub weight_version: HeaderName,
    /// The last event that is known.
    pub last_event: HeaderName,
}

/// What a caller asks of a front address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// The results of a batch from a position on.
    Results {
        /// The batch.
        batch: String,
        /// The position.
        after: u32,
        /// How long the caller waits for a result.
        wait: Duration,
    },
    /// The body of an item.
    ItemBody {
        /// The batch.
        batch: String,
        /// The item.
        item: String,
    },
    /// The end of a batch.
    EndBatch {
        /// The batch.
        batch: String,
    },
    /// A request for a route.
    Route,
}

/// Where a caller that asks for addresses is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressQuery {
    /// The region.
    pub region: String,
    /// The data centre.
    pub centre: String,
}

/// A row that the operator wrote.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRow {
    /// The configuration.
    Configuration(Snapshot),
    /// The newest weight version of a model.
    Version {
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
}

/// What a replica reports of itself when it is asked.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplicaStatus {
    /// The weights that it holds.
    pub models: Vec<Weights>,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// The number of orders that it has accepted.
    pub accepted_orders: u64,
}

/// An order to load a version of a model's weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadOrder<'a> {
    /// The model.
    pub model: &'a str,
    /// The version.
    pub version: u64,
    /// Whether runs finish under the old weights before the change.
    pub finish_runs: bool,
    /// The node that orders.
    pub holder: &'a str,
    /// The fencing token.
    pub fence: u64,
    /// The number of orders that the replica must have accepted before.
    pub expected_orders: u64,
}

/// The platform's manner of speaking.
pub trait Protocol {
    /// Returns the names of the headers.
    fn headers(&self) -> &HeaderNames;

    /// Tells what a request to a front address asks for.
    fn classify(&self, head: &Parts) -> RequestKind;

    /// Decodes a question for addresses, or returns `None` for another path.
    fn address_query(&self, uri: &Uri) -> Option<AddressQuery>;

    /// Returns whether a path asks whether the node is ready.
    fn is_readiness_probe(&self, uri: &Uri) -> bool;

    /// Encodes the addresses that callers may use, and for how long.
    fn encode_addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Decodes a batch.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] with the first fault.
    fn decode_submission(
        &self,
        id: &str,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Submission, DecodeError>;

    /// Encodes results; `next` is the position after the last one.
    fn encode_results(&self, total: u32, next: u32, outcomes: &[Outcome]) -> Bytes;

    /// Returns the table that the operator writes.
    fn operator_table(&self) -> &str;

    /// Returns the table in which replicas register.
    fn replica_table(&self) -> &str;

    /// Decodes a row of the operator, or returns `None` for a row that is none of its own.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] with the first fault.
    fn decode_operator_row(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<Option<OperatorRow>, DecodeError>;

    /// Decodes a replica's entry.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] with the first fault.
    fn decode_replica_entry(&self, value: &[u8]) -> Result<Entry, DecodeError>;

    /// Returns the path at which a replica reports.
    fn status_path(&self) -> &str;

    /// Decodes a replica's report.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] with the first fault.
    fn decode_status(&self, body: &[u8]) -> Result<ReplicaStatus, DecodeError>;

    /// Returns the path and the body of an order.
    fn encode_order(&self, order: &LoadOrder<'_>) -> (&str, Bytes);
}
