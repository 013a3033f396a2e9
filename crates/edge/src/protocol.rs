//! The interface to the platform's wire protocol.
//!
//! The node contains none of the platform's names, paths or formats. A [`Protocol`] decodes
//! received messages into the types of this project and encodes the messages to send.

use bytes::Bytes;
use dogwoodlb_batch::{Item, Outcome, PromptPart, Submission};
use dogwoodlb_config::Snapshot;
use dogwoodlb_directory::{Entry, Weights};
use hyper::header::HeaderName;
use hyper::http::request::Parts;
use hyper::Uri;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum length of the reason in an error.
const MAX_CAUSE_CHARS: usize = 200;

/// A received message could not be decoded.
#[derive(Debug, thiserror::Error)]
#[error("malformed {what}: {cause}")]
pub struct DecodeError {
    what: &'static str,
    cause: String,
}

impl DecodeError {
    /// Creates an error. `what` is the kind of message expected. Only the beginning of `cause` is
    /// kept, since it may quote a value of any length and is logged.
    pub fn new(what: &'static str, cause: impl Display) -> Self {
        let cause = cause.to_string();
        let cause = cause.chars().take(MAX_CAUSE_CHARS).collect();
        Self { what, cause }
    }
}

/// The names of the headers that the node reads and sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id of a request, echoed by replicas.
    pub request_id: HeaderName,
    /// The time until the caller's deadline in milliseconds.
    pub deadline_ms: HeaderName,
    /// The replica that a request is addressed to.
    pub instance: HeaderName,
    /// Set by a replica that did not run the request.
    pub not_run: HeaderName,
    /// The replica's signature of its response.
    pub signature: HeaderName,
    /// The weight version that generates the output.
    pub weight_version: HeaderName,
    /// The id of the last event received, from which a stream resumes.
    pub last_event: HeaderName,
    /// Set by a replica that is leaving, in all its responses.
    pub leaving: HeaderName,
    /// The organisation of the caller, which only the node sets.
    pub organisation: HeaderName,
    /// The urgency of a request to an engine, from 0 to 9; 0 is the most urgent.
    pub priority: HeaderName,
    /// The node that makes a call to the provider.
    pub duty_holder: HeaderName,
    /// The fencing token of a call to the provider.
    pub fence: HeaderName,
}

/// The kinds of requests that callers send to a front address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// Reads the results of a batch from a position on.
    Results {
        /// The id of the batch.
        batch: String,
        /// The number of results that the caller has already read, which is the position of the
        /// first result to return.
        after: u32,
        /// How long the caller waits for a result.
        wait: Duration,
    },
    /// Reads the body of an item.
    ItemBody {
        /// The id of the batch.
        batch: String,
        /// The id of the item.
        item: String,
    },
    /// Ends a batch.
    EndBatch {
        /// The id of the batch.
        batch: String,
    },
    /// Any other request. It is dispatched by the route of its host and path.
    Route,
}

/// The location of a caller that asks for addresses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressQuery {
    /// The caller's region.
    pub region: String,
    /// The caller's data centre.
    pub centre: String,
}

/// A decoded row of the operator's table.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRow {
    /// A configuration.
    Configuration(Snapshot),
    /// The newest weight version of a model.
    Version {
        /// The name of the model.
        model: String,
        /// The weight version.
        version: u64,
    },
}

/// The status that a replica reports on request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplicaStatus {
    /// The loaded weights.
    pub models: Vec<Weights>,
    /// Whether the replica is executing an order.
    pub busy: bool,
    /// The number of orders accepted so far.
    pub accepted_orders: u64,
}

/// An order to the provider: how many replicas of one kind a service has in a data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplicaOrder<'a> {
    /// The service.
    pub service: &'a str,
    /// The data centre.
    pub centre: &'a str,
    /// The wanted number of replicas of this kind.
    pub count: u32,
    /// Whether the order is for spot replicas.
    pub is_spot: bool,
}

/// An order to load a weight version of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadOrder<'a> {
    /// The name of the model.
    pub model: &'a str,
    /// The weight version.
    pub version: u64,
    /// Whether running requests finish with the old weights before the change.
    pub finish_runs: bool,
    /// The name of the node that sends the order.
    pub holder: &'a str,
    /// The fencing token.
    pub fence: u64,
    /// The number of orders that the replica must have accepted before this one.
    pub expected_orders: u64,
}

/// Encodes and decodes the platform's messages.
pub trait Protocol {
    /// Returns the header names.
    fn headers(&self) -> &HeaderNames;

    /// Classifies a request to a front address.
    fn classify(&self, head: &Parts) -> RequestKind;

    /// Decodes a request for addresses. Returns `None` if the path is a different one.
    fn address_query(&self, uri: &Uri) -> Option<AddressQuery>;

    /// Returns whether a request is a readiness probe.
    fn is_readiness_probe(&self, uri: &Uri) -> bool;

    /// Encodes a list of addresses and its time to live.
    fn encode_addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Decodes a submitted batch.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for the first invalid field.
    fn decode_submission(
        &self,
        id: &str,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Submission, DecodeError>;

    /// Returns the parts of an item's prompt that requests share, in their order in the prompt. It
    /// is empty if the item states none.
    fn prompt_parts(&self, item: &Item) -> Vec<PromptPart>;

    /// Encodes a page of results. `next` is the position after the last one.
    fn encode_results(&self, total: u32, next: u32, outcomes: &[Outcome]) -> Bytes;

    /// Returns the name of the operator's table.
    fn operator_table(&self) -> &str;

    /// Returns the name of the table in which replicas register.
    fn replica_table(&self) -> &str;

    /// Decodes a row of the operator's table. Returns `None` for rows of an unknown kind.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for the first invalid field.
    fn decode_operator_row(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<Option<OperatorRow>, DecodeError>;

    /// Decodes the entry of a replica.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for the first invalid field.
    fn decode_replica_entry(&self, value: &[u8]) -> Result<Entry, DecodeError>;

    /// Returns the path at which replicas report their status.
    fn status_path(&self) -> &str;

    /// Decodes the status of a replica.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for the first invalid field.
    fn decode_status(&self, body: &[u8]) -> Result<ReplicaStatus, DecodeError>;

    /// Returns the path and the body of an order.
    fn encode_order(&self, order: &LoadOrder<'_>) -> (&str, Bytes);

    /// Returns the path and the body of a usage report to the provider. `window` is the number of
    /// the reporting window; `counts` has the requests of each organisation that began in it.
    fn encode_usage(&self, window: u64, counts: &BTreeMap<String, u64>) -> (&str, Bytes);

    /// Returns the path and the body of an order of replicas from the provider.
    fn encode_replica_order(&self, order: &ReplicaOrder<'_>) -> (&str, Bytes);
}
