//! Error responses of the node itself.

use crate::body::Body;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use platform::header::{ATTEMPT, RETRY_AFTER};
use rand::Rng;
use std::time::Duration;

/// Why the node refuses a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The request can't be read.
    #[error("the request is not proper")]
    Malformed,
    /// The body is larger than the configured limit.
    #[error("the body is too long")]
    BodyTooLarge,
    /// The body didn't arrive in time. The request hasn't run.
    #[error("the body did not arrive in time")]
    BodyTimeout,
    /// No route matches the request.
    #[error("no route takes it")]
    NoRoute,
    /// The API key is missing or unknown.
    #[error("the key is unknown")]
    Unauthenticated,
    /// Nothing can serve the request at present. It hasn't run and won't.
    #[error("nothing can serve it now")]
    Unavailable,
    /// Bodies occupy all memory that they may. The request hasn't run and won't.
    #[error("the node has no memory for its body")]
    OutOfMemory,
    /// The request, or a part of it, crashes backend servers. It hasn't run and won't.
    #[error("it crashes backend servers")]
    Blocked(Duration),
    /// All backend servers of the service have asked for a pause or named a limit; the first one takes
    /// a request after this time. The request hasn't run and won't.
    #[error("all of its backend servers pause or limit requests")]
    Paused(Duration),
    /// A backend server may have run the request, and there is no complete response.
    #[error("no backend server gave a whole answer")]
    Failed,
    /// The deadline has passed. The request may have run.
    #[error("no answer came in time")]
    DeadlineExceeded,
}

/// Whether callers take a status to mean that the request hasn't run and won't. A backend server that
/// hasn't run a request says so with a header; its status alone doesn't guarantee it.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Range of factors for the retry delay, so that refused callers don't all retry at the same time.
const RETRY_JITTER: std::ops::Range<f64> = 0.5..1.5;

impl Refusal {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed => "improper",
            Self::BodyTooLarge => "long",
            Self::BodyTimeout => "slow",
            Self::NoRoute => "route",
            Self::Unauthenticated => "key",
            Self::Unavailable => "not_now",
            Self::OutOfMemory => "memory",
            Self::Blocked(_) => "crash",
            Self::Paused(_) => "paused",
            Self::Failed => "failed",
            Self::DeadlineExceeded => "late",
        }
    }

    /// HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Unauthenticated => StatusCode::UNAUTHORIZED,
            Self::Unavailable | Self::OutOfMemory | Self::Blocked(_) | Self::Paused(_) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Failed => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Builds the response to the caller. If the node is unavailable, it asks the caller to retry after
    /// about the given time.
    pub fn response(
        self,
        request_id: Option<&HeaderValue>,
        retry_after: Duration,
    ) -> Response<Body> {
        let mut response = Response::new(Body::full(self.to_string()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        if let Some(id) = request_id {
            headers.insert(HeaderName::from_static(ATTEMPT), id.clone());
        }
        if self.status() == StatusCode::SERVICE_UNAVAILABLE {
            let mut rng = rand::rng();
            let delay = match self {
                Self::Blocked(left) | Self::Paused(left) => {
                    left + retry_after.mul_f64(rng.random_range(RETRY_JITTER))
                }
                _ => retry_after.mul_f64(rng.random_range(RETRY_JITTER)),
            };
            let seconds = format!("{:.2}", delay.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(HeaderName::from_static(RETRY_AFTER), value);
            }
        }
        response
    }
}
