/// A stored value could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Decoding failed.
    #[error("cannot decode stored {type_name}: {cause}")]
    Decode {
        /// The expected type of record.
        type_name: &'static str,
        /// The error of the codec.
        cause: postcard::Error,
    },
    /// Encoding failed.
    #[error("cannot encode {type_name}: {cause}")]
    Encode {
        /// The type of record.
        type_name: &'static str,
        /// The error of the codec.
        cause: postcard::Error,
    },
}
