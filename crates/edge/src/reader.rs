//! Answers questions about batches at any node.

use crate::batch_store::{BatchStore, Error};
use crate::clock;
use crate::cluster::{ClusterState, Versioned};
use crate::peers::Peers;
use crate::protocol::Protocol;
use crate::reply::{self, Body};
use crate::storage::Storage;
use dogwoodlb_batch::{Head, Outcome};
use dogwoodlb_types::Instant;
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// The text in one answer.
const MAX_PAGE_BYTES: usize = 800_000;
/// When a caller should come back whose question can't be answered now.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// How often a waiting question looks whether the store still answers this node.
const STORE_POLL: Duration = Duration::from_millis(250);

/// Answers questions about batches.
pub(crate) struct BatchReader {
    pub(crate) batch_store: Rc<BatchStore>,
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) cluster: Rc<ClusterState>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) storage: Rc<Storage>,
}

/// What is known of a batch's results from a position on.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Lookup {
    /// There is no such batch.
    NoBatch,
    /// The number of items in all, and the results.
    Results(u32, Vec<Outcome>),
}

fn store_unavailable(batch: &str, error: &Error) -> Response<Body> {
    tracing::info!(batch, %error, outcome = "unsure", "read_refused");
    reply::unavailable("the store does not answer", RETRY_DELAY)
}

fn no_such_batch(batch: &str) -> Response<Body> {
    tracing::info!(batch, outcome = "not_found", "read_refused");
    reply::plain_text(StatusCode::NOT_FOUND, "there is no such batch")
}

impl BatchReader {
    /// Answers with the results from a position on, and waits for one if there is none.
    pub(crate) async fn results(&self, batch: &str, after: u32, wait: Duration) -> Response<Body> {
        let until = clock::now() + wait;
        let found = match self.lookup(batch, after, until).await {
            Ok(found) => found,
            Err(error) => {
                let left = until.saturating_since(clock::now());
                match self.peers.fetch_results(batch, after, left).await {
                    Some(found) => found,
                    None => return store_unavailable(batch, &error),
                }
            }
        };
        match found {
            Lookup::NoBatch => no_such_batch(batch),
            Lookup::Results(items, outcomes) => {
                let next = after + u32::try_from(outcomes.len()).unwrap_or(u32::MAX);
                reply::json(self.protocol.encode_results(items, next, &outcomes))
            }
        }
    }

    /// Answers another node; `None` if this one can't tell.
    pub(crate) async fn lookup_for_peer(
        &self,
        batch: &str,
        after: u32,
        wait: Duration,
    ) -> Option<Lookup> {
        let found = self.lookup(batch, after, clock::now() + wait).await;
        let log = |error: &Error| tracing::info!(batch, %error, "results_not_found");
        found.inspect_err(log).ok()
    }

    /// Finds results in memory or in the store.
    async fn lookup(&self, batch: &str, after: u32, until: Instant) -> Result<Lookup, Error> {
        let Some(head) = self.batch_store.known_head(batch).await? else {
            return Ok(Lookup::NoBatch);
        };
        let head = self
            .wait_for_results(batch, head, after, until)
            .await?
            .value;
        let outcomes = self.batch_store.outcomes(batch, after, head.listed).await?;
        Ok(Lookup::Results(head.items, first_page(&outcomes)))
    }

    /// Waits until a batch has more than `after` results; at the end the store has the word,
    /// since the feed may be late. Without the store nothing new would be noticed.
    async fn wait_for_results(
        &self,
        batch: &str,
        mut head: Versioned<Head>,
        after: u32,
        until: Instant,
    ) -> Result<Versioned<Head>, Error> {
        let mut changes = self.cluster.changes();
        while head.value.listed <= after && head.value.listed < head.value.items {
            let now = clock::now();
            if !self.storage.is_reachable(now) {
                return Err(Error::Away(self.storage.unreachable_for(now)));
            }
            let left = until.saturating_since(now);
            if left.is_zero() || self.peers.is_closing() {
                return Ok(self.batch_store.head(batch).await?.unwrap_or(head));
            }
            // Its end, too, only means to look again.
            let _ = timeout(left.min(STORE_POLL), changes.changed()).await;
            head = self.cluster.head(batch).unwrap_or(head);
        }
        Ok(head)
    }

    /// Answers with the body of an item.
    pub(crate) async fn body(&self, batch: &str, item: &str) -> Response<Body> {
        let head = match self.batch_store.known_head(batch).await {
            Ok(Some(head)) => head.value,
            Ok(None) => return no_such_batch(batch),
            Err(error) => return store_unavailable(batch, &error),
        };
        let submission = match self.batch_store.submission(batch, &head).await {
            Ok(submission) => submission,
            Err(error) => return store_unavailable(batch, &error),
        };
        let mut items = submission.items.iter();
        match items.find(|known| known.id == item) {
            Some(item) => Response::new(reply::full_body(item.body.clone().into())),
            None => reply::plain_text(StatusCode::NOT_FOUND, "the batch has no such item"),
        }
    }
}

/// Returns the first results that fit into one answer.
fn first_page(outcomes: &[Rc<Outcome>]) -> Vec<Outcome> {
    let mut bytes = 0;
    let fits = |outcome: &&Rc<Outcome>| {
        let first = bytes == 0;
        bytes += outcome.text.len() + 256;
        first || bytes <= MAX_PAGE_BYTES
    };
    let fitting = outcomes.iter().take_while(fits);
    fitting.map(|outcome| (**outcome).clone()).collect()
}
