//! Metrics as a statsd server receives them, and docs/METRICS.md compared with the code.

use node::metrics::{Counter, Gauge, Metrics, Timer};
use settings::node::Settings;
use std::net::UdpSocket;
use std::time::Duration;

/// Wait for a datagram after each flush.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum number of flushes before a test fails.
const MAX_FLUSHES: usize = 200;

/// Returns the first datagram received after `send`.
fn received(send: impl FnOnce(&Metrics)) -> String {
    let receiver = UdpSocket::bind("127.0.0.1:0").unwrap();
    receiver.set_read_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
    let metrics = Metrics::start(&Settings {
        node: "n1".into(),
        zone: "a".into(),
        metrics_udp: receiver.local_addr().ok(),
        ..Settings::default()
    });
    let mut datagram = [0; 1024];
    send(&metrics);
    // A separate thread takes metrics from the queue, so that a flush may come too early.
    for _ in 0..MAX_FLUSHES {
        metrics.flush();
        if let Ok(size) = receiver.recv(&mut datagram) {
            return String::from_utf8_lossy(&datagram[..size]).trim().to_owned();
        }
    }
    panic!("no datagram");
}

macro_rules! datagrams {
    ($($name:ident: |$metrics:ident| $send:expr => $text:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(received(|$metrics| $send), $text);
        }
    )*};
}

datagrams! {
    counter: |metrics| metrics.count(Counter::Answers, 2, &[("model", "small"), ("version", "1")]) =>
        "sardinebank.answers:2|c|#node:n1,zone:a,model:small,version:1";
    timer: |metrics| metrics.time(Timer::RequestMs, Duration::from_millis(12), &[]) =>
        "sardinebank.request_ms:12|ms|#node:n1,zone:a";
    gauge: |metrics| metrics.gauge(Gauge::Revision, 7) =>
        "sardinebank.revision:7|g|#node:n1,zone:a";
}

#[test]
fn metrics_page_lists_each_metric_once() {
    let page = std::fs::read_to_string("../../docs/METRICS.md").unwrap();
    let mut rows: Vec<_> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| line.split_once("` | "))
        .map(|(name, rest)| (name, rest.split(" |").next().unwrap_or_default()))
        .collect();
    let mut names: Vec<_> = Counter::ALL
        .iter()
        .map(|counter| (counter.name(), "counter"))
        .collect();
    names.extend(Timer::ALL.iter().map(|timer| (timer.name(), "timer")));
    names.extend(Gauge::ALL.iter().map(|gauge| (gauge.name(), "gauge")));
    rows.sort_unstable();
    names.sort_unstable();
    assert_eq!(rows, names, "left: docs/METRICS.md, right: code");
}
