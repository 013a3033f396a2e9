//! Model engines.

use crate::Result;
use dogwoodlb_types::{id, Span, Timestamp};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::Duration;

/// A request for a completion.
#[derive(Clone, Copy, Debug)]
pub struct CompletionRequest<'a> {
    /// The address of the engine.
    pub upstream: SocketAddr,
    /// The endpoint: `/v1/completions` or `/v1/chat/completions`.
    pub path: &'a str,
    /// The id of the request, which the engine repeats in its report.
    pub request_id: &'a str,
    /// The JSON body; it asks for a stream.
    pub body: &'a str,
    /// How long to wait for the next event.
    pub idle_timeout: Duration,
    /// How long the whole answer may take.
    pub timeout: Duration,
}

/// What the engine reports at the end of a completion.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The id of the request that the engine answered.
    pub request_id: String,
    /// The weight versions that produced the tokens.
    pub spans: Vec<Span>,
    /// The number of tokens generated.
    pub tokens: u32,
    /// The number of requests that wait in the engine.
    pub queue: u32,
}

/// The load that an engine reports; it lags behind reality.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// The requests being generated.
    pub running: u32,
    /// The requests that wait.
    pub waiting: u32,
    /// The share of the KV cache in use, in thousandths.
    pub cache_permille: u32,
}

/// The weights that an engine serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Weights {
    /// The model.
    pub model: id::Model,
    /// The version being served, or none after a swap that failed.
    pub version: Option<id::Version>,
    /// The version being loaded.
    pub loading: Option<id::Version>,
}

/// What an order asks of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Action {
    /// Serve a version of a model's weights.
    LoadVersion {
        /// The model.
        model: id::Model,
        /// The version.
        version: id::Version,
        /// The name of the weights in the weight store.
        object: String,
    },
    /// Load an adapter beside the model.
    LoadAdapter {
        /// The adapter.
        model: id::Model,
        /// The name of the adapter in the weight store.
        object: String,
    },
    /// Change between prefill and decode work.
    ChangeRole {
        /// The role.
        role: String,
    },
}

/// An order to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The id of the order; the repetition of an order has no further effect.
    pub order: id::Operation,
    /// The fencing number of the lease that gives the right to order.
    pub fence: id::Fence,
    /// When the order expires; an expired order is not carried out.
    pub not_after_ms: Timestamp,
    /// What to do.
    #[serde(flatten)]
    pub action: Action,
}

/// A model engine.
pub trait Engine: Send + Sync {
    /// Generates a completion and forwards each server-sent event's data as it comes.
    ///
    /// Returns after the last event, `[DONE]`, was forwarded. The stream is cancelled when
    /// `on_event` breaks.
    ///
    /// # Errors
    ///
    /// [`NotSent`](crate::Category::NotSent) if the engine can't have started,
    /// [`Refused`](crate::Category::Refused) if it answered that it didn't, and
    /// [`Ambiguous`](crate::Category::Ambiguous) if the stream broke or ended early or its
    /// report is missing or belongs to another request.
    fn generate(
        &self,
        request: &CompletionRequest<'_>,
        on_event: &mut dyn FnMut(&str) -> ControlFlow<()>,
    ) -> Result<Report>;

    /// Cancels a request.
    ///
    /// # Errors
    ///
    /// Fails if the engine can't be reached or doesn't answer in time.
    fn cancel(&self, upstream: SocketAddr, request_id: &str, timeout: Duration) -> Result<()>;

    /// Reads the load.
    ///
    /// # Errors
    ///
    /// Fails if the engine can't be reached or doesn't answer in time.
    fn read_load(&self, upstream: SocketAddr, timeout: Duration) -> Result<Load>;

    /// Reads which weights the engine serves.
    ///
    /// # Errors
    ///
    /// Fails if the engine can't be reached or doesn't answer in time.
    fn read_weights(&self, upstream: SocketAddr, timeout: Duration) -> Result<Vec<Weights>>;

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// [`Refused`](crate::Category::Refused) if the fencing number is old or the order expired.
    fn send_order(&self, upstream: SocketAddr, order: &Order, timeout: Duration) -> Result<()>;
}
