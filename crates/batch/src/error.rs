/// Why stored bytes are not what they should be.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes can't be decoded.
    #[error("the stored {what} can't be decoded: {cause}")]
    Decode {
        /// What the bytes were taken for.
        what: &'static str,
        /// What the codec says.
        cause: postcard::Error,
    },
    /// The value can't be encoded.
    #[error("the {what} can't be encoded: {cause}")]
    Encode {
        /// What was to be stored.
        what: &'static str,
        /// What the codec says.
        cause: postcard::Error,
    },
}
