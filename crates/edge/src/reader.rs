//! Answers questions about batches at any node.

use crate::archive::{Archive, Error};
use crate::clock;
use crate::known::{Known, Stored};
use crate::peers::Peers;
use crate::protocol::Protocol;
use crate::reply::{self, Body};
use crate::storage::Storage;
use dogwoodlb_batch::{BatchHeader, Outcome};
use dogwoodlb_types::Instant;
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// The text in one answer.
const PAGE_BYTES: usize = 800_000;
/// When a caller should come back whose question can't be answered now.
const COME_BACK: Duration = Duration::from_millis(200);
/// How often a waiting question looks whether the store still answers this node.
const STORE_POLL: Duration = Duration::from_millis(250);

/// Answers questions about batches.
pub(crate) struct Reader {
    pub(crate) archive: Rc<Archive>,
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) known: Rc<Known>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) storage: Rc<Storage>,
}

/// What is known of a batch's results from a position on.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Found {
    /// There is no such batch.
    Nothing,
    /// The number of items in all, and the results.
    Results(u32, Vec<Outcome>),
}

fn unsure(batch: &str, error: &Error) -> Response<Body> {
    tracing::info!(batch, %error, outcome = "unsure", "read_refused");
    reply::refusal("the store does not answer", COME_BACK)
}

fn unknown(batch: &str) -> Response<Body> {
    tracing::info!(batch, outcome = "not_found", "read_refused");
    reply::status(StatusCode::NOT_FOUND, "there is no such batch")
}

impl Reader {
    /// Answers with the results from a position on, and waits for one if there is none.
    pub(crate) async fn results(&self, batch: &str, after: u32, wait: Duration) -> Response<Body> {
        let until = clock::now() + wait;
        let found = match self.own(batch, after, until).await {
            Ok(found) => found,
            Err(error) => {
                let left = until.saturating_since(clock::now());
                match self.peers.ask_results(batch, after, left).await {
                    Some(found) => found,
                    None => return unsure(batch, &error),
                }
            }
        };
        match found {
            Found::Nothing => unknown(batch),
            Found::Results(items, outcomes) => {
                let next = after + u32::try_from(outcomes.len()).unwrap_or(u32::MAX);
                reply::json(self.protocol.encode_results(items, next, &outcomes))
            }
        }
    }

    /// Answers another node; `None` if this one can't tell.
    pub(crate) async fn find(&self, batch: &str, after: u32, wait: Duration) -> Option<Found> {
        let found = self.own(batch, after, clock::now() + wait).await;
        let log = |error: &Error| tracing::info!(batch, %error, "results_not_found");
        found.inspect_err(log).ok()
    }

    /// Finds results in memory or in the store.
    async fn own(&self, batch: &str, after: u32, until: Instant) -> Result<Found, Error> {
        let Some(head) = self.archive.known_head(batch).await? else {
            return Ok(Found::Nothing);
        };
        let head = self.wait_for(batch, head, after, until).await?.value;
        let outcomes = self
            .archive
            .outcomes(batch, after, head.result_count)
            .await?;
        Ok(Found::Results(head.items, page(&outcomes)))
    }

    /// Waits until a batch has more than `after` results; at the end the store has the word,
    /// since the feed may be late. Without the store nothing new would be noticed.
    async fn wait_for(
        &self,
        batch: &str,
        mut head: Stored<BatchHeader>,
        after: u32,
        until: Instant,
    ) -> Result<Stored<BatchHeader>, Error> {
        let mut changes = self.known.changes();
        while head.value.result_count <= after && head.value.result_count < head.value.items {
            let now = clock::now();
            if !self.storage.is_reached(now) {
                return Err(Error::Away(self.storage.away_for(now)));
            }
            let left = until.saturating_since(now);
            if left.is_zero() || self.peers.is_closing() {
                return Ok(self.archive.head(batch).await?.unwrap_or(head));
            }
            // Its end, too, only means to look again.
            let _ = timeout(left.min(STORE_POLL), changes.changed()).await;
            head = self.known.head(batch).unwrap_or(head);
        }
        Ok(head)
    }

    /// Answers with the body of an item.
    pub(crate) async fn body(&self, batch: &str, item: &str) -> Response<Body> {
        let head = match self.archive.known_head(batch).await {
            Ok(Some(head)) => head.value,
            Ok(None) => return unknown(batch),
            Err(error) => return unsure(batch, &error),
        };
        let submission = match self.archive.submission(batch, &head).await {
            Ok(submission) => submission,
            Err(error) => return unsure(batch, &error),
        };
        let mut items = submission.items.iter();
        match items.find(|known| known.id == item) {
            Some(item) => Response::new(reply::whole(item.body.clone().into())),
            None => reply::status(StatusCode::NOT_FOUND, "the batch has no such item"),
        }
    }
}

/// Returns the first results that fit into one answer.
fn page(outcomes: &[Rc<Outcome>]) -> Vec<Outcome> {
    let mut bytes = 0;
    let fits = |outcome: &&Rc<Outcome>| {
        let first = bytes == 0;
        bytes += outcome.text.len() + 256;
        first || bytes <= PAGE_BYTES
    };
    let fitting = outcomes.iter().take_while(fits);
    fitting.map(|outcome| (**outcome).clone()).collect()
}
