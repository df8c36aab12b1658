//! What is decided for a request.

use contract::{Task, Version};
use policy::plan::Budget;
use std::time::Duration;

/// Time of a request whose contract names no deadline.
pub(crate) const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Longest answer in tokens of a request whose contract names none.
pub(crate) const DEFAULT_MAX_TOKENS: u32 = 1_024;

/// A request that needs a plan.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Customer that asks.
    pub customer: &'a str,
    /// Task of the request; empty when the caller named a model.
    pub task: &'a str,
    /// What the contract expects; none when the caller named a model.
    pub expected: Option<&'a Task>,
    /// Whether the caller reads the answer as it is made.
    pub stream: bool,
    /// Time left; none for the whole time of the contract.
    pub left: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Model and version of the request's session.
    pub session: Option<(&'a str, &'a str)>,
    /// What is left of the customer's budget.
    pub budget: Budget,
    /// 0 goes first, 9 last.
    pub priority: u8,
    /// Fair share relative to other customers.
    pub weight: u32,
    /// Nodes of the fleet.
    pub nodes: u32,
}

impl Requirements<'_> {
    /// Share of answers that must be good. A caller that names a model takes it as it is.
    pub(super) fn target(&self) -> f64 {
        self.expected.map_or(0.0, |task| task.quality)
    }

    pub(super) fn deadline(&self) -> Duration {
        let whole = self.expected.map_or(DEFAULT_DEADLINE, |task| {
            Duration::from_millis(task.deadline_ms)
        });
        self.left.unwrap_or(whole)
    }

    /// A streamed answer can be replaced only where it is held back.
    pub(super) fn cascade(&self) -> bool {
        self.expected
            .is_some_and(|task| task.cascade && (task.hold || !self.stream))
    }

    pub(super) fn max_tokens(&self) -> u32 {
        self.expected
            .map_or(DEFAULT_MAX_TOKENS, |task| task.max_tokens)
    }
}

impl Default for Requirements<'_> {
    fn default() -> Self {
        Self {
            customer: "",
            task: "",
            expected: None,
            stream: false,
            left: None,
            prompt_tokens: 0,
            session: None,
            budget: Budget::Ample,
            priority: 5,
            weight: 1,
            nodes: 1,
        }
    }
}

/// Name and prices of a version that may answer.
pub(super) type Offered<'a> = (&'a str, &'a Version);
