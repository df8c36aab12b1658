//! Settings of the replica.

use contract::Member;
use std::time::Duration;

/// Identity of this node and parameters of the replication.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Member object that this node writes when it joins.
    pub member: Member,
    /// Link addresses from which to fetch the configuration while the platform is unreachable.
    pub seeds: Vec<String>,
    /// Settings of the view: freshness horizon, heartbeats, fan-out.
    pub view: view::Settings,
    /// Interval at which the reader of a zone polls the head of the log.
    pub poll_interval: Duration,
    /// Longest wait for a change to be accepted before the caller gets `Unacknowledged`.
    pub accept_timeout: Duration,
    /// Longest delay with which the platform's VM list shows that a VM has started or ended.
    pub vm_list_lag: Duration,
    /// Interval of lease renewals.
    pub lease_interval: Duration,
    /// Time without a renewal after which a lease has expired.
    pub lease_ttl: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            member: Member {
                http: String::new(),
                incarnation: 0,
                leaving: false,
                link: String::new(),
                node: String::new(),
                zone: String::new(),
            },
            seeds: Vec::new(),
            view: view::Settings::default(),
            poll_interval: Duration::from_millis(250),
            accept_timeout: Duration::from_secs(10),
            vm_list_lag: Duration::from_secs(10),
            lease_interval: Duration::from_secs(5),
            lease_ttl: Duration::from_secs(15),
        }
    }
}
