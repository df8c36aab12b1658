//! Retry semantics of a route.

/// Retry semantics of a route's requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    #[default]
    NonIdempotent,
    /// The response is a stream of numbered events.
    Stream {
        /// Whether another run can resume after the last event received.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run can be sent to another backend server.
    ///
    /// ```
    /// use route::config::Kind;
    /// assert!(Kind::Stream { resumable: true }.is_retryable());
    /// assert!(!Kind::NonIdempotent.is_retryable());
    /// ```
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Name in logs and metrics.
    ///
    /// ```
    /// assert_eq!(route::config::Kind::Idempotent.name(), "idempotent");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "unrepeatable",
            Self::Stream { .. } => "stream",
        }
    }

    /// Whether the response is a stream of events.
    ///
    /// ```
    /// assert!(!route::config::Kind::Idempotent.is_stream());
    /// ```
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
