use crate::error::Inner;
use crate::packet::Packet;
use crate::{Frame, Result};
use std::io::{ErrorKind, Read, Write};

/// The protocol version, which is the first byte of every frame.
pub const VERSION: u8 = 1;

/// Maximum size of a datagram frame; larger datagrams may be fragmented in transit.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Maximum size of a stream frame without its length prefix: a manifest of 1 MiB plus the other
/// fields of a proposal.
pub const MAX_STREAM_BYTES: usize = (1 << 20) + 1_024;

const LENGTH_PREFIX_BYTES: usize = 4;

/// Encodes a datagram frame.
///
/// # Errors
///
/// [`Category::WrongTransport`](crate::Category::WrongTransport) for a stream frame,
/// [`Category::Malformed`](crate::Category::Malformed) if it has too many updates or pending
/// proposals, and [`Category::TooLarge`](crate::Category::TooLarge) if it exceeds
/// [`MAX_DATAGRAM_BYTES`].
pub fn to_vec(frame: &Frame) -> Result<Vec<u8>> {
    if !frame.is_datagram() {
        return Err(Inner::WrongTransport.into());
    }
    encode(frame, MAX_DATAGRAM_BYTES)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns an error if the datagram is too large, malformed, of another protocol version or not
/// a datagram frame.
pub fn from_slice(bytes: &[u8]) -> Result<Frame> {
    let frame = decode(bytes, MAX_DATAGRAM_BYTES)?;
    if !frame.is_datagram() {
        return Err(Inner::WrongTransport.into());
    }
    Ok(frame)
}

/// Writes a stream frame with its length prefix.
///
/// # Errors
///
/// Returns an error if the frame is too large or not a stream frame, or on an I/O error.
pub fn to_writer(writer: &mut dyn Write, frame: &Frame) -> Result<()> {
    if frame.is_datagram() {
        return Err(Inner::WrongTransport.into());
    }
    let bytes = encode(frame, MAX_STREAM_BYTES)?;
    let length = u32::try_from(bytes.len()).map_err(|_| Inner::TooLarge {
        bytes: bytes.len(),
        limit: MAX_STREAM_BYTES,
    })?;
    writer.write_all(&length.to_be_bytes())?;
    writer.write_all(&bytes)?;
    writer.flush()?;
    Ok(())
}

/// Reads a stream frame with its length prefix.
///
/// The buffer grows with the bytes received, so a peer that only declares a large frame doesn't
/// cause a large allocation.
///
/// # Errors
///
/// Returns an error if the frame is too large, malformed, of another protocol version or not a
/// stream frame, and on an I/O error or early end of the stream.
pub fn from_reader(reader: &mut dyn Read) -> Result<Frame> {
    let mut prefix = [0; LENGTH_PREFIX_BYTES];
    reader.read_exact(&mut prefix)?;
    let length = u32::from_be_bytes(prefix);
    let bytes = usize::try_from(length).unwrap_or(usize::MAX);
    check_size(bytes, MAX_STREAM_BYTES)?;
    let mut body = Vec::new();
    reader.take(u64::from(length)).read_to_end(&mut body)?;
    if body.len() != bytes {
        return Err(std::io::Error::from(ErrorKind::UnexpectedEof).into());
    }
    let frame = decode(&body, MAX_STREAM_BYTES)?;
    if frame.is_datagram() {
        return Err(Inner::WrongTransport.into());
    }
    Ok(frame)
}

fn encode(frame: &Frame, limit: usize) -> Result<Vec<u8>> {
    let packet = Packet::try_from(frame)?;
    let bytes = postcard::to_extend(&packet, vec![VERSION])?;
    check_size(bytes.len(), limit)?;
    Ok(bytes)
}

fn decode(bytes: &[u8], limit: usize) -> Result<Frame> {
    check_size(bytes.len(), limit)?;
    let (&found, body) = bytes.split_first().ok_or(Inner::Empty)?;
    if found != VERSION {
        return Err(Inner::Version {
            found,
            expected: VERSION,
        }
        .into());
    }
    let (packet, rest) = postcard::take_from_bytes::<Packet<'_>>(body)?;
    if !rest.is_empty() {
        return Err(Inner::Trailing { bytes: rest.len() }.into());
    }
    packet.try_into()
}

fn check_size(bytes: usize, limit: usize) -> Result<()> {
    if bytes > limit {
        return Err(Inner::TooLarge { bytes, limit }.into());
    }
    Ok(())
}
