//! Settings of the replica.

use contract::Member;
use std::time::Duration;

/// Who this node is and how it keeps up with the configuration.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node as other members see it.
    pub member: Member,
    /// Link addresses to ask for the configuration while the platform can't be reached.
    pub seeds: Vec<String>,
    /// Limits of the view: horizon, heartbeats, fan-out.
    pub view: view::Settings,
    /// Interval at which the reader of a zone reads the head.
    pub poll_interval: Duration,
    /// How long a change waits to be accepted before the caller is told that it isn't yet.
    pub accept_timeout: Duration,
    /// How long the platform's list may still lack a VM that runs, or name one that is gone.
    pub vm_list_lag: Duration,
    /// Interval at which the lease is renewed.
    pub lease_interval: Duration,
    /// Time without a renewed lease after which a member may be dead.
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
