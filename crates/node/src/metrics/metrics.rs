//! The statsd client.

use super::{Counter, Gauge, Timer};
use cadence::prelude::*;
use cadence::{
    BufferedUdpMetricSink, Metric, MetricBuilder, MetricError, QueuingMetricSink, StatsdClient,
};
use settings::node::Settings;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// Prefix of all names.
const PREFIX: &str = "sardinebank";

/// Metrics that wait to be sent; more are dropped, and no request waits for them.
const QUEUE: usize = 8_192;

/// Sends metrics to the address of the settings, or nowhere. Clones share the client.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
}

impl Metrics {
    /// Starts the client. A node serves without metrics if their socket can't be opened.
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
                log::warn!(event = 1007; "metrics are not sent: {error}");
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

    /// Adds to a counter.
    ///
    /// ```
    /// use node::metrics::{Counter, Metrics};
    /// Metrics::default().count(Counter::OutputTokens, 25, &[("model", "small"), ("version", "1")]);
    /// ```
    pub fn count(&self, counter: Counter, count: u64, tags: &[(&str, &str)]) {
        let Some(client) = &self.client else { return };
        send(client.count_with_tags(counter.name(), count), tags);
    }

    /// Reports a time.
    ///
    /// ```
    /// use node::metrics::{Metrics, Timer};
    /// Metrics::default().time(Timer::RequestMs, std::time::Duration::from_millis(3), &[]);
    /// ```
    pub fn time(&self, timer: Timer, time: Duration, tags: &[(&str, &str)]) {
        let Some(client) = &self.client else { return };
        send(client.time_with_tags(timer.name(), time), tags);
    }

    /// Reports a value.
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

    /// Sends what waits in the buffer.
    ///
    /// ```
    /// node::metrics::Metrics::default().flush();
    /// ```
    pub fn flush(&self) {
        // Metrics may be lost: the next report brings the newest values.
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
    let own = match address {
        SocketAddr::V4(_) => "0.0.0.0:0",
        SocketAddr::V6(_) => "[::]:0",
    };
    let socket = UdpSocket::bind(own)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket)?;
    let sink = QueuingMetricSink::with_capacity(sink, QUEUE);
    let client = StatsdClient::builder(PREFIX, sink)
        .with_tag("node", settings.node.clone())
        .with_tag("zone", settings.zone.clone())
        .with_error_handler(drop)
        .build();
    Ok(client)
}
