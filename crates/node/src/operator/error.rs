//! Errors of operator requests.

use crate::sync;
use contract::check::Finding;
use contract::operator::{Conflict, Ran, Refusal};
use contract::{ChangeId, ObjectKey, Severity};
use rocket::http::{ContentType, Status};
use rocket::request::Request;
use rocket::response::{Responder, Response, Result};
use std::io::Cursor;

/// Retry delay suggested with status 503, as when the table service or the log is busy.
const RETRY_AFTER_MS: u64 = 500;

/// Why an operator request failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bearer key is missing or belongs to no operator.
    #[error("the bearer key is missing or names no operator")]
    Unauthenticated,
    /// The node failed while handling the request.
    #[error("this node failed while it handled the request")]
    Internal,
    /// The node has not loaded the configuration yet.
    #[error("this node is starting and doesn't know the configuration yet")]
    Starting,
    /// Rocket rejected the request.
    #[error("refused with status {0}")]
    Http(Status),
    /// The body could not be read completely.
    #[error(transparent)]
    Body(#[from] crate::Error),
    /// The body is not valid JSON of the expected type.
    #[error("the body can't be read: {0}")]
    Json(#[from] serde_json::Error),
    /// The review task ended without a result.
    #[error("the change could not be reviewed")]
    ReviewFailed,
    /// The change id is not a valid name.
    #[error("found change id {0:?}, expected 1 to 64 letters, digits, dots, dashes or underscores")]
    InvalidChangeId(String),
    /// No route has this path.
    #[error("no path {0}")]
    UnknownPath(String),
    /// No object has this key.
    #[error("no object stands under {0}")]
    UnknownObject(ObjectKey),
    /// No change in the log has this id.
    #[error("change {0} isn't in the log")]
    UnknownChange(ChangeId),
    /// Only nodes write member objects.
    #[error("{0} is written by its node and can't be changed")]
    ReadOnlyMember(ObjectKey),
    /// The change is malformed or would make the configuration invalid.
    #[error("{} in the change", count_errors(.0))]
    Findings(Vec<Finding>),
    /// The change was not written, is not accepted yet, or its outcome is unknown.
    #[error(transparent)]
    Sync(#[from] sync::Error),
    /// The step of the key rotation is not possible in the current state of the keys.
    #[error(transparent)]
    Ring(#[from] settings::keyring::Error),
}

impl Error {
    fn code(&self) -> &'static str {
        match self {
            Self::Unauthenticated => "unauthenticated",
            Self::Internal => "internal",
            Self::Starting => "starting",
            Self::Http(_) | Self::Json(_) => "invalid_request",
            Self::Body(error) => error.code(),
            Self::ReviewFailed => "review_failed",
            Self::InvalidChangeId(_) => "invalid_change",
            Self::UnknownPath(_) => "not_found",
            Self::UnknownObject(_) => "unknown_object",
            Self::UnknownChange(_) => "unknown_change",
            Self::ReadOnlyMember(_) => "member",
            Self::Findings(_) => "invalid_configuration",
            Self::Sync(error) => sync_code(error),
            Self::Ring(_) => "key_rotation",
        }
    }

    fn status(&self) -> Status {
        match self {
            Self::Unauthenticated => Status::Unauthorized,
            Self::Starting | Self::ReviewFailed => Status::ServiceUnavailable,
            Self::Internal => Status::InternalServerError,
            Self::Http(status) => *status,
            Self::Body(error) => Status::new(error.status()),
            Self::InvalidChangeId(_) | Self::Json(_) => Status::BadRequest,
            Self::UnknownPath(_) | Self::UnknownObject(_) | Self::UnknownChange(_) => {
                Status::NotFound
            }
            Self::ReadOnlyMember(_) | Self::Findings(_) | Self::Ring(_) => {
                Status::UnprocessableEntity
            }
            Self::Sync(error) => sync_status(error),
        }
    }

    fn ran(&self) -> Ran {
        match self {
            Self::Internal => Ran::Unknown,
            Self::Sync(sync::Error::UnknownOutcome { .. } | sync::Error::UnreadableRow { .. }) => {
                Ran::Unknown
            }
            Self::Sync(sync::Error::Unacknowledged { .. }) => Ran::Yes,
            _ => Ran::No,
        }
    }

    /// Returns the body of the response.
    ///
    /// ```
    /// let refusal = node::operator::Error::UnknownObject("zone/z".into()).refusal();
    /// assert_eq!(refusal.error.code, "unknown_object");
    /// ```
    pub fn refusal(&self) -> Refusal {
        let mut refusal = Refusal::new(self.code(), self.to_string(), self.ran());
        if self.status() == Status::ServiceUnavailable {
            refusal.error.retry_after_ms = Some(RETRY_AFTER_MS);
        }
        if let Self::Findings(findings) = self {
            refusal.findings = findings.iter().map(Into::into).collect();
        }
        if let Self::Sync(sync::Error::Conflict(conflict)) = self {
            refusal.conflict = Some(to_conflict(conflict));
        }
        refusal
    }
}

fn sync_code(error: &sync::Error) -> &'static str {
    match error {
        sync::Error::Invalid(_) | sync::Error::Size { .. } => "invalid_change",
        sync::Error::Conflict(_) => "conflict",
        sync::Error::ChangeIdReused { .. } => "change_id_reused",
        sync::Error::UnknownBase { .. } => "unknown_base",
        sync::Error::Pending { .. } => "pending",
        sync::Error::Contended => "contended",
        sync::Error::Platform(_) => "platform_unreachable",
        sync::Error::UnknownOutcome { .. } => "unknown_outcome",
        sync::Error::Unacknowledged { .. } => "unacknowledged",
        sync::Error::UnreadableRow { .. } => "unreadable_row",
    }
}

fn sync_status(error: &sync::Error) -> Status {
    match error {
        sync::Error::Invalid(_) | sync::Error::Size { .. } => Status::BadRequest,
        sync::Error::Conflict(_) => Status::Conflict,
        sync::Error::ChangeIdReused { .. } | sync::Error::UnknownBase { .. } => {
            Status::UnprocessableEntity
        }
        sync::Error::UnreadableRow { .. } => Status::InternalServerError,
        sync::Error::Pending { .. }
        | sync::Error::Contended
        | sync::Error::Platform(_)
        | sync::Error::UnknownOutcome { .. }
        | sync::Error::Unacknowledged { .. } => Status::ServiceUnavailable,
    }
}

fn to_conflict(conflict: &sync::Conflict) -> Conflict {
    let object = |entry: &wire::Entry| {
        let body = entry.body.as_deref()?;
        serde_json::from_str(body).ok()
    };
    Conflict {
        current: object(&conflict.theirs),
        key: conflict.key.clone(),
        revision: conflict.revision,
        yours: object(&conflict.ours),
    }
}

fn count_errors(findings: &[Finding]) -> String {
    let errors = findings
        .iter()
        .filter(|one| one.violation.severity() == Severity::Error);
    match errors.count() {
        1 => "1 error".to_owned(),
        number => format!("{number} errors"),
    }
}

impl<'r> Responder<'r, 'static> for Error {
    fn respond_to(self, _: &'r Request<'_>) -> Result<'static> {
        let text = serde_json::to_string(&self.refusal()).unwrap_or_default();
        Response::build()
            .status(self.status())
            .header(ContentType::JSON)
            .sized_body(text.len(), Cursor::new(text))
            .ok()
    }
}
