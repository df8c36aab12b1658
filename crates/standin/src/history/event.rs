//! What was done to processes, and what they were seen to say.

use serde::Serialize;

/// A node that was killed, or whose callers were cut off, so that answers may break.
#[derive(Clone, Debug, Serialize)]
pub struct Interruption {
    /// Name of the node.
    pub node: String,
    /// When it began, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// When it was over: the process had ended, or callers could reach it again.
    pub until_ms: u64,
}

/// A planned stop of a node.
#[derive(Clone, Debug, Serialize)]
pub struct Stop {
    /// Name of the node.
    pub node: String,
    /// When it was signalled.
    pub at_ms: u64,
    /// When the process had ended, if it did.
    pub ended_ms: Option<u64>,
    /// Exit status, if the process ended by itself.
    pub status: Option<i32>,
}

/// A backend server that was listed as leaving.
#[derive(Clone, Debug, Serialize)]
pub struct Leaving {
    /// Address of the backend server.
    pub backend: String,
    /// When readers of the list could see it.
    pub at_ms: u64,
    /// When it was listed as live again.
    pub until_ms: Option<u64>,
}

/// A node's own word on its configuration.
#[derive(Clone, Debug, Serialize)]
pub struct Reading {
    /// Name of the node.
    pub node: String,
    /// Number of its start.
    pub incarnation: u64,
    /// When it was asked.
    pub at_ms: u64,
    /// Revision that it has applied.
    pub revision: u64,
    /// Whether it starts new work.
    pub serving: bool,
}
