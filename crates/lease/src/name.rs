use dogwoodlb_types::id;
use std::fmt;

/// The name of a lease, which is part of its row keys.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LeaseName {
    /// The right to write a trainer's rows and objects.
    Trainer(id::Trainer),
    /// The right to order weight swaps for a model.
    Model(id::Model),
    /// Any other right, such as `cleanup`.
    Other(id::Lease),
}

impl LeaseName {
    /// Returns the key prefix of both rows.
    pub fn prefix(&self) -> String {
        format!("lease/{self}/")
    }

    /// Returns the key of the row that changes with the holder.
    ///
    /// Data writes of the holder check the version of this row.
    pub fn fence_key(&self) -> String {
        format!("lease/{self}/fence")
    }

    /// Returns the key of the row that changes with each renewal.
    pub fn heartbeat_key(&self) -> String {
        format!("lease/{self}/beat")
    }
}

impl fmt::Display for LeaseName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Trainer(trainer) => write!(f, "trainer/{trainer}"),
            Self::Model(model) => write!(f, "model/{model}"),
            Self::Other(lease) => write!(f, "{lease}"),
        }
    }
}
