use std::io;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum Category {
    /// An I/O error, or the stream ended early.
    Io,
    /// The frame is malformed.
    Malformed,
    /// A datagram frame on a stream, or a stream frame in a datagram.
    WrongTransport,
    /// The frame exceeds the size limit of its transport.
    TooLarge,
    /// The frame has a different protocol version.
    Version,
}

/// An error in encoding, decoding, reading or writing a frame.
pub struct Error(Box<Inner>);

#[derive(Debug, thiserror::Error)]
pub(crate) enum Inner {
    #[error("stream I/O error: {0}")]
    Io(#[from] io::Error),
    #[error("malformed frame: {0}")]
    Codec(#[from] postcard::Error),
    #[error("invalid name in frame: {0}")]
    Name(#[from] dogwoodlb_types::Error),
    #[error("frame is empty")]
    Empty,
    #[error("{bytes} trailing bytes after the frame")]
    Trailing { bytes: usize },
    #[error("list in frame has {count} entries, more than the limit of {limit}")]
    ListTooLong { count: usize, limit: usize },
    #[error("frame kind is not allowed on this transport")]
    WrongTransport,
    #[error("frame has {bytes} bytes, more than the limit of {limit}")]
    TooLarge { bytes: usize, limit: usize },
    #[error("frame has protocol version {found}, expected {expected}")]
    Version { found: u8, expected: u8 },
}

impl Error {
    /// Returns the kind of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            Inner::Io(_) => Category::Io,
            Inner::Codec(_)
            | Inner::Name(_)
            | Inner::Empty
            | Inner::Trailing { .. }
            | Inner::ListTooLong { .. } => Category::Malformed,
            Inner::WrongTransport => Category::WrongTransport,
            Inner::TooLarge { .. } => Category::TooLarge,
            Inner::Version { .. } => Category::Version,
        }
    }

    /// Returns the kind of the underlying I/O error, if there is one.
    pub fn io_kind(&self) -> Option<io::ErrorKind> {
        match &*self.0 {
            Inner::Io(error) => Some(error.kind()),
            _ => None,
        }
    }
}

dogwoodlb_types::opaque_error!(Error, Inner);
