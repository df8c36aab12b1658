//! Settings of decisions.

use limits::{admission, retry, spend};
use policy::{placement, planner};
use std::str::FromStr;
use std::time::Duration;

/// How plans and backend servers are chosen. All but the first are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// The cheapest plan that meets the contract.
    #[default]
    Planned,
    /// The version with the best prior, always.
    Best,
    /// The cheapest allowed version, always.
    Cheapest,
    /// The cheapest plan, on backend servers in turn.
    RoundRobin,
    /// The cheapest plan, on the backend server with the fewest requests of this node.
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

/// No policy has this name.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("--policy: `{0}` isn't planned, best, cheapest, round-robin or least-outstanding")]
pub struct Unknown(pub String);

/// Settings of decisions.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How plans and backend servers are chosen.
    pub policy: Policy,
    /// What is learned, and how.
    pub planner: planner::Settings,
    /// Choice of backend servers.
    pub place: placement::Settings,
    /// Queues before pools.
    pub admission: admission::Settings,
    /// Retries.
    pub retry: retry::Settings,
    /// Hedged requests.
    pub hedge: retry::Settings,
    /// Shares of budgets.
    pub spend: spend::Settings,
    /// Interval at which counts go to peers.
    pub exchange_interval: Duration,
    /// Interval at which all counts go to peers, for those that have just started.
    pub refresh_interval: Duration,
    /// Interval at which shares of budgets are topped up.
    pub top_up_interval: Duration,
    /// Samples that wait for a rating.
    pub max_samples: usize,
    /// Ratings asked for at once.
    pub max_ratings: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: Policy::Planned,
            planner: planner::Settings::default(),
            place: placement::Settings::default(),
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
