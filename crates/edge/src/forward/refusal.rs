//! Answers of the node itself.

use crate::body::Body;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use platform::header::{ATTEMPT, RETRY_AFTER};
use rand::Rng;
use std::time::Duration;

/// Why a request isn't served.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The request isn't proper.
    #[error("the request is not proper")]
    Improper,
    /// The body is longer than the operator allows.
    #[error("the body is too long")]
    Long,
    /// The caller took too long to send its body. It hasn't run.
    #[error("the body did not arrive in time")]
    Slow,
    /// No route takes it.
    #[error("no route takes it")]
    Route,
    /// The key is unknown.
    #[error("the key is unknown")]
    Key,
    /// It hasn't run and won't: nothing can serve it now.
    #[error("nothing can serve it now")]
    NotNow,
    /// A backend server may have run it, and there is no answer.
    #[error("no backend server gave a whole answer")]
    Failed,
    /// The time for it is over; it may have run.
    #[error("no answer came in time")]
    Late,
}

/// Parts of the time after which a refused caller may come back over which callers are spread, so that
/// they don't return together.
const SPREAD: std::ops::Range<f64> = 0.5..1.5;

impl Refusal {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Improper => "improper",
            Self::Long => "long",
            Self::Slow => "slow",
            Self::Route => "route",
            Self::Key => "key",
            Self::NotNow => "not_now",
            Self::Failed => "failed",
            Self::Late => "late",
        }
    }

    /// Its status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Improper => StatusCode::BAD_REQUEST,
            Self::Long => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            Self::Route => StatusCode::NOT_FOUND,
            Self::Key => StatusCode::UNAUTHORIZED,
            Self::NotNow => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The answer to the caller. Where the request hasn't run, the caller may come back after about the
    /// given time.
    pub fn answer(self, id: Option<&HeaderValue>, return_time: Duration) -> Response<Body> {
        let mut response = Response::new(Body::full(self.to_string()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        if let Some(id) = id {
            headers.insert(HeaderName::from_static(ATTEMPT), id.clone());
        }
        if self == Self::NotNow {
            let wait = return_time.mul_f64(rand::rng().random_range(SPREAD));
            let seconds = format!("{:.2}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(HeaderName::from_static(RETRY_AFTER), value);
            }
        }
        response
    }
}
