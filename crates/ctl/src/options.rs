//! Command-line options and commands. Doc comments are the texts of `--help`.

use bpaf::Bpaf;
use std::path::PathBuf;

/// Command line of `sardinectl`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(
    options,
    version,
    descr("sardinectl: drives a fleet of sardinebank nodes"),
    footer(FOOTER)
)]
pub struct Options {
    #[bpaf(external)]
    pub connection: Connection,
    /// Print JSON
    pub json: bool,
    #[bpaf(external)]
    pub command: Command,
}

const FOOTER: &str = "Exit status: 0 done, 1 wrong usage, 2 refused or invalid, 3 conflict with another change, \
4 no node reached, 5 outcome unknown (ask again with the same change id), 6 written, but not accepted (or, with --wait, not in force) when the wait ended.";

/// Connection to the nodes
#[derive(Bpaf, Clone, Debug)]
pub struct Connection {
    /// Base URL of a node, such as http://127.0.0.1:8080; repeatable, tried in turn [SARDINECTL_NODE, separated by commas]
    #[bpaf(argument("URL"), many)]
    pub node: Vec<String>,
    /// Operator key [SARDINECTL_OPERATOR_KEY, which other users of the machine don't see]
    #[bpaf(argument("KEY"), optional)]
    pub operator_key: Option<String>,
    /// Longest wait for one answer of a node, in milliseconds
    #[bpaf(argument("MS"), fallback(5000), display_fallback)]
    pub timeout_ms: u64,
}

/// Options of the change
#[derive(Bpaf, Clone, Debug, Default)]
pub struct Change {
    /// Id of the change; the same id sent again is the same change [default: a new one]
    #[bpaf(argument("ID"), optional)]
    pub change_id: Option<String>,
    /// Validate the change without making it
    pub dry_run: bool,
    /// Wait until the change is in force at every member
    pub wait: bool,
    /// Longest wait with --wait, in milliseconds
    #[bpaf(argument("MS"), fallback(30_000), display_fallback)]
    pub wait_ms: u64,
}

/// Request to be placed
#[derive(Bpaf, Clone, Debug, Default)]
pub struct Placement {
    /// File with the request as JSON; flags go before what it says
    #[bpaf(argument("FILE"), optional)]
    pub file: Option<PathBuf>,
    /// Host of the route
    #[bpaf(argument("HOST"), optional)]
    pub host: Option<String>,
    /// Path
    #[bpaf(argument("PATH"), optional)]
    pub path: Option<String>,
    /// Model [default: the one that is asked first]
    #[bpaf(argument("MODEL"), optional)]
    pub model: Option<String>,
    /// Tokens of the prompt
    #[bpaf(argument("TOKENS"), optional)]
    pub prompt_tokens: Option<f64>,
    /// Expected tokens of the answer
    #[bpaf(argument("TOKENS"), optional)]
    pub output_tokens: Option<f64>,
    /// Kilobytes of the request and the answer
    #[bpaf(argument("KB"), optional)]
    pub kilobytes: Option<f64>,
    /// Part of the prompt and its tokens; repeatable, in order, the last one is the request's own
    #[bpaf(argument("ID:TOKENS"), many)]
    pub part: Vec<Part>,
}

/// Part of a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct Part(pub String, pub f64);

/// The text isn't an id and a number.
#[derive(Debug, thiserror::Error)]
#[error("expected ID:TOKENS")]
pub struct PartError;

impl std::str::FromStr for Part {
    type Err = PartError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (id, tokens) = text.rsplit_once(':').ok_or(PartError)?;
        let tokens = tokens.parse().map_err(|_| PartError)?;
        Ok(Self(id.to_owned(), tokens))
    }
}

