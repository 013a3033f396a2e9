//! Versioned, size-bounded frames between nodes, encoded with postcard.
//!
//! A frame starts with the protocol version. [`Ping`](Frame::Ping), [`Ack`](Frame::Ack),
//! [`PingReq`](Frame::PingReq), [`Query`](Frame::Query) and [`Report`](Frame::Report) are
//! datagrams of at most [`MAX_DATAGRAM_BYTES`] bytes, encoded with [`to_vec`] and decoded with
//! [`from_slice`]. [`Propose`](Frame::Propose) and [`Answer`](Frame::Answer) are sent over a
//! stream with a length prefix, at most [`MAX_STREAM_BYTES`] bytes each, with [`to_writer`] and
//! [`from_reader`]. Readers allocate no more memory than the bytes received.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_types::id;
//! use dogwoodlb_wire::{from_reader, from_slice, to_vec, to_writer};
//! use dogwoodlb_wire::{Category, Frame, Header, Proposal, Status};
//!
//! let ping = Frame::Ping(Header {
//!     vm: "entry-1".parse()?,
//!     incarnation: id::Incarnation(1),
//!     sequence: 7,
//!     status: Status { revision: id::Revision(12), ..Status::default() },
//!     updates: Vec::new(),
//! });
//! let bytes = to_vec(&ping)?;
//! assert_eq!(from_slice(&bytes)?, ping);
//!
//! let propose = Frame::Propose(Proposal {
//!     operation: id::Operation(5),
//!     operator: "ana".parse()?,
//!     base: id::Revision(12),
//!     row_version: 40,
//!     text: "{}".to_owned(),
//! });
//! let mut stream = Vec::new();
//! to_writer(&mut stream, &propose)?;
//! assert_eq!(from_reader(&mut stream.as_slice())?, propose);
//!
//! let error = from_slice(&[9, 0]).unwrap_err();
//! assert_eq!(error.classify(), Category::Version);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod codec;
mod error;
mod frame;
mod packet;

pub use codec::{
    from_reader, from_slice, to_vec, to_writer, MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES, VERSION,
};
pub use error::{Category, Error};
pub use frame::{
    Answer, Frame, Header, Proposal, Report, State, Status, Update, Vote, MAX_PENDING, MAX_UPDATES,
};

/// The result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
