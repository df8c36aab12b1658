//! Versions that a plan can use.

use crate::quality::Estimate;
use contract::Micros;
use serde::Serialize;
use std::time::Duration;

/// Roll-out status of a version, which decides how plans use it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// In service.
    #[default]
    Serving,
    /// On trial: takes only requests that are selected for the trial.
    Trial,
    /// Failed its quality check: takes no new requests while another version can.
    Demoted,
}

/// A version that the contract allows and that isn't withdrawn, with its estimates.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Model of the version.
    pub model: &'a str,
    /// Name of the version.
    pub version: &'a str,
    /// Expected cost of one answer in micro-units of money.
    pub cost: Micros,
    /// Expected time until the answer is complete.
    pub latency: Duration,
    /// 95th percentile of the time until the answer is complete.
    pub tail_latency: Duration,
    /// Expected quality.
    pub quality: Estimate,
    /// Expected quality on requests that another version has failed.
    pub escalated_quality: Estimate,
    /// Whether a backend server of the version accepts requests now.
    pub ready: bool,
    /// Roll-out status of the version.
    pub status: Status,
}