/// Commands
#[derive(Bpaf, Clone, Debug)]
pub enum Command {
    /// Apply the objects of files to the configuration
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        change: Change,
        /// Files of objects in TOML
        #[bpaf(positional("FILE"), some("at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Check files, against the configuration of a node if one is given
    #[bpaf(command)]
    Check {
        /// Files of objects in TOML
        #[bpaf(positional("FILE"), some("at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Show the outcome of a change
    #[bpaf(command)]
    Change {
        /// Id of the change
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Show what files would change
    #[bpaf(command)]
    Diff {
        /// Files of objects in TOML
        #[bpaf(positional("FILE"), some("at least one file"))]
        files: Vec<PathBuf>,
    },
    /// Show the state of a node for debugging; keys are redacted
    #[bpaf(command)]
    Dump {
        /// Name of the node, or its base URL
        #[bpaf(positional("NODE"))]
        node: String,
    },
    /// Explain where a request would go now, without sending it; asks an entry node on the operators' platform
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        placement: Placement,
        /// Base URL of the metrics of an entry node, such as http://10.0.1.5:9464
        #[bpaf(positional("URL"))]
        url: String,
    },
    /// Show objects in the format of files
    #[bpaf(command)]
    Get {
        /// Key of an object such as contract/fraser-lyle-desk, or a kind such as contract; all objects without it
        #[bpaf(positional("KEY"), optional)]
        key: Option<String>,
    },
    /// Print the digest of a key that is read from standard input
    #[bpaf(command)]
    Key {
        /// Generate a new key and print it too
        new: bool,
    },
    /// Pause a roll-out: the new version gets no further traffic
    #[bpaf(command)]
    Pause {
        #[bpaf(external)]
        change: Change,
        /// Name of the model
        #[bpaf(positional("MODEL"))]
        model: String,
    },
    /// Remove an object from the configuration
    #[bpaf(command)]
    Remove {
        #[bpaf(external)]
        change: Change,
        /// Key of the object
        #[bpaf(positional("KEY"))]
        key: String,
    },
    /// Remove the withdrawal of a version
    #[bpaf(command)]
    Restore {
        #[bpaf(external)]
        change: Change,
        /// Model and version
        #[bpaf(positional("MODEL@VERSION"))]
        version: String,
    },
    /// Resume a roll-out
    #[bpaf(command)]
    Resume {
        #[bpaf(external)]
        change: Change,
        /// Name of the model
        #[bpaf(positional("MODEL"))]
        model: String,
    },
    /// Roll out a version with a budget of bad answers
    #[bpaf(command)]
    Rollout {
        #[bpaf(external)]
        change: Change,
        /// Version to roll out
        #[bpaf(argument("VERSION"))]
        to: String,
        /// Bad answers that may be spent to learn the version's quality
        #[bpaf(argument("N"), fallback(20), display_fallback)]
        bad_answers: u32,
        /// Name of the model
        #[bpaf(positional("MODEL"))]
        model: String,
    },
    /// Change a key that nodes share, on every member: add, use, then remove the old one
    #[bpaf(command)]
    Rotate {
        /// Keys of links or of session tokens: link or session
        #[bpaf(positional("RING"))]
        ring: contract::operator::Ring,
        /// add, use or remove; the key is read from standard input
        #[bpaf(positional("STEP"))]
        step: contract::operator::Step,
    },
    /// Show members, zones and versions, and whether the configuration is in force
    #[bpaf(command)]
    Status,
    /// Show the log lines of nodes about one request; no node is contacted
    #[bpaf(command)]
    Story {
        /// Id of the request
        #[bpaf(positional("REQUEST"))]
        request: String,
        /// Files with the JSON log lines of nodes; standard input without them
        #[bpaf(positional("FILE"), many)]
        files: Vec<PathBuf>,
    },
    /// Withdraw a version: it receives no new work
    #[bpaf(command)]
    Withdraw {
        #[bpaf(external)]
        change: Change,
        /// Reason, stored with the withdrawal
        #[bpaf(argument("TEXT"), fallback(String::new()))]
        reason: String,
        /// Model and version
        #[bpaf(positional("MODEL@VERSION"))]
        version: String,
    },
    /// Take an availability zone out, or bring it back in
    #[bpaf(command)]
    Zone {
        #[bpaf(external)]
        change: Change,
        /// out or in
        #[bpaf(positional("out|in"))]
        direction: Direction,
        /// Name of the zone
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
}

/// Whether a zone is taken out of service or brought back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    In,
    Out,
}

/// The text is neither `out` nor `in`.
#[derive(Debug, thiserror::Error)]
#[error("expected out or in")]
pub struct DirectionError;

impl std::str::FromStr for Direction {
    type Err = DirectionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "in" => Ok(Self::In),
            "out" => Ok(Self::Out),
            _ => Err(DirectionError),
        }
    }
}
