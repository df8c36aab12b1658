//! HTTP responses for errors.

use crate::Error;
use rocket::http::{ContentType, Status};
use rocket::request::Request;
use rocket::response::{Responder, Response, Result};
use serde::Serialize;
use std::io::Cursor;
use std::time::Duration;

const MILLIS_PER_SECOND: u64 = 1_000;

/// Error response to a caller.
#[derive(Debug)]
pub struct Failure(pub Error);

#[derive(Serialize)]
struct Envelope {
    error: Body,
}

#[derive(Serialize)]
struct Body {
    code: &'static str,
    message: String,
    ran: backend::Ran,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Failure {
    /// Returns the response body as JSON text.
    ///
    /// ```
    /// let text = node::caller::Failure(node::Error::NotFound).json();
    /// assert!(text.contains(r#""code":"not_found""#));
    /// ```
    pub fn json(&self) -> String {
        let envelope = Envelope {
            error: Body {
                code: self.0.code(),
                message: self.0.to_string(),
                ran: self.0.ran(),
                retry_after_ms: self.0.retry_after().map(millis),
            },
        };
        serde_json::to_string(&envelope).unwrap_or_default()
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self(error)
    }
}

impl<'r> Responder<'r, 'static> for Failure {
    fn respond_to(self, _: &'r Request<'_>) -> Result<'static> {
        log::info!(event = 1103, code = self.0.code(); "request refused: {}", self.0);
        let text = self.json();
        let mut response = Response::build();
        response
            .status(Status::new(self.0.status()))
            .header(ContentType::JSON)
            .sized_body(text.len(), Cursor::new(text));
        if let Some(delay) = self.0.retry_after() {
            let seconds = millis(delay).div_ceil(MILLIS_PER_SECOND);
            response.raw_header("Retry-After", seconds.to_string());
        }
        response.ok()
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis().try_into().unwrap_or(u64::MAX)
}
