//! Requirements of a request that a plan has to meet.

use contract::{Task, Version};
use policy::plan::Budget;
use std::time::Duration;

/// Deadline of a request whose contract sets none.
pub(crate) const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Maximum answer length in tokens of a request whose contract sets none.
pub(crate) const DEFAULT_MAX_TOKENS: u32 = 1_024;

/// Requirements of a request that a plan has to meet.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Customer that sent the request.
    pub customer: &'a str,
    /// Task of the request; empty if the caller named a model.
    pub task: &'a str,
    /// Terms of the contract for the task; `None` if the caller named a model.
    pub expected: Option<&'a Task>,
    /// Whether the answer is streamed to the caller.
    pub stream: bool,
    /// Remaining time; `None` for the full deadline of the contract.
    pub left: Option<Duration>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Model and version that the request's session is pinned to.
    pub session: Option<(&'a str, &'a str)>,
    /// Remaining budget of the customer.
    pub budget: Budget,
    /// Priority from 0 (highest) to 9 (lowest).
    pub priority: u8,
    /// Weight of the customer in fair queueing.
    pub weight: u32,
    /// Number of nodes in the fleet.
    pub nodes: u32,
}

impl Requirements<'_> {
    /// Required fraction of good answers. No quality is required of a model that the caller named.
    pub(super) fn target(&self) -> f64 {
        self.expected.map_or(0.0, |task| task.quality)
    }

    pub(super) fn deadline(&self) -> Duration {
        let full = self.expected.map_or(DEFAULT_DEADLINE, |task| {
            Duration::from_millis(task.deadline_ms)
        });
        self.left.unwrap_or(full)
    }

    /// Whether a cascade is allowed. A streamed answer can only be replaced if it is held back until
    /// it is rated.
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

/// Model name and specification of a version that may answer.
pub(super) type Offered<'a> = (&'a str, &'a Version);
