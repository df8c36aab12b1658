//! Errors of encoding and decoding.

/// Why a frame can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame can't be encoded.
    #[error("frame can't be encoded: {0}")]
    Encode(#[from] ciborium::ser::Error<std::io::Error>),
    /// The bytes aren't a valid frame.
    #[error("frame can't be decoded: {0}")]
    Decode(#[from] ciborium::de::Error<std::io::Error>),
    /// There are bytes after the end of the frame.
    #[error("{0} bytes follow the frame")]
    TrailingBytes(usize),
    /// The frame exceeds the size limit of a link.
    #[error("frame of {found} bytes is over the limit of {limit} bytes")]
    TooLarge {
        /// Size of the frame in bytes.
        found: usize,
        /// Maximum size in bytes.
        limit: usize,
    },
}
