//! Model engines.

use crate::Result;
use dogwoodlb_types::{id, Span, Timestamp};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::Duration;

/// A completion request.
#[derive(Clone, Copy, Debug)]
pub struct CompletionRequest<'a> {
    /// The address of the engine.
    pub address: SocketAddr,
    /// The endpoint: `/v1/completions` or `/v1/chat/completions`.
    pub path: &'a str,
    /// The id of the request, which the engine includes in its report.
    pub request_id: &'a str,
    /// The JSON body, which must request a stream.
    pub body: &'a str,
    /// The maximum time to wait for the next event.
    pub idle_timeout: Duration,
    /// The maximum duration of the whole response.
    pub timeout: Duration,
}

/// The report that the engine sends at the end of a completion.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The id of the completed request.
    pub request_id: String,
    /// The weight versions that generated the tokens.
    pub spans: Vec<Span>,
    /// The number of tokens generated.
    pub tokens: u32,
    /// The number of requests waiting in the engine's queue.
    pub queue: u32,
}

/// The load reported by an engine, which may be out of date.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// The number of requests being generated.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The fraction of the KV cache in use, in thousandths.
    pub cache_permille: u32,
}

/// The weights of one model that an engine serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Weights {
    /// The model.
    pub model: id::Model,
    /// The version being served, or `None` after a failed swap.
    pub version: Option<id::Version>,
    /// The version being loaded, if any.
    pub loading: Option<id::Version>,
}

/// The action that an order requests from an engine.
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
    /// Load an adapter in addition to the model.
    LoadAdapter {
        /// The adapter.
        model: id::Model,
        /// The name of the adapter in the weight store.
        object: String,
    },
    /// Switch between the prefill and decode roles.
    ChangeRole {
        /// The new role.
        role: String,
    },
}

/// An order sent to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The id of the order, which makes retries idempotent.
    pub order: id::Operation,
    /// The fencing token of the lease under which the order is sent.
    pub fence: id::Fence,
    /// The expiry time; the engine refuses an expired order.
    pub not_after_ms: Timestamp,
    /// The requested action.
    #[serde(flatten)]
    pub action: Action,
}

/// A model engine.
pub trait Engine: Send + Sync {
    /// Generates a completion and passes the data of each server-sent event to `on_event` as soon
    /// as it arrives.
    ///
    /// Returns after the last event, `[DONE]`, has been passed on. The request is cancelled if
    /// `on_event` returns [`ControlFlow::Break`].
    ///
    /// # Errors
    ///
    /// [`NotSent`](crate::Category::NotSent) if the request didn't reach the engine,
    /// [`Refused`](crate::Category::Refused) if the engine refused it, and
    /// [`Ambiguous`](crate::Category::Ambiguous) if the connection was lost, the stream ended
    /// early, or its report is missing or belongs to another request.
    fn generate(
        &self,
        request: &CompletionRequest<'_>,
        on_event: &mut dyn FnMut(&str) -> ControlFlow<()>,
    ) -> Result<Report>;

    /// Cancels a request.
    ///
    /// # Errors
    ///
    /// Fails if the engine is unreachable or doesn't respond within `timeout`.
    fn cancel(&self, address: SocketAddr, request_id: &str, timeout: Duration) -> Result<()>;

    /// Reads the current load.
    ///
    /// # Errors
    ///
    /// Fails if the engine is unreachable or doesn't respond within `timeout`.
    fn read_load(&self, address: SocketAddr, timeout: Duration) -> Result<Load>;

    /// Reads which weights are served or being loaded.
    ///
    /// # Errors
    ///
    /// Fails if the engine is unreachable or doesn't respond within `timeout`.
    fn read_weights(&self, address: SocketAddr, timeout: Duration) -> Result<Vec<Weights>>;

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// [`Refused`](crate::Category::Refused) if the fencing token is stale or the order
    /// has expired.
    fn send_order(&self, address: SocketAddr, order: &Order, timeout: Duration) -> Result<()>;
}
