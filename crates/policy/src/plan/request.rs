//! What a plan must meet.

use contract::Micros;
use std::time::Duration;

/// What is left of a customer's budget.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Budget {
    /// No limit, or far from it.
    #[default]
    Ample,
    /// Near the end: cheaper plans go first.
    Low(Micros),
}

/// What a plan must meet.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Share of answers that must be good, 0 to 1.
    pub target: f64,
    /// Time left for the whole answer.
    pub deadline: Duration,
    /// Whether an answer may be rated and escalated before the caller sees it.
    pub allow_cascade: bool,
    /// Expected time of a rating; none while the rating service is out of reach.
    pub rating_latency: Option<Duration>,
    /// Model and version of the request's session.
    pub session: Option<(&'a str, &'a str)>,
    /// What is left of the customer's budget.
    pub budget: Budget,
    /// The candidate on trial that this request is drawn for.
    pub trial: Option<usize>,
    /// Whether to judge versions by the upper bound in place of the lower, which lets a version be
    /// tried again that had bad luck with few ratings.
    pub optimistic: bool,
    /// How far below the target a plan may be that is mixed with a better one, 0 to 1. At 0 no
    /// plans are mixed.
    pub quality_slack: f64,
    /// A random number from 0 to 1 that decides between mixed plans.
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
