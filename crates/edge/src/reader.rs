//! Serves reads of batches, on any node.

use crate::batch_store::{BatchStore, Error};
use crate::clock;
use crate::cluster::ClusterState;
use crate::identity::Caller;
use crate::peers::Peers;
use crate::protocol::Protocol;
use crate::reply::{self, Body};
use crate::storage::Storage;
use dogwoodlb_batch::{BatchHeader, Outcome};
use dogwoodlb_mirror::Versioned;
use dogwoodlb_types::Instant;
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// The maximum estimated size of one page of results.
const MAX_PAGE_BYTES: usize = 800_000;
/// The estimated size of an outcome in a page, without its text.
const OUTCOME_OVERHEAD_BYTES: usize = 256;
/// The retry-after time while the store can't be reached.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// The interval at which a waiting request checks whether the store can still be reached.
const STORE_POLL: Duration = Duration::from_millis(250);

/// Serves reads of batches.
pub(crate) struct BatchReader {
    pub(crate) batch_store: Rc<BatchStore>,
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) cluster: Rc<ClusterState>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) storage: Rc<Storage>,
}

/// The result of looking up a batch.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Lookup {
    /// The batch does not exist.
    NoBatch,
    /// The total number of items, and the outcomes from the requested position on.
    Results(u32, Vec<Outcome>),
}

pub(crate) fn store_unavailable(batch: &str, error: &Error) -> Response<Body> {
    tracing::info!(batch, %error, outcome = "store_unavailable", "read_refused");
    reply::unavailable("the store does not answer", RETRY_AFTER)
}

fn no_such_batch(batch: &str) -> Response<Body> {
    tracing::info!(batch, outcome = "not_found", "read_refused");
    reply::plain_text(StatusCode::NOT_FOUND, "there is no such batch")
}

impl BatchReader {
    /// Returns the results from a position on. Waits for a new result if there is none yet.
    pub(crate) async fn results(
        &self,
        batch: &str,
        caller: &Caller,
        after: u32,
        wait: Duration,
    ) -> Response<Body> {
        let until = clock::now() + wait;
        let found = match self.lookup(batch, caller, after, until).await {
            Ok(found) => found,
            Err(error) => {
                let left = until.saturating_since(clock::now());
                match self.peers.fetch_results(batch, caller, after, left).await {
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

    /// Looks up results for another node. Returns `None` if this node can't reach the store, or if
    /// the batch has an organisation and the other node does not know the one of its caller yet.
    pub(crate) async fn lookup_for_peer(
        &self,
        batch: &str,
        caller: &Caller,
        after: u32,
        wait: Duration,
    ) -> Option<Lookup> {
        let (caller, is_verified) = self.cluster.verify_relayed(caller);
        let found = self.lookup(batch, &caller, after, clock::now() + wait);
        let log = |error: &Error| tracing::info!(batch, %error, "peer_lookup_failed");
        let found = found.await.inspect_err(log).ok();
        found.filter(|found| is_verified || !matches!(found, Lookup::NoBatch))
    }

    /// Looks up results in memory or in the store.
    async fn lookup(
        &self,
        batch: &str,
        caller: &Caller,
        after: u32,
        until: Instant,
    ) -> Result<Lookup, Error> {
        let may_read = |header: &Versioned<BatchHeader>| {
            let organisation = header.value.organisation.as_deref();
            caller.may_access(organisation)
        };
        let header = self.batch_store.header(batch).await?;
        let Some(header) = header.filter(may_read) else {
            return Ok(Lookup::NoBatch);
        };
        let header = self.wait_for_results(batch, header, after, until).await?;
        // Meanwhile the batch may have been removed, and its id used by another organisation.
        if !may_read(&header) {
            return Ok(Lookup::NoBatch);
        }
        let header = header.value;
        let outcomes = self
            .batch_store
            .outcomes(batch, after, header.result_count)
            .await?;
        Ok(Lookup::Results(header.item_count, first_page(&outcomes)))
    }

    /// Waits until a batch has more than `after` results. At the deadline the header is read from
    /// the store, since the change feed may lag. Fails if the store can't be reached, since new
    /// results would go unnoticed.
    async fn wait_for_results(
        &self,
        batch: &str,
        mut header: Versioned<BatchHeader>,
        after: u32,
        until: Instant,
    ) -> Result<Versioned<BatchHeader>, Error> {
        let mut changes = self.cluster.changes();
        while header.value.result_count <= after
            && header.value.result_count < header.value.item_count
        {
            let now = clock::now();
            if !self.storage.is_reachable(now) {
                return Err(Error::Unreachable(self.storage.unreachable_for(now)));
            }
            let left = until.saturating_since(now);
            if left.is_zero() || self.peers.is_closing() {
                return Ok(self.batch_store.read_header(batch).await?.unwrap_or(header));
            }
            // After a time-out the conditions are checked again, as after a change.
            let _ = timeout(left.min(STORE_POLL), changes.changed()).await;
            header = self.cluster.batch_header(batch).unwrap_or(header);
        }
        Ok(header)
    }

    /// Returns the body of an item.
    pub(crate) async fn body(&self, batch: &str, caller: &Caller, item: &str) -> Response<Body> {
        let header = match self.batch_store.header(batch).await {
            Ok(Some(Versioned { value, .. }))
                if caller.may_access(value.organisation.as_deref()) =>
            {
                value
            }
            Ok(_) => return no_such_batch(batch),
            Err(error) => return store_unavailable(batch, &error),
        };
        let submission = match self.batch_store.submission(batch, &header).await {
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

/// Returns the first outcomes that fit into one page.
fn first_page(outcomes: &[Rc<Outcome>]) -> Vec<Outcome> {
    let mut bytes = 0;
    let fits = |outcome: &&Rc<Outcome>| {
        let first = bytes == 0;
        bytes += outcome.text.len() + OUTCOME_OVERHEAD_BYTES;
        first || bytes <= MAX_PAGE_BYTES
    };
    let fitting = outcomes.iter().take_while(fits);
    fitting.map(|outcome| (**outcome).clone()).collect()
}
