//! Errors of callers' requests, and whether a backend server ran the request.

use backend::Ran;
use std::time::Duration;

/// Stable, machine-readable name of an error.
pub type Code = &'static str;

/// Retry delay suggested to callers when capacity may be available again soon.
const RETRY_SOON: Duration = Duration::from_millis(500);

/// Reason why a request is refused or has failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bearer key is missing or unknown.
    #[error("the bearer key is missing or names no customer")]
    Unauthenticated,
    /// The node failed while it handled the request; whether the request ran is unknown.
    #[error("this node failed while it handled the request")]
    Internal,
    /// The request is malformed.
    #[error("{0}")]
    Malformed(String),
    /// The body exceeds the size limit.
    #[error("the body is over {limit} bytes")]
    Oversized {
        /// Size limit in bytes.
        limit: usize,
    },
    /// The body was not received in time.
    #[error("the body didn't arrive within {0:?}")]
    SlowBody(Duration),
    /// The target is neither a model nor a task of the contract.
    #[error("`{0}` is neither a model nor a task of the contract")]
    UnknownTarget(String),
    /// The contract doesn't allow the target.
    #[error("the contract doesn't allow `{0}`")]
    Forbidden(String),
    /// The model version has been withdrawn.
    #[error("`{0}` is withdrawn")]
    Withdrawn(String),
    /// The session token is invalid or belongs to another customer.
    #[error("the session token isn't valid")]
    Session,
    /// The path doesn't exist.
    #[error("no such path")]
    NotFound,
    /// The contract's budget for the period is used up.
    #[error("the contract's spend for this period is used up")]
    Spent {
        /// Time until the next period.
        retry_after: Duration,
    },
    /// No backend server has capacity for the request now.
    #[error("no backend server has capacity for `{0}`")]
    Capacity(String),
    /// The node is shedding load.
    #[error("too many requests of this priority")]
    Overloaded {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// The node can't confirm that its configuration is current.
    #[error("this node can't tell whether its configuration is current")]
    Stale,
    /// The node hasn't loaded the configuration or the list of backend servers yet.
    #[error("this node is starting")]
    Starting,
    /// The node is stopping.
    #[error("this node is stopping")]
    Stopping,
    /// The request's deadline has passed.
    #[error("the deadline of {limit:?} passed")]
    Deadline {
        /// Time that the request was given.
        limit: Duration,
        /// Whether a backend server ran the request.
        ran: Ran,
    },
    /// Backend servers failed to answer the request.
    #[error("backend servers failed: {source}")]
    Backend {
        /// The last failure.
        #[source]
        source: backend::Error,
    },
    /// The request has crashed backend servers and is blocked.
    #[error("the request is refused since backend servers died of it")]
    Crashing {
        /// Time until the block ends.
        retry_after: Duration,
        /// Whether the request ran during this call.
        ran: Ran,
    },
    /// A call that isn't repeatable has no idempotency key.
    #[error("this call may not be repeated: it needs an Idempotency-Key")]
    KeyMissing,
    /// The idempotency key was used for another call.
    #[error("the Idempotency-Key was used for a different call")]
    KeyReused,
    /// The call with this idempotency key is in progress.
    #[error("the call with this Idempotency-Key is in progress")]
    InProgress,
    /// Whether the call with this idempotency key ran is unknown.
    #[error("whether the call with this Idempotency-Key ran is unknown")]
    UnknownOutcome,
    /// The call ran before, and its response was too long to store.
    #[error("the call ran before, and its answer was too long to keep")]
    AnswerNotKept,
    /// The last attempt failed, and an earlier attempt may have run.
    #[error("{last}")]
    Repeated {
        /// Error of the last attempt.
        #[source]
        last: Box<Error>,
        /// Whether a backend server ran any of the attempts.
        ran: Ran,
    },
    /// The platform's table service is unreachable.
    #[error("the table service can't be reached, and the call may not run without a record")]
    Platform,
}

