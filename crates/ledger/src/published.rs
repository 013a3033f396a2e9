use crate::row::{parse, HeadRow, Keys};
use crate::Result;
use dogwoodlb_external::table::Row;
use dogwoodlb_types::id;

/// The weights that a trainer published most recently.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PublishedWeights {
    /// The version.
    pub version: id::Version,
    /// The name of the weights in the weight store.
    pub object: String,
}

impl PublishedWeights {
    /// Returns the key of the row to pass to [`PublishedWeights::from_row`].
    pub fn key(trainer: &id::Trainer) -> String {
        Keys::new(trainer).head()
    }

    /// Decodes the row; returns `None` if the trainer has not published any weights.
    ///
    /// Any process may read the row. Only the trainer's owner writes it.
    ///
    /// # Errors
    ///
    /// Fails if the row is malformed.
    pub fn from_row(row: &Row) -> Result<Option<Self>> {
        let head: HeadRow = parse(&row.key, &row.value)?;
        let version = head.version;
        Ok(head.object.map(|object| Self { version, object }))
    }
}
