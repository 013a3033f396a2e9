use crate::{Error, Result};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// A value that is stored in the table service.
pub trait Record: DeserializeOwned + Serialize {
    /// The name of the type, for error messages.
    const TYPE_NAME: &'static str;

    /// Encodes the value for the store.
    ///
    /// # Errors
    ///
    /// [`Error::Encode`] if the codec fails.
    fn to_vec(&self) -> Result<Vec<u8>> {
        let type_name = Self::TYPE_NAME;
        postcard::to_stdvec(self).map_err(|cause| Error::Encode { type_name, cause })
    }

    /// Decodes a stored value.
    ///
    /// # Errors
    ///
    /// [`Error::Decode`] if the bytes are not a valid encoding of this type.
    fn from_slice(bytes: &[u8]) -> Result<Self> {
        let type_name = Self::TYPE_NAME;
        postcard::from_bytes(bytes).map_err(|cause| Error::Decode { type_name, cause })
    }
}
