//! Inputs of a plan.

use crate::plan::Budget;
use contract::Version;
use std::time::Duration;

/// A version that the contract allows and that isn't withdrawn.
#[derive(Clone, Copy, Debug)]
pub struct Offer<'a> {
    /// Model of the version.
    pub model: &'a str,
    /// Prices and prior quality of the version.
    pub version: &'a Version,
    /// Whether a backend server of the version accepts requests now.
    pub ready: bool,
    /// Expected time in the queue for the version's backend servers.
    pub wait: Duration,
}

/// A request that needs a plan.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Customer that sent the request.
    pub customer: &'a str,
    /// Task of the request; empty when the caller named a model.
    pub task: &'a str,
    /// Quality target: the share of answers that must be good, 0 to 1.
    pub target: f64,
    /// Time left until the answer must be complete.
    pub deadline: Duration,
    /// Whether an answer may be rated and escalated before the caller sees it.
    pub allow_cascade: bool,
    /// Expected time of a rating; `None` while the rating service is unavailable.
    pub rating_latency: Option<Duration>,
    /// Model and version of the request's session.
    pub session: Option<(&'a str, &'a str)>,
    /// Remaining budget of the customer.
    pub budget: Budget,
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Maximum length of the answer in tokens.
    pub max_tokens: u32,
    /// Number of nodes that share the budgets of bad answers.
    pub nodes: u32,
}

impl Default for Query<'_> {
    fn default() -> Self {
        Self {
            customer: "",
            task: "",
            target: 0.9,
            deadline: Duration::from_secs(60),
            allow_cascade: true,
            rating_latency: None,
            session: None,
            budget: Budget::Ample,
            prompt_tokens: 0,
            max_tokens: 1_024,
            nodes: 1,
        }
    }
}
