//! Client that sends metrics to statsd.

use super::{Counter, Gauge, Timer};
use cadence::prelude::*;
use cadence::{
    BufferedUdpMetricSink, Metric, MetricBuilder, MetricError, QueuingMetricSink, StatsdClient,
};
use settings::node::Settings;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// Prefix of all metric names.
const PREFIX: &str = "sardinebank";

/// Capacity of the send queue. Metrics beyond it are dropped, so that requests never wait for it.
const QUEUE_CAPACITY: usize = 8_192;

/// Sends metrics to the configured address, or discards them if none is configured. Clones share
/// one client.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
}

impl Metrics {
    /// Starts the client. If its socket can't be opened, the node runs without metrics.
    ///
    /// ```
    /// let metrics = node::metrics::Metrics::start(&Default::default());
    /// metrics.count(node::metrics::Counter::Answers, 1, &[("model", "small")]);
    /// ```
    pub fn start(settings: &Settings) -> Self {
        let Some(address) = settings.metrics_udp else {
            return Self::default();
        };
        match client(address, settings) {
            Ok(client) => Self {
                client: Some(Arc::new(client)),
            },
            Err(error) => {
                log::warn!(event = 1007; "metrics are disabled: {error}");
                Self::default()
            }
        }
    }

    /// Whether metrics are sent.
    ///
    /// ```
    /// assert!(!node::metrics::Metrics::default().enabled());
    /// ```
    pub fn enabled(&self) -> bool {
        self.client.is_some()
    }

    /// Adds `count` to a counter.
    ///
    /// ```
    /// use node::metrics::{Counter, Metrics};
    /// Metrics::default().count(Counter::OutputTokens, 25, &[("model", "small"), ("version", "1")]);
    /// ```
    pub fn count(&self, counter: Counter, count: u64, tags: &[(&str, &str)]) {
        let Some(client) = &self.client else { return };
        send(client.count_with_tags(counter.name(), count), tags);
    }

    /// Reports a duration.
    ///
    /// ```
    /// use node::metrics::{Metrics, Timer};
    /// Metrics::default().time(Timer::RequestMs, std::time::Duration::from_millis(3), &[]);
    /// ```
    pub fn time(&self, timer: Timer, time: Duration, tags: &[(&str, &str)]) {
        let Some(client) = &self.client else { return };
        send(client.time_with_tags(timer.name(), time), tags);
    }

    /// Reports the value of a gauge.
    ///
    /// ```
    /// use node::metrics::{Gauge, Metrics};
    /// Metrics::default().gauge(Gauge::Revision, 7);
    /// ```
    pub fn gauge(&self, gauge: Gauge, value: u64) {
        if let Some(client) = &self.client {
            client.gauge_with_tags(gauge.name(), value).send();
        }
    }

    /// Sends the buffered metrics.
    ///
    /// ```
    /// node::metrics::Metrics::default().flush();
    /// ```
    pub fn flush(&self) {
        // Losing metrics is acceptable: the next report contains the newest values.
        let _ = self.client.as_ref().map(|client| client.flush());
    }
}

fn send<T: Metric + From<String>>(metric: MetricBuilder<'_, '_, T>, tags: &[(&str, &str)]) {
    let tagged = tags
        .iter()
        .fold(metric, |metric, (name, value)| metric.with_tag(name, value));
    tagged.send();
}

fn client(address: SocketAddr, settings: &Settings) -> Result<StatsdClient, MetricError> {
    let local_address = match address {
        SocketAddr::V4(_) => "0.0.0.0:0",
        SocketAddr::V6(_) => "[::]:0",
    };
    let socket = UdpSocket::bind(local_address)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket)?;
    let sink = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
    let client = StatsdClient::builder(PREFIX, sink)
        .with_tag("node", settings.node.clone())
        .with_tag("zone", settings.zone.clone())
        .with_error_handler(drop)
        .build();
    Ok(client)
}
