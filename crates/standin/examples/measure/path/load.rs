//! Open-loop load: requests begin at fixed times, however long others take.

use crate::usage::{millis, quantile};
use futures::StreamExt;
use reqwest::Client;
use serde_json::json;
use standin::Error;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

/// Longest wait at the 99th percentile of a rate that is held.
const HELD_MS: f64 = 50.0;
/// Time for which a request may take.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Where requests go.
#[derive(Clone, Debug)]
pub struct Target {
    /// Client with a connection pool of its own.
    pub client: Client,
    /// Base URL.
    pub url: String,
    /// Model and version.
    pub model: &'static str,
    /// Bearer key.
    pub key: &'static str,
}

/// What became of the requests at one target.
#[derive(Debug, Default)]
pub struct Load {
    /// Milliseconds from when a request was due until its whole answer.
    pub whole_ms: Vec<f64>,
    /// Milliseconds from when a request was due until the first byte of its answer's body.
    pub first_ms: Vec<f64>,
    /// Requests without a whole answer.
    pub failed: usize,
}

/// Times of one answer.
struct Times {
    first_ms: f64,
    whole_ms: f64,
}

impl Load {
    /// Whether no request failed, and nearly all were answered soon.
    pub fn holds(mut self) -> bool {
        self.failed == 0 && quantile(&mut self.whole_ms, 0.99) < HELD_MS
    }

    fn add(&mut self, times: Option<Times>) {
        let Some(times) = times else {
            self.failed += 1;
            return;
        };
        self.first_ms.push(times.first_ms);
        self.whole_ms.push(times.whole_ms);
    }
}

/// Sends to all targets at the same rate each, taking turns.
pub async fn run(
    targets: &[Target],
    rate: u32,
    time: Duration,
    streamed: bool,
) -> Result<Vec<Load>, Error> {
    let pace = {
        let targets = targets.to_vec();
        let handle = Handle::current();
        // Timers of the async runtime are too coarse for the pace.
        tokio::task::spawn_blocking(move || pace(&handle, &targets, rate, time, streamed))
    };
    let sent = pace.await.map_err(|_| Error::Timeout("pace of a load"))?;
    let mut loads: Vec<Load> = targets.iter().map(|_| Load::default()).collect();
    for (index, request) in sent.into_iter().enumerate() {
        let times = request.await.ok().flatten();
        loads[index % targets.len()].add(times);
    }
    Ok(loads)
}

fn pace(
    handle: &Handle,
    targets: &[Target],
    rate: u32,
    time: Duration,
    streamed: bool,
) -> Vec<JoinHandle<Option<Times>>> {
    let each = f64::from(rate) * time.as_secs_f64();
    let count = each as usize * targets.len();
    let begun = Instant::now();
    let mut sent = Vec::with_capacity(count);
    for index in 0..count {
        let due = begun + time.mul_f64(index as f64 / count as f64);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let target = targets[index % targets.len()].clone();
        sent.push(handle.spawn(ask(target, due, streamed)));
    }
    sent
}

async fn ask(target: Target, due: Instant, streamed: bool) -> Option<Times> {
    let response = send(&target, streamed, Some(TIMEOUT)).await?;
    let mut body = response.bytes_stream();
    body.next().await?.ok()?;
    let first_ms = millis(due.elapsed());
    while let Some(part) = body.next().await {
        part.ok()?;
    }
    Some(Times {
        first_ms,
        whole_ms: millis(due.elapsed()),
    })
}

/// Sends a request whose prompt no other has; gives the answer if it succeeds.
pub async fn send(
    target: &Target,
    streamed: bool,
    timeout: Option<Duration>,
) -> Option<reqwest::Response> {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let body = json!({
        "model": target.model,
        "stream": streamed,
        "messages": [{ "role": "user", "content": format!("{number}: how large is the floor?") }],
    });
    let url = format!("{}/v1/chat/completions", target.url);
    let mut call = target.client.post(url).bearer_auth(target.key).json(&body);
    if let Some(timeout) = timeout {
        call = call.timeout(timeout);
    }
    let answer = call.send().await.ok()?;
    if answer.status().is_success() {
        return Some(answer);
    }
    log::warn!("status {}: {:?}", answer.status(), answer.text().await);
    None
}
