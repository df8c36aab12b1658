//! Labels of the counters.

use prometheus_client::encoding::EncodeLabelSet;

/// What a request was and how it ended.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Request {
    /// Kind of the route; none before a route was found.
    pub kind: &'static str,
    /// Status of the answer.
    pub status: u16,
    /// Why the node refused it; empty when it didn't.
    pub refusal: &'static str,
}

/// How a send to a backend server ended.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Send {
    /// Service of the backend server.
    pub service: String,
    /// How it ended.
    pub outcome: &'static str,
}

/// A call to the store.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Call {
    /// The table.
    pub table: &'static str,
    /// Whether it was answered.
    pub outcome: &'static str,
}
