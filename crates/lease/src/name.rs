use dogwoodlb_types::id;
use std::fmt;

/// The name of a lease, as it appears in the keys of its rows.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LeaseName {
    /// The right to write a trainer's rows and objects.
    Trainer(id::Trainer),
    /// The right to order weight swaps of a model.
    Model(id::Model),
    /// Any other right, as `cleanup`.
    Other(id::Lease),
}

impl LeaseName {
    /// Returns the prefix of the keys of both rows.
    pub fn prefix(&self) -> String {
        format!("lease/{self}/")
    }

    /// Returns the key of the row that changes with the holder.
    ///
    /// The holder's data writes require the row's version.
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
