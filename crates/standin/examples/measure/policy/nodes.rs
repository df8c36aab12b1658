//! Each policy with real nodes: processes behind proxies, with stand-in engines and platform.

use clients::ratings;
use serde::Serialize;
use standin::Error;
use standin::fleet::{Fleet, Mix, Settings};
use standin::history::{History, Outcome, Target};
use std::time::Duration;

/// Names of the policies, as the setting takes them.
const POLICIES: [&str; 5] = [
    "planned",
    "best",
    "cheapest",
    "round-robin",
    "least-outstanding",
];

/// Score from which an answer is good.
const GOOD: f64 = 0.5;

/// Nodes in each zone.
const NODES: usize = 2;

/// Callers at once.
const CALLERS: usize = 12;

/// Figures of one policy.
#[derive(Debug, Serialize)]
struct Row {
    policy: &'static str,
    task: &'static str,
    answered: usize,
    refused: usize,
    failed: usize,
    good: f64,
    cost_micros: f64,
    /// Milliseconds that 50, 95 and 99 in 100 answers keep.
    latency_ms: [u64; 3],
}

/// Runs each policy for some seconds of the same seeded callers.
pub async fn run(seconds: u64, seed: u64, json: bool) -> Result<(), Error> {
    let mut rows = Vec::new();
    for policy in POLICIES {
        let (fleet, history) = play(policy, seconds, seed).await?;
        for task in ["tag", "draft"] {
            rows.push(row(policy, task, &fleet, &history).await);
        }
    }
    if !json {
        println!(
            "Real nodes: {} in 3 zones, 9 engines, {CALLERS} callers.",
            3 * NODES
        );
        for row in &rows {
            println!("{row:?}");
        }
    }
    println!("{}", serde_json::to_string(&rows)?);
    Ok(())
}

async fn play(policy: &str, seconds: u64, seed: u64) -> Result<(Fleet, History), Error> {
    let mut settings = Settings {
        seed,
        ..Settings::default()
    };
    settings.zones.iter_mut().for_each(|zone| zone.1 = NODES);
    settings.flags.push(("--policy".into(), policy.into()));
    let fleet = Fleet::start(settings).await?;
    let mix = Mix {
        callers: CALLERS,
        models: vec!["tag".into(), "draft".into()],
        streams: 0.0,
        confirmations: 0.0,
        lookups: 0.0,
        sessions: 0.0,
        ..Mix::default()
    };
    let load = fleet.load(&mix);
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    load.finish().await;
    let history = fleet.finish().await;
    Ok((fleet, history))
}

async fn row(policy: &'static str, task: &'static str, fleet: &Fleet, history: &History) -> Row {
    let url = fleet.platform.ratings.url();
    let client = ratings::Client::new(ratings::Settings {
        url,
        ..Default::default()
    });
    let (mut good, mut refused, mut failed, mut micros) = (0, 0, 0, 0);
    let mut times = Vec::new();
    let asked = |target: &Target| matches!(target, Target::Chat { model, .. } if model == task);
    for request in history.requests.iter().filter(|one| asked(&one.target)) {
        let billed = history
            .bills
            .iter()
            .filter(|bill| Some(&bill.request_id) == request.request_id.as_ref());
        micros += billed.map(|bill| bill.micros).sum::<u64>();
        match &request.outcome {
            Outcome::Whole(answer) => {
                times.push(request.ended_ms - request.sent_ms);
                if let Ok(client) = &client {
                    let score = client.score(task, &request.subject, answer).await;
                    good += usize::from(score.is_ok_and(|score| score >= GOOD));
                }
            }
            Outcome::Refused { .. } => refused += 1,
            _ => failed += 1,
        }
    }
    times.sort_unstable();
    let at = |share: f64| {
        let index = (times.len() as f64 * share) as usize;
        let last = times.len().saturating_sub(1);
        times.get(index.min(last)).copied().unwrap_or(0)
    };
    Row {
        policy,
        task,
        answered: times.len(),
        refused,
        failed,
        good: good as f64 / times.len().max(1) as f64,
        cost_micros: micros as f64 / times.len().max(1) as f64,
        latency_ms: [0.5, 0.95, 0.99].map(at),
    }
}
