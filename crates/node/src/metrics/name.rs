//! Names of all metrics. Each has a row in docs/METRICS.md, which a test verifies.

/// Counter of events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Counter {
    /// HTTP responses; tags `route` and `status`.
    Requests,
    /// Billed requests, by the model that answered; tags `model` and `version`.
    Answers,
    /// Billed output tokens of all runs of a request; tags `model` and `version`.
    OutputTokens,
    /// Billed cost in micro-units of currency; tag `customer`.
    CostMicros,
}

/// Duration in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Timer {
    /// Time from a request's headers to the response's headers; tag `route`.
    RequestMs,
}

/// Value at the time of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Gauge {
    /// Requests in flight.
    InFlight,
    /// Configuration revision that the node has applied.
    Revision,
    /// 1 if the node accepts new work, 0 otherwise.
    Serving,
    /// Members of the fleet.
    Members,
    /// Members that haven't confirmed the node's revision.
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

    /// Returns the name without the prefix.
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

    /// Returns the name without the prefix.
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

    /// Returns the name without the prefix.
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
