//! Reads engines' own counts of running requests, where work of a lost holder may be left.

use super::Slots;
use std::time::Duration;
use tokio::time::sleep;

/// Time between reads.
const INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for a report.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Oldest that the numbers in a report may be.
const MAX_METRICS_AGE: Duration = Duration::from_secs(2);
/// Metrics that together count the requests at an engine.
const METRICS: [&str; 2] = ["vllm:num_requests_running", "vllm:num_requests_waiting"];

/// Reads reports for as long as the node runs.
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

/// Requests at an engine, running and waiting; `None` when the report doesn't count them.
fn parse_count(report: &str) -> Option<u32> {
    let counts = METRICS.map(|name| {
        let lines = report.lines().filter(|line| line.starts_with(name));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.reduce(|sum, value| sum + value)
    });
    let [running, waiting] = counts;
    Some((running? + waiting?).ceil() as u32)
}
