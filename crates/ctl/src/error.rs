//! Errors of commands and their exit statuses.

use contract::file::Problem;
use contract::operator::{Outcome, Refusal};
use reqwest::StatusCode;
use serde_json::{Value, json};
use std::io;
use std::path::PathBuf;

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No node is given.
    #[error("no node: give --node or SARDINECTL_NODE")]
    NoNode,
    /// No key is given.
    #[error("no operator key: give SARDINECTL_OPERATOR_KEY or --operator-key")]
    NoKey,
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Standard input contains no valid key.
    #[error("standard input holds no key of at least 16 printable characters")]
    InvalidKey,
    /// An argument isn't of the form `MODEL@VERSION`.
    #[error("found {0:?}, expected MODEL@VERSION")]
    InvalidVersion(String),
    /// The files contain errors.
    #[error("{} in the files:\n{}", count_problems(.0), list_problems(.0))]
    InvalidFiles(Vec<Problem>),
    /// No object has this key.
    #[error("nothing stands under {0}")]
    NotFound(String),
    /// No member has this name.
    #[error("no member is named {0}")]
    NoMember(String),
    /// The configuration has no members yet.
    #[error("the configuration names no member")]
    NoMembers,
    /// A node rejected the request.
    #[error("refused: {}{}", .refusal.error.message, list_findings(.refusal))]
    Refused {
        /// Status of the response.
        status: StatusCode,
        /// Body of the response.
        refusal: Box<Refusal>,
    },
    /// The change conflicts with an earlier one.
    #[error("conflict: {}{}", .0.error.message, describe_conflict(.0))]
    Conflict(Box<Refusal>),
    /// No node responded, and nothing was executed.
    #[error("no node answered; nothing was done{}", list_attempts(.0))]
    Unreachable(Vec<Attempt>),
    /// A response was lost, and no retry got one, so the change may have been made or not.
    #[error("whether change {change} was made is unknown; `sardinectl change {change}` tells, and sending it again with --change-id {change} can't make it twice{}", list_attempts(.attempts))]
    UnknownOutcome {
        /// Id of the change.
        change: String,
        /// The failed attempts.
        attempts: Vec<Attempt>,
    },
    /// The change is in the log, but not yet accepted or, with --wait, not yet in force at every
    /// member.
    #[error("{}", crate::change::describe(.0))]
    Pending(Box<Outcome>),
    /// A rotation of a shared key failed on these members.
    #[error("the key was not changed on {}; repeat the command, it does no harm where it worked", .0.join(", "))]
    PartialRotation(Vec<String>),
    /// The HTTP client can't be built.
    #[error("HTTP client: {0}")]
    Client(reqwest::Error),
    /// A node didn't explain a placement.
    #[error("no explanation: {0}")]
    Explain(reqwest::Error),
    /// A placement can't be explained.
    #[error("no explanation: {0}")]
    NotExplained(String),
    /// A value can't be serialized as TOML.
    #[error("can't be shown as TOML: {0}")]
    Toml(#[from] toml::ser::Error),
}

/// A failed call to one node.
#[derive(Debug, thiserror::Error)]
#[error("{node}: {error}")]
pub struct Attempt {
    /// Base URL of the node.
    pub node: String,
    /// Reason of the failure.
    pub error: AttemptError,
}

/// Reason why a call to a node failed.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// The request failed or its response was lost.
    #[error("{}", with_causes(.0))]
    Http(reqwest::Error),
    /// The node can't handle the request at the moment.
    #[error("{}", .0.error.message)]
    Unavailable(Box<Refusal>),
    /// The body isn't one that a node sends.
    #[error("status {0}, and a body that isn't an answer of a node")]
    UnexpectedBody(StatusCode),
}

impl Error {
    /// Exit status of the process.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::NoNode
            | Self::NoKey
            | Self::File { .. }
            | Self::InvalidKey
            | Self::InvalidVersion(_)
            | Self::Client(_)
            | Self::Toml(_) => 1,
            Self::InvalidFiles(_)
            | Self::NotExplained(_)
            | Self::NotFound(_)
            | Self::NoMember(_)
            | Self::NoMembers
            | Self::Refused { .. } => 2,
            Self::Conflict(_) => 3,
            Self::Explain(_) | Self::Unreachable(_) | Self::PartialRotation(_) => 4,
            Self::UnknownOutcome { .. } => 5,
            Self::Pending(_) => 6,
        }
    }

    /// The error as a JSON object, for `--json`.
    pub fn to_json(&self) -> Value {
        let error = json!({ "status": self.exit_status(), "message": self.to_string() });
        match self {
            Self::InvalidFiles(problems) => {
                let lines: Vec<_> = problems.iter().map(Problem::to_string).collect();
                json!({ "error": error, "problems": lines })
            }
            Self::Refused { refusal, .. } | Self::Conflict(refusal) => {
                json!({ "error": error, "refusal": refusal })
            }
            Self::UnknownOutcome { change, .. } => json!({ "error": error, "change": change }),
            Self::Pending(outcome) => json!({ "error": error, "outcome": outcome }),
            _ => json!({ "error": error }),
        }
    }
}

fn count_problems(problems: &[Problem]) -> String {
    match problems.len() {
        1 => "1 problem".to_owned(),
        number => format!("{number} problems"),
    }
}

fn list_problems(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(|one| format!("  {one}")).collect();
    lines.join("\n")
}

fn list_findings(refusal: &Refusal) -> String {
    let line = |one: &contract::operator::Finding| {
        format!("\n  {} {}: {}", one.key, one.path, one.message)
    };
    refusal.findings.iter().map(line).collect()
}

fn describe_conflict(refusal: &Refusal) -> String {
    let Some(conflict) = &refusal.conflict else {
        return String::new();
    };
    let show = |value: &Option<Value>| match value {
        Some(value) => value.to_string(),
        None => "nothing".to_owned(),
    };
    format!(
        "\n  {} at revision {}\n  now:   {}\n  yours: {}",
        conflict.key,
        conflict.revision,
        show(&conflict.current),
        show(&conflict.yours)
    )
}

fn list_attempts(attempts: &[Attempt]) -> String {
    let line = |one: &Attempt| format!("\n  {one}");
    attempts.iter().map(line).collect()
}

/// Message of an error, followed by those of its causes.
fn with_causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
