use crate::{Error, Result};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// A value that is stored in the table service.
pub trait Record: DeserializeOwned + Serialize {
    /// The name of the type in error messages.
    const WHAT: &'static str;

    /// Encodes the value for the store.
    ///
    /// # Errors
    ///
    /// [`Error::Encode`] if the codec fails.
    fn to_vec(&self) -> Result<Vec<u8>> {
        let what = Self::WHAT;
        postcard::to_stdvec(self).map_err(|cause| Error::Encode { what, cause })
    }

    /// Decodes a stored value.
    ///
    /// # Errors
    ///
    /// [`Error::Decode`] if the bytes are not a valid encoding of this type.
    fn from_slice(bytes: &[u8]) -> Result<Self> {
        let what = Self::WHAT;
        postcard::from_bytes(bytes).map_err(|cause| Error::Decode { what, cause })
    }
}
