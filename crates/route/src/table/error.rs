//! Why a request has no route.

/// Why a request has no route.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No route takes the host and path.
    #[error("no route takes this host and path")]
    NoRoute,
    /// The route needs a key, and the request has none that is known.
    #[error("the key is missing or unknown")]
    InvalidKey,
}
