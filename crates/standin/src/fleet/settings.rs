//! Settings of a fleet.

use super::config::WARM_AFTER;
use crate::engine;
use crate::launch::EngineSpec;
use std::time::Duration;

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Availability zones, each with this many nodes.
    pub zones: Vec<(String, usize)>,
    /// Model engines.
    pub engines: Vec<EngineSpec>,
    /// Zones of the reservation servers.
    pub services: Vec<String>,
    /// Time that a call of the reservation service takes.
    pub service_latency: Duration,
    /// Lag of the list of VMs.
    pub vms_lag: Duration,
    /// Rows written a second that the table service takes.
    pub writes_per_second: Option<u32>,
    /// Whether callers reach nodes through proxies.
    pub caller_proxies: bool,
    /// Further flags of each node, with their values.
    pub flags: Vec<(String, String)>,
}

impl Default for Settings {
    fn default() -> Self {
        let zones = ["a", "b", "c"];
        let flags = [
            ("--horizon-ms", "1500"),
            ("--heartbeat-ms", "200"),
            ("--poll-ms", "200"),
            ("--vms-poll-ms", "200"),
            ("--lease-ms", "3000"),
            ("--grant-ttl-ms", "600"),
            ("--platform-timeout-ms", "700"),
            ("--connect-timeout-ms", "500"),
            ("--progress-timeout-ms", "2000"),
            ("--entries-ttl-ms", "500"),
            ("--drain-ms", "10000"),
            ("--workers", "2"),
        ];
        Self {
            seed: 1,
            zones: zones.map(|zone| (zone.to_owned(), 1)).to_vec(),
            engines: zones.iter().flat_map(|zone| engines_of(zone)).collect(),
            services: zones.map(str::to_owned).to_vec(),
            service_latency: Duration::from_millis(20),
            vms_lag: Duration::from_millis(200),
            writes_per_second: Some(300),
            caller_proxies: false,
            flags: flags
                .map(|(flag, value)| (flag.to_owned(), value.to_owned()))
                .to_vec(),
        }
    }
}

/// Two versions of a cheap model and one of a costly one.
fn engines_of(zone: &str) -> [EngineSpec; 3] {
    let spec = |model: &str, version: &str, quality: f64, first_token_ms: u64| EngineSpec {
        zone: zone.to_owned(),
        settings: engine::Settings {
            model: model.to_owned(),
            version: version.to_owned(),
            quality,
            warm_after: WARM_AFTER as usize,
            first_token: Duration::from_millis(first_token_ms),
            inter_token: Duration::from_millis(4),
            ..engine::Settings::default()
        },
    };
    [
        spec("small", "1", 0.9, 10),
        spec("small", "2", 0.9, 10),
        spec("large", "1", 0.98, 30),
    ]
}
