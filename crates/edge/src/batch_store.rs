//! Typed reads and writes of the rows of batches in the metadata store.

use crate::cache::Cache;
use crate::cluster::ClusterState;
use crate::storage::{self, Storage, BODIES, MAX_TXN_BYTES, MAX_TXN_ROWS, OUTCOMES, SHARED, TEXTS};
use dogwoodlb_batch::{parts, BatchHeader, ItemText, Outcome, Record, Submission};
use dogwoodlb_external::store::{self, KeyRange, Row, Txn};
use dogwoodlb_mirror::Versioned;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// The length of what [`storage::numbered_key`] appends to the id of a batch.
const NUMBER_SUFFIX_BYTES: usize = "/000000".len();

/// An error from reading or writing the rows of a batch.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error(transparent)]
    Store(#[from] dogwoodlb_external::Error),
    #[error(transparent)]
    Batch(#[from] dogwoodlb_batch::Error),
    #[error("no response from the store for {} ms", .0.as_millis())]
    Unreachable(Duration),
    #[error("part {part} of batch {batch} is missing")]
    Missing { batch: String, part: u32 },
    #[error("another node changed a row first")]
    Conflict,
    #[error("the {0} of the batch is not known yet")]
    NotKnown(&'static str),
}

/// Access to the batches in the metadata store, through a cache.
pub(crate) struct BatchStore {
    pub(crate) storage: Rc<Storage>,
    pub(crate) cluster: Rc<ClusterState>,
    pub(crate) cache: Cache,
}

impl BatchStore {
    /// Reads the header of a batch from the store and updates the cluster state with it.
    pub(crate) async fn read_header(
        &self,
        batch: &str,
    ) -> Result<Option<Versioned<BatchHeader>>, Error> {
        let key = storage::header_key(batch);
        let (row, as_of) = self.storage.get_as_of(SHARED, &key).await?;
        let Some(row) = row else {
            return Ok(None);
        };
        let header = BatchHeader::from_slice(&row.value)?;
        self.cluster
            .put_batch_header(batch, row.version, header, as_of);
        Ok(self.cluster.batch_header(batch))
    }

    /// Returns the header of a batch from the cluster state, or from the store if it is not there
    /// yet.
    pub(crate) async fn header(
        &self,
        batch: &str,
    ) -> Result<Option<Versioned<BatchHeader>>, Error> {
        match self.cluster.batch_header(batch) {
            Some(header) => Ok(Some(header)),
            None => self.read_header(batch).await,
        }
    }

    /// Returns the submission of a batch, assembled from its parts.
    pub(crate) async fn submission(
        &self,
        batch: &str,
        header: &BatchHeader,
    ) -> Result<Rc<Submission>, Error> {
        if let Some(submission) = self.cache.submission(batch) {
            return Ok(submission);
        }
        let rows = self.storage.list(BODIES, &format!("{batch}/")).await?;
        for part in 0..header.part_count {
            let key = storage::numbered_key(batch, part);
            let row = rows.get(part as usize);
            if row.is_none_or(|row| row.key != key || row.value.is_empty()) {
                let batch = batch.to_owned();
                return Err(Error::Missing { batch, part });
            }
        }
        let bytes = parts::join(rows.iter().map(|row| row.value.as_slice()));
        let submission = Rc::new(Submission::from_slice(&bytes)?);
        self.cache.put_submission(batch, submission.clone());
        Ok(submission)
    }

    /// Returns the outcomes from position `from`. If the cached ones do not reach `until`, all further
    /// ones are read from the store, and cached. The result can extend beyond `until`.
    pub(crate) async fn outcomes(
        &self,
        batch: &str,
        from: u32,
        until: u32,
    ) -> Result<Vec<Rc<Outcome>>, Error> {
        let mut outcomes = self.cache.outcomes(batch, from);
        let mut next = from + u32::try_from(outcomes.len()).unwrap_or(u32::MAX);
        if next >= until || from >= until {
            return Ok(outcomes);
        }
        // The cache may evict the batch meanwhile, so the result is not read from it again.
        for (position, outcome) in self.read_outcomes(batch, next).await? {
            let outcome = Rc::new(outcome);
            self.cache.put_outcome(batch, position, outcome.clone());
            if position == next {
                outcomes.push(outcome);
                next += 1;
            }
        }
        Ok(outcomes)
    }

    /// Reads the outcomes from a position on from the store, in order of their positions.
    async fn read_outcomes(&self, batch: &str, from: u32) -> Result<Vec<(u32, Outcome)>, Error> {
        let range = KeyRange {
            table: OUTCOMES.to_owned(),
            from: storage::numbered_key(batch, from),
            to: format!("{batch}0"),
        };
        let page = self.storage.read(&range).await?;
        let mut values: BTreeMap<&str, Vec<&[u8]>> = BTreeMap::new();
        for row in &page.rows {
            // Group the rows of one outcome. An outcome larger than a row is split: the key of its
            // first part ends with `/` and six digits, and the keys of the further parts consist of
            // that key and a suffix.
            let key = row
                .key
                .get(..batch.len() + NUMBER_SUFFIX_BYTES)
                .unwrap_or(&row.key);
            values.entry(key).or_default().push(&row.value);
        }
        let mut outcomes = Vec::new();
        for (key, row_values) in values {
            let position = key
                .rsplit('/')
                .next()
                .and_then(|number| number.parse().ok());
            let Some(position) = position else { continue };
            let value = parts::join(row_values.into_iter());
            outcomes.push((position, Outcome::from_slice(&value)?));
        }
        Ok(outcomes)
    }

    /// Returns the texts of unfinished items that a previous owner of the batch stored.
    pub(crate) async fn texts(&self, batch: &str) -> Result<Vec<ItemText>, Error> {
        let rows = self.storage.list(TEXTS, &format!("{batch}/")).await?;
        let decode = |row: &Row| match ItemText::from_slice(&row.value) {
            Ok(text) => Some(text),
            Err(error) => {
                tracing::error!(key = row.key, %error, "text_not_decoded");
                None
            }
        };
        Ok(rows.iter().filter_map(decode).collect())
    }

    /// Stores the texts of unfinished items, if the checks of `new_txn` hold. A text too large for
    /// one row is skipped.
    pub(crate) async fn put_texts(&self, texts: &[ItemText], new_txn: &Txn) -> Result<(), Error> {
        let mut txn = new_txn.clone();
        let mut bytes = 0;
        for text in texts {
            let value = text.to_vec()?;
            if value.len() > parts::PART_BYTES {
                continue;
            }
            if txn.puts.len() >= MAX_TXN_ROWS || bytes + value.len() > MAX_TXN_BYTES {
                self.commit(&txn).await?;
                txn = new_txn.clone();
                bytes = 0;
            }
            bytes += value.len();
            txn = txn.put(
                TEXTS,
                &storage::numbered_key(&text.batch, text.index),
                value,
            );
        }
        if !txn.puts.is_empty() {
            self.commit(&txn).await?;
        }
        Ok(())
    }

    async fn commit(&self, txn: &Txn) -> Result<(), Error> {
        match self.storage.commit(txn).await? {
            store::Outcome::Done { .. } => Ok(()),
            store::Outcome::Conflict { .. } => Err(Error::Conflict),
        }
    }
}