impl Error {
    /// Includes earlier attempts at the request: [`Error::ran`] becomes the greater of both values.
    ///
    /// ```
    /// use backend::Ran;
    /// let error = node::Error::Stale.with_earlier_attempts(Ran::Unknown);
    /// assert_eq!((error.code(), error.ran()), ("stale", Ran::Unknown));
    /// assert_eq!(node::Error::UnknownOutcome.with_earlier_attempts(Ran::No).ran(), Ran::Unknown);
    /// ```
    pub fn with_earlier_attempts(self, earlier: Ran) -> Self {
        if earlier <= self.ran() {
            return self;
        }
        Self::Repeated {
            last: Box::new(self),
            ran: earlier,
        }
    }

    /// Returns the stable name of the error.
    ///
    /// ```
    /// assert_eq!(node::Error::Stale.code(), "stale");
    /// ```
    pub fn code(&self) -> Code {
        match self {
            Self::Unauthenticated => "unauthenticated",
            Self::Internal => "internal",
            Self::Malformed(_) => "invalid_request",
            Self::Oversized { .. } => "body_too_large",
            Self::SlowBody(_) => "body_timeout",
            Self::UnknownTarget(_) => "unknown_model",
            Self::Forbidden(_) => "forbidden",
            Self::Withdrawn(_) => "version_withdrawn",
            Self::Session => "invalid_session",
            Self::NotFound => "not_found",
            Self::Spent { .. } => "spend_limit",
            Self::Capacity(_) => "no_capacity",
            Self::Overloaded { .. } => "overloaded",
            Self::Stale => "stale",
            Self::Starting => "starting",
            Self::Stopping => "stopping",
            Self::Deadline { .. } => "deadline",
            Self::Backend { .. } => "backend_failed",
            Self::Crashing { .. } => "crashing_request",
            Self::KeyMissing => "idempotency_key_missing",
            Self::KeyReused => "idempotency_key_reused",
            Self::InProgress => "in_progress",
            Self::UnknownOutcome => "unknown_outcome",
            Self::AnswerNotKept => "answer_not_kept",
            Self::Repeated { last, .. } => last.code(),
            Self::Platform => "platform_unreachable",
        }
    }

    /// Returns the HTTP status.
    ///
    /// ```
    /// assert_eq!(node::Error::Stale.status(), 503);
    /// ```
    pub fn status(&self) -> u16 {
        match self {
            Self::Internal => 500,
            Self::Malformed(_) | Self::KeyMissing | Self::Session => 400,
            Self::Unauthenticated => 401,
            Self::Forbidden(_) => 403,
            Self::UnknownTarget(_) | Self::NotFound => 404,
            Self::SlowBody(_) => 408,
            Self::InProgress => 409,
            Self::Withdrawn(_) => 410,
            Self::Oversized { .. } => 413,
            Self::KeyReused => 422,
            Self::Spent { .. } | Self::Overloaded { .. } => 429,
            Self::Backend {
                source: backend::Error::Rejected { status, .. },
            } => *status,
            Self::Backend { .. }
            | Self::Crashing { .. }
            | Self::AnswerNotKept
            | Self::UnknownOutcome => 502,
            Self::Capacity(_) | Self::Stale | Self::Starting | Self::Stopping | Self::Platform => {
                503
            }
            Self::Repeated { last, .. } => last.status(),
            Self::Deadline { .. } => 504,
        }
    }

    /// Returns whether a backend server ran the request.
    ///
    /// ```
    /// assert_eq!(node::Error::UnknownOutcome.ran(), backend::Ran::Unknown);
    /// ```
    pub fn ran(&self) -> Ran {
        match self {
            Self::Internal => Ran::Unknown,
            Self::Deadline { ran, .. }
            | Self::Crashing { ran, .. }
            | Self::Repeated { ran, .. } => *ran,
            Self::Backend { source } => source.ran(),
            Self::AnswerNotKept => Ran::Yes,
            Self::InProgress | Self::UnknownOutcome => Ran::Unknown,
            _ => Ran::No,
        }
    }

    /// Returns the delay before a retry, if a retry may succeed.
    ///
    /// ```
    /// assert!(node::Error::KeyMissing.retry_after().is_none());
    /// ```
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Repeated { last, .. } => last.retry_after(),
            Self::Spent { retry_after }
            | Self::Overloaded { retry_after }
            | Self::Crashing { retry_after, .. } => Some(*retry_after),
            Self::Capacity(_)
            | Self::Stale
            | Self::Starting
            | Self::Stopping
            | Self::Platform
            | Self::InProgress => Some(RETRY_SOON),
            _ => None,
        }
    }
}
