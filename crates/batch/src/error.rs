/// A stored value could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Decoding failed.
    #[error("cannot decode stored {what}: {cause}")]
    Decode {
        /// The expected type of record.
        what: &'static str,
        /// The error of the codec.
        cause: postcard::Error,
    },
    /// Encoding failed.
    #[error("cannot encode {what}: {cause}")]
    Encode {
        /// The type of record.
        what: &'static str,
        /// The error of the codec.
        cause: postcard::Error,
    },
}
