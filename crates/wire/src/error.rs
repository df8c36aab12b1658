//! What can be wrong with a frame.

/// Why a frame was refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame can't be written.
    #[error("frame can't be encoded: {0}")]
    Encode(#[from] ciborium::ser::Error<std::io::Error>),
    /// The bytes aren't a frame.
    #[error("frame can't be decoded: {0}")]
    Decode(#[from] ciborium::de::Error<std::io::Error>),
    /// Something follows the frame.
    #[error("{0} bytes follow the frame")]
    TrailingBytes(usize),
    /// The frame is larger than a link carries.
    #[error("frame of {found} bytes is over the limit of {limit} bytes")]
    TooLarge {
        /// Length of the frame.
        found: usize,
        /// Longest frame allowed.
        limit: usize,
    },
}
