//! Names of all metrics. Each has a row in docs/METRICS.md.

/// A number of things that happened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Counter {
    /// Answers to requests; tags `route` and `status`.
    Requests,
    /// Requests billed, by the answer that was received; tags `model` and `version`.
    Answers,
    /// Tokens billed, of all runs of a request; tags `model` and `version`.
    OutputTokens,
    /// Micro-units of money billed; tag `customer`.
    CostMicros,
}

/// A time in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Timer {
    /// From a request's head to its answer's head; tag `route`.
    RequestMs,
}

/// A value at the time of the report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Gauge {
    /// Requests under way.
    InFlight,
    /// Revision that the node has applied.
    Revision,
    /// Whether the node starts new work, 1 or 0.
    Serving,
    /// Members of the fleet.
    Members,
    /// Members that have not confirmed the node's revision.
    Outstanding,
    /// Backend servers as last listed.
    BackendServers,
}

impl Counter {
    /// All counters.
    pub const ALL: [Self; 4] = [
        Self::Requests,
        Self::Answers,
        Self::OutputTokens,
        Self::CostMicros,
    ];

    /// Name after the prefix.
    ///
    /// ```
    /// assert_eq!(node::metrics::Counter::Requests.name(), "requests");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Answers => "answers",
            Self::OutputTokens => "output_tokens",
            Self::CostMicros => "cost_micros",
        }
    }
}

impl Timer {
    /// All timers.
    pub const ALL: [Self; 1] = [Self::RequestMs];

    /// Name after the prefix.
    ///
    /// ```
    /// assert_eq!(node::metrics::Timer::RequestMs.name(), "request_ms");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::RequestMs => "request_ms",
        }
    }
}

impl Gauge {
    /// All gauges.
    pub const ALL: [Self; 6] = [
        Self::InFlight,
        Self::Revision,
        Self::Serving,
        Self::Members,
        Self::Outstanding,
        Self::BackendServers,
    ];

    /// Name after the prefix.
    ///
    /// ```
    /// assert_eq!(node::metrics::Gauge::Revision.name(), "revision");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::InFlight => "requests_under_way",
            Self::Revision => "revision",
            Self::Serving => "serving",
            Self::Members => "members",
            Self::Outstanding => "outstanding_members",
            Self::BackendServers => "backend_servers",
        }
    }
}
