//! The metrics of a node.

use super::{
    Announcement, Call, Confidence, Path, Request, Retry, Send, Service, Task, Tunnel, ZoneSend,
};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::fmt;

/// Latency buckets as start in seconds, factor and number: from 2 ms to 65 s, each twice the
/// previous one.
const LATENCY_BUCKETS: (f64, f64, u16) = (0.002, 2.0, 16);

/// Counters, gauges and latency histograms of a node.
pub struct Metrics {
    pub(super) registry: Registry,
    /// Requests by kind, status and refusal.
    pub requests: Family<Request, Counter>,
    /// Attempts on backend servers by service and outcome.
    pub sends: Family<Send, Counter>,
    /// Calls to the store by table and outcome.
    pub store_calls: Family<Call, Counter>,
    /// Answers of models by whether their confidence is valid.
    pub confidences: Family<Confidence, Counter>,
    /// Announcements of backend servers, by kind.
    pub announcements: Family<Announcement, Counter>,
    /// Tasks that panicked and were started again, by name.
    pub task_restarts: Family<Task, Counter>,
    /// Connections to backend servers, by path.
    pub connects: Family<Path, Counter>,
    /// Tunnels that other nodes have asked for, by outcome.
    pub tunnels: Family<Tunnel, Counter>,
    /// Further sends of requests by purpose and outcome.
    pub retries: Family<Retry, Counter>,
    /// Sends to backend servers of the own and of other zones.
    pub zone_sends: Family<ZoneSend, Counter>,
    /// Share of the requests that leave their zone, in percent, by service.
    pub zone_share: Family<Service, Gauge>,
    /// Large responses that were passed on as they arrived.
    pub passed_through: Counter,
    /// Time to the head of the response, in seconds.
    pub response_seconds: Histogram,
    /// Time for which requests waited for a backend server with free capacity, in seconds.
    pub queue_seconds: Histogram,
    pub(super) revision: Gauge,
    pub(super) store_era: Gauge,
    pub(super) members: Gauge,
    pub(super) servers: Gauge,
    pub(super) leaving_servers: Gauge,
    pub(super) paused_servers: Gauge,
    pub(super) limited_servers: Gauge,
    pub(super) in_flight: Gauge,
    pub(super) open_tunnels: Gauge,
    pub(super) path_lost: Gauge,
    pub(super) list_age_ms: Gauge,
    pub(super) dropped_lines: Gauge,
    pub(super) buffered_bytes: Gauge,
    pub(super) resident_bytes: Gauge,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Metrics")
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let histogram = || {
            let (start, factor, length) = LATENCY_BUCKETS;
            Histogram::new(exponential_buckets(start, factor, length))
        };
        let mut metrics = Self {
            registry: Registry::with_prefix("sardinebank"),
            requests: Family::default(),
            sends: Family::default(),
            store_calls: Family::default(),
            confidences: Family::default(),
            announcements: Family::default(),
            task_restarts: Family::default(),
            connects: Family::default(),
            tunnels: Family::default(),
            retries: Family::default(),
            zone_sends: Family::default(),
            zone_share: Family::default(),
            passed_through: Counter::default(),
            response_seconds: histogram(),
            queue_seconds: histogram(),
            revision: Gauge::default(),
            store_era: Gauge::default(),
            members: Gauge::default(),
            servers: Gauge::default(),
            leaving_servers: Gauge::default(),
            paused_servers: Gauge::default(),
            limited_servers: Gauge::default(),
            in_flight: Gauge::default(),
            open_tunnels: Gauge::default(),
            path_lost: Gauge::default(),
            list_age_ms: Gauge::default(),
            dropped_lines: Gauge::default(),
            buffered_bytes: Gauge::default(),
            resident_bytes: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests by kind, status and refusal",
            self.requests.clone(),
        );
        registry.register(
            "sends",
            "Sends to backend servers by end",
            self.sends.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store by table and end",
            self.store_calls.clone(),
        );
        registry.register(
            "confidences",
            "Answers of models by whether they report a valid confidence",
            self.confidences.clone(),
        );
        registry.register(
            "announcements",
            "Answers in which backend servers say that they leave or pause",
            self.announcements.clone(),
        );
        registry.register(
            "task_restarts",
            "Tasks that panicked and were started again",
            self.task_restarts.clone(),
        );
        registry.register(
            "connects",
            "Connections to backend servers, direct or through another node",
            self.connects.clone(),
        );
        registry.register(
            "tunnels",
            "Tunnels to backend servers that other nodes have asked for, by outcome",
            self.tunnels.clone(),
        );
        registry.register(
            "retries",
            "Further sends of requests by purpose and whether the budget allowed them",
            self.retries.clone(),
        );
        registry.register(
            "zone_sends",
            "Sends to backend servers of the own and of other zones",
            self.zone_sends.clone(),
        );
        registry.register(
            "zone_share_percent",
            "Share of the requests that leave their zone to even out the load",
            self.zone_share.clone(),
        );
        registry.register(
            "passed_through",
            "Large answers that were passed on as they arrived",
            self.passed_through.clone(),
        );
        let seconds = "Seconds to the head of an answer";
        registry.register("answer_seconds", seconds, self.response_seconds.clone());
        let seconds = "Seconds that requests waited for a place";
        registry.register("place_wait_seconds", seconds, self.queue_seconds.clone());
        let gauges = [
            ("config_revision", "Revision in force", &self.revision),
            (
                "store_era",
                "Era of the store, 0 if it names none",
                &self.store_era,
            ),
            (
                "members_alive",
                "Other nodes heard of of late",
                &self.members,
            ),
            (
                "backend_servers",
                "Backend servers that take work",
                &self.servers,
            ),
            (
                "leaving_servers",
                "Listed backend servers that have said that they leave",
                &self.leaving_servers,
            ),
            (
                "paused_servers",
                "Backend servers that have asked for a pause",
                &self.paused_servers,
            ),
            (
                "limited_servers",
                "Backend servers that name a limit",
                &self.limited_servers,
            ),
            ("requests_inside", "Requests under way", &self.in_flight),
            (
                "open_tunnels",
                "Tunnels that this node serves",
                &self.open_tunnels,
            ),
            (
                "path_lost",
                "Whether the direct path to backend servers is lost",
                &self.path_lost,
            ),
            (
                "list_age_ms",
                "Age of the list of backend servers",
                &self.list_age_ms,
            ),
            (
                "log_lines_dropped",
                "Log lines not written",
                &self.dropped_lines,
            ),
            (
                "buffered_bytes",
                "Memory of bodies of requests and answers in bytes",
                &self.buffered_bytes,
            ),
            (
                "resident_bytes",
                "Memory of the process",
                &self.resident_bytes,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }
}
