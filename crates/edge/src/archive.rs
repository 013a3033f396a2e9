//! Reads what the store holds of batches.

use crate::cache::Cache;
use crate::known::{Known, Stored};
use crate::storage::{self, Storage, BODIES, OUTCOMES, SHARED, TEXTS, TXN_BYTES, TXN_ROWS};
use dogwoodlb_batch::{parts, BatchHeader, ItemText, Outcome, Record, Submission};
use dogwoodlb_external::store::{Range, Row, Txn};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Why something could not be read or written.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error(transparent)]
    Store(#[from] dogwoodlb_external::Error),
    #[error(transparent)]
    Batch(#[from] dogwoodlb_batch::Error),
    #[error("the store has not answered this node for {} ms", .0.as_millis())]
    Away(Duration),
    #[error("part {part} of batch {batch} is missing")]
    Missing { batch: String, part: u32 },
}

/// The batches in the store, with a cache.
pub(crate) struct Archive {
    pub(crate) storage: Rc<Storage>,
    pub(crate) known: Rc<Known>,
    pub(crate) cache: Cache,
}

impl Archive {
    /// Reads the head of a batch, which becomes known.
    pub(crate) async fn head(&self, batch: &str) -> Result<Option<Stored<BatchHeader>>, Error> {
        let row = self.storage.get(SHARED, &storage::head_key(batch)).await?;
        let Some(row) = row else {
            return Ok(None);
        };
        let head = BatchHeader::from_slice(&row.value)?;
        self.known.put_head(batch, row.version, head);
        Ok(self.known.head(batch))
    }

    /// Returns the head of a batch, from the store if it isn't known.
    pub(crate) async fn known_head(
        &self,
        batch: &str,
    ) -> Result<Option<Stored<BatchHeader>>, Error> {
        match self.known.head(batch) {
            Some(head) => Ok(Some(head)),
            None => self.head(batch).await,
        }
    }

    /// Returns a submission.
    pub(crate) async fn submission(
        &self,
        batch: &str,
        head: &BatchHeader,
    ) -> Result<Rc<Submission>, Error> {
        if let Some(submission) = self.cache.submission(batch) {
            return Ok(submission);
        }
        let rows = self.storage.list(BODIES, &format!("{batch}/")).await?;
        for part in 0..head.parts {
            let key = storage::numbered_key(batch, part);
            if rows.get(part as usize).is_none_or(|row| row.key != key) {
                let batch = batch.to_owned();
                return Err(Error::Missing { batch, part });
            }
        }
        let whole = parts::join(rows.iter().map(|row| row.value.as_slice()));
        let submission = Rc::new(Submission::from_slice(&whole)?);
        self.cache.put_submission(batch, submission.clone());
        Ok(submission)
    }

    /// Returns the outcomes from a position on, up to `until`.
    pub(crate) async fn outcomes(
        &self,
        batch: &str,
        from: u32,
        until: u32,
    ) -> Result<Vec<Rc<Outcome>>, Error> {
        let cached = self.cache.outcomes(batch, from);
        let next = from + u32::try_from(cached.len()).unwrap_or(u32::MAX);
        if next >= until || from >= until {
            return Ok(cached);
        }
        let range = Range {
            table: OUTCOMES.to_owned(),
            from: storage::numbered_key(batch, next),
            to: format!("{batch}0"),
        };
        let page = self.storage.read(&range).await?;
        let mut values: BTreeMap<&str, Vec<&[u8]>> = BTreeMap::new();
        for row in &page.rows {
            // An outcome over the size of a row has its further parts under longer keys.
            let key = row.key.get(..batch.len() + 7).unwrap_or(&row.key);
            values.entry(key).or_default().push(&row.value);
        }
        for (key, stored) in values {
            let position = key
                .rsplit('/')
                .next()
                .and_then(|number| number.parse().ok());
            let Some(position) = position else { continue };
            let value = parts::join(stored.into_iter());
            let outcome = Rc::new(Outcome::from_slice(&value)?);
            self.cache.put_outcome(batch, position, outcome);
        }
        Ok(self.cache.outcomes(batch, from))
    }

    /// Returns the texts that an earlier owner left of unfinished items.
    pub(crate) async fn texts(&self, batch: &str) -> Result<Vec<ItemText>, Error> {
        let rows = self.storage.list(TEXTS, &format!("{batch}/")).await?;
        let decode = |row: &Row| match ItemText::from_slice(&row.value) {
            Ok(text) => Some(text),
            Err(error) => {
                tracing::error!(key = row.key, %error, "text_refused");
                None
            }
        };
        Ok(rows.iter().filter_map(decode).collect())
    }

    /// Writes down texts of unfinished items.
    pub(crate) async fn put_texts(&self, texts: &[ItemText]) -> Result<(), Error> {
        let mut txn = Txn::default();
        let mut bytes = 0;
        for text in texts {
            let value = text.to_vec()?;
            if value.len() > parts::PART_BYTES {
                continue;
            }
            if txn.puts.len() >= TXN_ROWS || bytes + value.len() > TXN_BYTES {
                self.storage.commit(&std::mem::take(&mut txn)).await?;
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
            self.storage.commit(&txn).await?;
        }
        Ok(())
    }
}
