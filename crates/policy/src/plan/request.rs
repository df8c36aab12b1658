//! Requirements of a plan.

use contract::Micros;
use std::time::Duration;

/// Remaining budget of a customer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Budget {
    /// Unlimited, or far from spent.
    #[default]
    Ample,
    /// Nearly spent, with this amount left: the cheapest plan is preferred.
    Low(Micros),
}

/// Requirements of a plan.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
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
    /// What is left of the customer's budget.
    pub budget: Budget,
    /// The candidate on trial for which this request is selected.
    pub trial: Option<usize>,
    /// Whether to use the upper bounds of the quality estimates in place of the lower ones. Such
    /// requests try versions again that were rated low by chance on few ratings.
    pub optimistic: bool,
    /// How far below the quality target a plan may be to be mixed with a better one, 0 to 1. At 0,
    /// plans are never mixed.
    pub quality_slack: f64,
    /// Random number from 0 to 1 that selects one of two mixed plans.
    pub random: f64,
}

impl Default for Request<'_> {
    fn default() -> Self {
        Self {
            target: 0.9,
            deadline: Duration::from_secs(60),
            allow_cascade: true,
            rating_latency: None,
            session: None,
            budget: Budget::Ample,
            trial: None,
            optimistic: false,
            quality_slack: 0.0,
            random: 0.0,
        }
    }
}
