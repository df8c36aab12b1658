//! What a caller sent and got.

use serde::Serialize;

/// One attempt of a caller.
#[derive(Clone, Debug, Serialize)]
pub struct Request {
    /// Customer of the key.
    pub customer: String,
    /// Name of the node that was asked.
    pub node: String,
    /// What was asked for.
    pub target: Target,
    /// Text that no other attempt sent, as backend servers report it with the run.
    pub subject: String,
    /// Number that the caller gives to its session, if it holds one.
    pub session: Option<u64>,
    /// When it was sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// When its outcome was known.
    pub ended_ms: u64,
    /// Request id given by the node.
    pub request_id: Option<String>,
    /// `model@version` that answered.
    pub served: Option<String>,
    /// What came of it.
    pub outcome: Outcome,
}

/// What was asked for.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// A chat completion.
    Chat {
        /// Model, version or task.
        model: String,
        /// Whether the answer was streamed.
        stream: bool,
    },
    /// A call of a plain service that may be repeated.
    Lookup,
    /// A call of a plain service that may not be repeated.
    Confirmation {
        /// Idempotency key.
        key: String,
    },
}

/// Whether the work ran, as a refusal says.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It didn't.
    No,
    /// It did.
    Yes,
    /// It can't be told.
    Unknown,
}

/// What came of an attempt.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// An answer that was marked as complete, with its text.
    Whole(String),
    /// A typed error.
    Refused {
        /// Code of the error.
        code: String,
        /// Whether the work ran.
        ran: Ran,
    },
    /// The connection broke, or the answer had no valid form.
    Broken(String),
    /// The caller gave up waiting.
    TimedOut,
    /// No connection came about, so nothing was sent.
    Unreached,
}

impl Request {
    /// Whether a whole answer came.
    pub fn answered(&self) -> bool {
        matches!(self.outcome, Outcome::Whole(_))
    }

    /// Whether the attempt certainly didn't run, by what its caller was told.
    pub fn told_not_run(&self) -> bool {
        match &self.outcome {
            Outcome::Refused { ran, .. } => *ran == Ran::No,
            Outcome::Unreached => true,
            _ => false,
        }
    }
}
