//! Answers questions about batches at any node.

use crate::archive::{Archive, Error};
use crate::clock;
use crate::dialect::Dialect;
use crate::known::{Known, Stored};
use crate::reply::{self, Body};
use dogwoodlb_batch::{Head, Outcome};
use dogwoodlb_types::Instant;
use hyper::{Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// The text in one answer; the limit is 1 MB with all else.
const PAGE_BYTES: usize = 800_000;
/// When a caller should come back whose question can't be answered now.
const COME_BACK: Duration = Duration::from_millis(200);

/// Answers questions about batches.
pub(crate) struct Reader {
    pub(crate) archive: Rc<Archive>,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) known: Rc<Known>,
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
        let head = match self.archive.known_head(batch).await {
            Ok(Some(head)) => head,
            Ok(None) => return unknown(batch),
            Err(error) => return unsure(batch, &error),
        };
        let head = match self.wait_for(batch, head, after, clock::now() + wait).await {
            Ok(head) => head.value,
            Err(error) => return unsure(batch, &error),
        };
        match self.archive.outcomes(batch, after, head.listed).await {
            Ok(outcomes) => self.page(&head, after, &outcomes),
            Err(error) => unsure(batch, &error),
        }
    }

    /// Waits until a batch has more than `after` results; at the end the store has the word,
    /// since the feed may be late.
    async fn wait_for(
        &self,
        batch: &str,
        mut head: Stored<Head>,
        after: u32,
        until: Instant,
    ) -> Result<Stored<Head>, Error> {
        let mut changes = self.known.changes();
        while head.value.listed <= after && head.value.listed < head.value.items {
            let left = until.saturating_since(clock::now());
            if left.is_zero() || timeout(left, changes.changed()).await.is_err() {
                return Ok(self.archive.head(batch).await?.unwrap_or(head));
            }
            head = self.known.head(batch).unwrap_or(head);
        }
        Ok(head)
    }

    fn page(&self, head: &Head, after: u32, outcomes: &[Rc<Outcome>]) -> Response<Body> {
        let mut bytes = 0;
        let fits = |outcome: &&Rc<Outcome>| {
            let first = bytes == 0;
            bytes += outcome.text.len() + 256;
            first || bytes <= PAGE_BYTES
        };
        let outcomes: Vec<Outcome> = outcomes
            .iter()
            .take_while(fits)
            .map(|outcome| (**outcome).clone())
            .collect();
        let next = after + u32::try_from(outcomes.len()).unwrap_or(u32::MAX);
        reply::json(self.dialect.results(head.items, next, &outcomes))
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
