//! Encoding of frames as CBOR.

use crate::{Error, Frame};
use bytes::Bytes;

/// Maximum size of an encoded frame in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Maximum nesting depth that the decoder accepts.
const MAX_DEPTH: usize = 16;

/// Encodes a frame as CBOR.
///
/// ```
/// let frame = wire::Frame::Fetch(wire::Fetch { after: 7 });
/// let bytes = wire::encode(&frame)?;
/// assert!(matches!(wire::decode(&bytes)?, wire::Frame::Fetch(fetch) if fetch.after == 7));
/// # Ok::<(), wire::Error>(())
/// ```
pub fn encode(frame: &Frame) -> Result<Bytes, Error> {
    let mut buffer = Vec::new();
    ciborium::into_writer(frame, &mut buffer)?;
    check_size(buffer.len())?;
    Ok(buffer.into())
}

/// Decodes a frame from CBOR. Bytes after the frame are an error.
///
/// ```
/// assert!(wire::decode(b"not a frame").is_err());
/// ```
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    check_size(bytes.len())?;
    let mut rest = bytes;
    let frame = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)?;
    if !rest.is_empty() {
        return Err(Error::TrailingBytes(rest.len()));
    }
    Ok(frame)
}

/// Rejects frames above [`MAX_FRAME_BYTES`].
fn check_size(found: usize) -> Result<(), Error> {
    if found > MAX_FRAME_BYTES {
        return Err(Error::TooLarge {
            found,
            limit: MAX_FRAME_BYTES,
        });
    }
    Ok(())
}
