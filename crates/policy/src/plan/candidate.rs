//! Versions that may answer.

use crate::quality::Estimate;
use contract::Micros;
use serde::Serialize;
use std::time::Duration;

/// Where a version stands in its life.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// In service.
    #[default]
    Serving,
    /// On trial: it takes only requests drawn for the trial.
    Trial,
    /// Found bad: it takes no new requests while another version can.
    Demoted,
}

/// A version that the contract allows and that isn't withdrawn.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Model of the version.
    pub model: &'a str,
    /// Name of the version.
    pub version: &'a str,
    /// Expected cost of one answer in micro-units of money.
    pub cost: Micros,
    /// Expected time to the whole answer.
    pub latency: Duration,
    /// Time within which 95 in 100 answers are whole.
    pub tail_latency: Duration,
    /// Expected quality.
    pub quality: Estimate,
    /// Expected quality on requests at which a cheaper version has failed.
    pub escalated_quality: Estimate,
    /// Whether a backend server of the version takes requests now.
    pub ready: bool,
    /// Where the version stands in its life.
    pub status: Status,
}
