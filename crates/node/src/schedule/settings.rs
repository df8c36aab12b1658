//! Settings of the scheduler.

use limits::{admission, retry, spend};
use policy::{placement, planner};
use std::str::FromStr;
use std::time::Duration;

/// How plans and backend servers are chosen. All policies but `Planned` are baselines for benchmarks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// Uses the cheapest plan that meets the contract.
    #[default]
    Planned,
    /// Always uses the version with the best prior quality.
    Best,
    /// Always uses the cheapest allowed version.
    Cheapest,
    /// Uses the cheapest plan, on backend servers in round-robin order.
    RoundRobin,
    /// Uses the cheapest plan, on the backend server with the fewest requests from this node.
    LeastOutstanding,
}

impl FromStr for Policy {
    type Err = Unknown;

    fn from_str(name: &str) -> Result<Self, Unknown> {
        match name {
            "planned" => Ok(Self::Planned),
            "best" => Ok(Self::Best),
            "cheapest" => Ok(Self::Cheapest),
            "round-robin" => Ok(Self::RoundRobin),
            "least-outstanding" => Ok(Self::LeastOutstanding),
            _ => Err(Unknown(name.to_owned())),
        }
    }
}

/// Error for a name that is no policy.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error(
    "--policy: unknown policy `{0}`, expected planned, best, cheapest, round-robin or least-outstanding"
)]
pub struct Unknown(pub String);

/// Settings of the scheduler.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How plans and backend servers are chosen.
    pub policy: Policy,
    /// Learning of quality and latency.
    pub planner: planner::Settings,
    /// Placement on backend servers.
    pub placement: placement::Settings,
    /// Admission queues of pools.
    pub admission: admission::Settings,
    /// Retry budget.
    pub retry: retry::Settings,
    /// Budget of hedged requests.
    pub hedge: retry::Settings,
    /// Allocation of spending budgets to nodes.
    pub spend: spend::Settings,
    /// Interval at which new rating counters are sent to peers.
    pub exchange_interval: Duration,
    /// Interval at which all rating counters are sent to peers, for nodes that have just started.
    pub refresh_interval: Duration,
    /// Interval at which allocations of budgets are refilled.
    pub top_up_interval: Duration,
    /// Maximum number of samples that wait for a rating.
    pub max_samples: usize,
    /// Maximum number of concurrent requests for ratings of samples.
    pub max_ratings: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: Policy::Planned,
            planner: planner::Settings::default(),
            placement: placement::Settings::default(),
            admission: admission::Settings::default(),
            retry: retry::Settings::default(),
            hedge: retry::Settings::hedge(),
            spend: spend::Settings::default(),
            exchange_interval: Duration::from_millis(250),
            refresh_interval: Duration::from_secs(15),
            top_up_interval: Duration::from_millis(500),
            max_samples: 512,
            max_ratings: 16,
        }
    }
}
