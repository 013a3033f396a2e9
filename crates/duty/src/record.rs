use dogwoodlb_weights::Claim;
use serde::{Deserialize, Serialize};

/// The stored state of a duty.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Record {
    /// The last claim: the holder, and when it was written.
    pub claim: Claim,
    /// The boot time of the holder's process.
    pub boot: u64,
    /// A random number, by which a writer whose reply was lost recognises its write.
    pub nonce: u64,
    /// The progress of the duty, in the encoding of the duty.
    pub progress: Vec<u8>,
}

impl Record {
    /// Encodes the record for the store.
    ///
    /// # Errors
    ///
    /// The error of the codec if it fails.
    pub fn to_vec(&self) -> postcard::Result<Vec<u8>> {
        postcard::to_stdvec(self)
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// The error of the codec if the bytes are not a valid encoding of a record.
    pub fn from_slice(bytes: &[u8]) -> postcard::Result<Self> {
        postcard::from_bytes(bytes)
    }
}
