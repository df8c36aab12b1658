//! Polls engines for their own counts of requests while requests of a lost holder may still run
//! there.

use super::Slots;
use std::time::Duration;
use tokio::time::sleep;

/// Delay between polls.
const INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a request for metrics.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum age of the values in an engine's metrics.
const MAX_METRICS_AGE: Duration = Duration::from_secs(2);
/// Metrics whose sum is the number of requests at an engine.
const METRICS: [&str; 2] = ["vllm:num_requests_running", "vllm:num_requests_waiting"];

/// Polls engines until the node stops.
pub(super) async fn run(slots: &Slots) {
    let Ok(client) = reqwest::Client::builder()
        .timeout(TIMEOUT)
        .no_proxy()
        .build()
    else {
        return;
    };
    loop {
        let backends = slots.unconfirmed();
        let reads = backends.iter().map(|backend| read_count(&client, backend));
        let counts = futures::future::join_all(reads).await;
        for (backend, count) in backends.iter().zip(counts) {
            if let Some(running) = count {
                slots.observe(backend, running, MAX_METRICS_AGE + TIMEOUT);
            }
        }
        sleep(INTERVAL).await;
    }
}

async fn read_count(client: &reqwest::Client, backend: &str) -> Option<u32> {
    let url = format!("http://{backend}/metrics");
    let response = client.get(url).send().await.ok()?;
    parse_count(&response.text().await.ok()?)
}

/// Returns the number of running and waiting requests, or `None` if either metric is missing.
fn parse_count(metrics: &str) -> Option<u32> {
    let counts = METRICS.map(|name| {
        let lines = metrics.lines().filter(|line| line.starts_with(name));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.reduce(|sum, value| sum + value)
    });
    let [running, waiting] = counts;
    Some((running? + waiting?).ceil() as u32)
}
