//! What can go wrong, and the exit status of each.

use contract::file::Problem;
use contract::operator::{Outcome, Refusal};
use reqwest::StatusCode;
use serde_json::{Value, json};
use std::io;
use std::path::PathBuf;

/// Why a command wasn't carried out.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No node is named.
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
        /// What the system said.
        source: io::Error,
    },
    /// Standard input holds no key.
    #[error("standard input holds no key of at least 16 printable characters")]
    Input,
    /// An argument isn't a model and version.
    #[error("found {0:?}, expected MODEL@VERSION")]
    VersionName(String),
    /// The files are wrong.
    #[error("{} in the files:\n{}", count(.0), lines(.0))]
    Problems(Vec<Problem>),
    /// No object stands under a key.
    #[error("nothing stands under {0}")]
    Absent(String),
    /// No member has this name.
    #[error("no member is named {0}")]
    NoMember(String),
    /// The fleet has no members yet.
    #[error("the configuration names no member")]
    NoMembers,
    /// A node refused.
    #[error("refused: {}{}", .refusal.error.message, findings(.refusal))]
    Refused {
        /// Status of the answer.
        status: StatusCode,
        /// What the node said.
        refusal: Box<Refusal>,
    },
    /// Another change came first.
    #[error("conflict: {}{}", .0.error.message, conflict(.0))]
    Conflict(Box<Refusal>),
    /// No node answered, and nothing was done.
    #[error("no node answered; nothing was done{}", tried(.0))]
    Unreachable(Vec<Attempt>),
    /// An answer was lost, and asking again gave none.
    #[error("whether change {change} was made is unknown; `sardinectl change {change}` tells, and sending it again with --change-id {change} can't make it twice{}", tried(.attempts))]
    Unknown {
        /// Id of the change.
        change: String,
        /// What was tried.
        attempts: Vec<Attempt>,
    },
    /// The change is in the log, and not accepted or, with --wait, not in force everywhere yet.
    #[error("{}", crate::change::describe(.0))]
    Waiting(Box<Outcome>),
    /// A shared key was changed on some members only.
    #[error("the key was not changed on {}; repeat the command, it does no harm where it worked", .0.join(", "))]
    Partial(Vec<String>),
    /// The HTTP client can't be built.
    #[error("HTTP client: {0}")]
    Client(reqwest::Error),
    /// A value can't be shown as TOML.
    #[error("can't be shown as TOML: {0}")]
    Toml(#[from] toml::ser::Error),
}

/// One node that gave no answer.
#[derive(Debug, thiserror::Error)]
#[error("{node}: {fault}")]
pub struct Attempt {
    /// Base URL of the node.
    pub node: String,
    /// Why there is no answer.
    pub fault: AttemptFault,
}

/// Why a node gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum AttemptFault {
    /// The request failed or its answer was lost.
    #[error("{}", chain(.0))]
    Http(reqwest::Error),
    /// The node can't do it now.
    #[error("{}", .0.error.message)]
    Busy(Box<Refusal>),
    /// The answer can't be read.
    #[error("status {0}, and a body that isn't an answer of a node")]
    Body(StatusCode),
}

impl Error {
    /// Exit status of the process.
    pub fn status(&self) -> u8 {
        match self {
            Self::NoNode
            | Self::NoKey
            | Self::File { .. }
            | Self::Input
            | Self::VersionName(_)
            | Self::Client(_)
            | Self::Toml(_) => 1,
            Self::Problems(_)
            | Self::Absent(_)
            | Self::NoMember(_)
            | Self::NoMembers
            | Self::Refused { .. } => 2,
            Self::Conflict(_) => 3,
            Self::Unreachable(_) | Self::Partial(_) => 4,
            Self::Unknown { .. } => 5,
            Self::Waiting(_) => 6,
        }
    }

    /// The error as JSON.
    pub fn json(&self) -> Value {
        let error = json!({ "status": self.status(), "message": self.to_string() });
        match self {
            Self::Problems(problems) => {
                let lines: Vec<_> = problems.iter().map(Problem::to_string).collect();
                json!({ "error": error, "problems": lines })
            }
            Self::Refused { refusal, .. } | Self::Conflict(refusal) => {
                json!({ "error": error, "refusal": refusal })
            }
            Self::Unknown { change, .. } => json!({ "error": error, "change": change }),
            Self::Waiting(outcome) => json!({ "error": error, "outcome": outcome }),
            _ => json!({ "error": error }),
        }
    }
}

fn count(problems: &[Problem]) -> String {
    match problems.len() {
        1 => "1 problem".to_owned(),
        number => format!("{number} problems"),
    }
}

fn lines(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(|one| format!("  {one}")).collect();
    lines.join("\n")
}

fn findings(refusal: &Refusal) -> String {
    let line = |one: &contract::operator::Finding| {
        format!("\n  {} {}: {}", one.key, one.path, one.message)
    };
    refusal.findings.iter().map(line).collect()
}

fn conflict(refusal: &Refusal) -> String {
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

fn tried(attempts: &[Attempt]) -> String {
    let line = |one: &Attempt| format!("\n  {one}");
    attempts.iter().map(line).collect()
}

/// An error with its causes.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
