//! Seeded requests, the same for each strategy.

use super::site::{Site, Version};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Correlation of the difficulty of a request between versions.
const CORRELATION: f64 = 0.6;

/// Share of the requests for quick answers that belong to a session.
const SESSIONS: f64 = 0.2;

/// Sessions of each customer.
const SESSIONS_EACH: u32 = 20;

/// Samples from which quantiles of the normal distribution are read.
const SAMPLES: usize = 20_000;

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    pub at: Duration,
    pub customer: usize,
    pub task: usize,
    pub session: Option<u32>,
    /// Node that the caller asks.
    pub node: usize,
    /// Tokens of the answer.
    pub tokens: u64,
    /// How hard the request is for each version, in standard deviations.
    difficulty: Vec<f64>,
}

/// Quantiles of the standard normal distribution.
pub struct Normal {
    sorted: Vec<f64>,
}

impl Normal {
    pub fn new() -> Self {
        let mut rng = SmallRng::seed_from_u64(0);
        let mut sorted: Vec<_> = (0..SAMPLES).map(|_| normal(&mut rng)).collect();
        sorted.sort_by(f64::total_cmp);
        Self { sorted }
    }

    fn quantile(&self, share: f64) -> f64 {
        let index = (share * SAMPLES as f64) as usize;
        self.sorted[index.min(SAMPLES - 1)]
    }
}

impl Request {
    /// Whether a version of a quality answers the request well.
    pub fn good(&self, normal: &Normal, version: usize, quality: f64) -> bool {
        self.difficulty[version] < normal.quantile(quality)
    }
}

/// Requests of a site at a rate a second.
pub fn requests(site: &Site, rate: f64, seed: u64, length: Duration) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= length.as_secs_f64() {
            return requests;
        }
        requests.push(request(site, &mut rng, Duration::from_secs_f64(at)));
    }
}

fn request(site: &Site, rng: &mut SmallRng, at: Duration) -> Request {
    let customer = pick(rng, site.customers.iter().copied());
    let task = pick(rng, site.tasks.iter().map(|task| task.share));
    let session = (site.tasks[task].name == "answer" && rng.random_bool(SESSIONS))
        .then(|| rng.random_range(0..SESSIONS_EACH));
    let shared = normal(rng);
    let own = (1.0 - CORRELATION).sqrt();
    let difficulty = (0..MAX_VERSIONS)
        .map(|_| CORRELATION.sqrt() * shared + own * normal(rng))
        .collect();
    let length = 0.5 + rng.random::<f64>();
    Request {
        at,
        customer,
        task,
        session,
        node: rng.random_range(0..site.nodes),
        tokens: (site.tasks[task].tokens * length).ceil() as u64,
        difficulty,
    }
}

/// Versions for which the difficulty is drawn, so that a roll-out changes no other draw.
const MAX_VERSIONS: usize = 4;

fn pick(rng: &mut SmallRng, shares: impl Iterator<Item = f64>) -> usize {
    let mut left = rng.random::<f64>();
    let mut last = 0;
    for (index, share) in shares.enumerate() {
        last = index;
        left -= share;
        if left < 0.0 {
            break;
        }
    }
    last
}

/// The sum of twelve uniform draws is close enough to normal.
fn normal(rng: &mut SmallRng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

impl Version {
    pub fn served(&self) -> String {
        format!("{}@{}", self.model, self.name)
    }
}
