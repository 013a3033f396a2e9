//! Writes new batches to the store.

use super::{SubmitOutcome, Submitter, RETRY_INTERVAL};
use crate::clock;
use crate::identity::Caller;
use crate::storage::{self, BODIES, MAX_TXN_BYTES, SHARED};
use dogwoodlb_batch::{parts, BatchHeader, Record, Submission};
use dogwoodlb_config::Route;
use dogwoodlb_external::store::{Outcome, Txn};
use dogwoodlb_types::Instant;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long a write that was certainly not applied is retried. After that, another node may be
/// able to reach the store.
const UNAPPLIED_RETRY_TIME: Duration = Duration::from_millis(900);
/// The maximum number of parts in a transaction.
const PARTS_PER_TXN: usize = MAX_TXN_BYTES / parts::PART_BYTES;

impl Submitter {
    /// Writes a batch to the store, its header last.
    pub(super) async fn store_batch(
        &self,
        submission: &Submission,
        caller: &Caller,
        route: &Route,
        began: Instant,
        deadline: Instant,
    ) -> SubmitOutcome {
        let Some(service) = route.select_service(rand::random()) else {
            return SubmitOutcome::Refused;
        };
        let bytes = match submission.to_vec() {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(batch = submission.id, %error, "batch_not_encoded");
                return SubmitOutcome::Refused;
            }
        };
        let body_parts = parts::split(&bytes);
        let Some(submitted_ms) = self.store_time_ms().await else {
            return SubmitOutcome::Refused;
        };
        let leader = self.cluster.leader(service).map(|leader| leader.value);
        let header = BatchHeader {
            owner: leader.unwrap_or_else(|| self.node.clone()),
            writer_id: 0,
            host: submission.host.clone(),
            path: submission.path.clone(),
            service: service.to_owned(),
            item_count: u32::try_from(submission.items.len()).unwrap_or(u32::MAX),
            part_count: u32::try_from(body_parts.len()).unwrap_or(u32::MAX),
            result_count: 0,
            ended: false,
            submitted_ms,
            organisation: caller
                .organisation()
                .map(|organisation| organisation.name.clone()),
        };
        let txns = transactions(&submission.id, &header, body_parts);
        let mut not_applied = true;
        for (number, txn) in (1..).zip(&txns) {
            let is_last = number == txns.len();
            let unapplied_deadline = began + UNAPPLIED_RETRY_TIME;
            match self
                .commit_with_retry(txn, unapplied_deadline, deadline, &mut not_applied)
                .await
            {
                Some(Outcome::Done { version, .. }) => {
                    if !is_last {
                        continue;
                    }
                    self.cluster
                        .put_batch_header(&submission.id, version, header.clone(), version);
                    let submission = Rc::new(submission.clone());
                    self.batch_store
                        .cache
                        .put_submission(&submission.id, submission.clone());
                    self.cluster.notify_changed();
                }
                Some(Outcome::Conflict { rows, version }) => {
                    self.apply_header_rows(&submission.id, &rows, version);
                    return self.conflict_outcome(&submission.id, caller);
                }
                // Without the last transaction, which writes the header, the batch does not exist.
                None if not_applied || !is_last => return SubmitOutcome::Refused,
                None => return SubmitOutcome::Unknown,
            }
        }
        SubmitOutcome::Accepted { is_new: true }
    }

    /// Returns the outcome of a submission whose id has a header already, as far as it is known.
    fn conflict_outcome(&self, batch: &str, caller: &Caller) -> SubmitOutcome {
        let known = self.known_outcome(batch, caller);
        known.unwrap_or(match caller {
            Caller::Unrestricted => SubmitOutcome::Accepted { is_new: false },
            // The header could not be decoded, so its organisation is unknown.
            Caller::Anonymous | Caller::Member(_) => SubmitOutcome::Unknown,
        })
    }

    /// Returns an upper bound of the store's time, from which the lifetime of items is counted. A
    /// node that copied its tables from other nodes has not seen the store's clock yet.
    async fn store_time_ms(&self) -> Option<u64> {
        if let Some(now_ms) = self.storage.latest_time_ms() {
            return Some(now_ms);
        }
        let key = storage::node_key(&self.node);
        if let Err(error) = self.storage.get(SHARED, &key).await {
            tracing::info!(%error, "store_clock_not_read");
        }
        self.storage.latest_time_ms()
    }

    /// Retries a transaction until its result is known. `not_applied` becomes false when an
    /// attempt may have been applied although no result was received.
    async fn commit_with_retry(
        &self,
        txn: &Txn,
        unapplied_deadline: Instant,
        deadline: Instant,
        not_applied: &mut bool,
    ) -> Option<Outcome> {
        loop {
            match self.storage.commit(txn).await {
                Ok(outcome) => return Some(outcome),
                Err(error) => {
                    *not_applied &= storage::is_not_applied(&error);
                    let until = if *not_applied {
                        unapplied_deadline
                    } else {
                        deadline
                    };
                    if clock::now() + RETRY_INTERVAL >= until {
                        tracing::info!(%error, "write_abandoned");
                        return None;
                    }
                }
            }
            sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Returns the transactions that store a batch. The last one writes the header and thereby accepts
/// the batch.
fn transactions(batch: &str, header: &BatchHeader, body_parts: Vec<Vec<u8>>) -> Vec<Txn> {
    let header_key = storage::header_key(batch);
    // Every transaction requires that no header exists, so that resubmitting an id changes nothing.
    let new_batch = || Txn::default().check(SHARED, &header_key, 0);
    let mut txns = vec![new_batch()];
    for (number, part) in (0..).zip(body_parts) {
        let is_full = txns
            .last()
            .is_none_or(|txn| txn.puts.len() >= PARTS_PER_TXN);
        if is_full {
            txns.push(new_batch());
        }
        if let Some(txn) = txns.pop() {
            let key = storage::numbered_key(batch, number);
            txns.push(txn.put(BODIES, &key, part));
        }
    }
    match (txns.pop(), header.to_vec()) {
        (Some(txn), Ok(header)) => txns.push(txn.put(SHARED, &header_key, header)),
        (_, header) => tracing::error!(batch, error = ?header.err(), "header_not_encoded"),
    }
    txns
}
