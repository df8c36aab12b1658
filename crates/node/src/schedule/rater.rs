//! Ratings of answers by the rating service, which may be slow or unavailable.

use clients::ratings::Client;
use contract::{CustomerId, ModelId, TaskId, VersionId};
use limits::quarantine::{self, Breaker};
use policy::answer::Mean;
use policy::quality::Subject;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;

/// Minimum score of a good answer.
const MIN_GOOD_SCORE: f64 = 0.5;

/// Expected latency of a rating before the first one has been observed.
const INITIAL_LATENCY: Duration = Duration::from_millis(50);

/// An answer to rate.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Model that answered.
    pub model: ModelId,
    /// Version that answered.
    pub version: VersionId,
    /// Task of the request.
    pub task: TaskId,
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Whether the answer replaces one of another version that was rated bad.
    pub escalated: bool,
    /// Text of the request.
    pub prompt: String,
    /// Text of the answer.
    pub answer: String,
}

impl Sample {
    /// Model, version, task and customer that the rating counts for.
    pub fn subject(&self) -> Subject<'_> {
        Subject {
            model: &self.model,
            version: &self.version,
            task: &self.task,
            customer: &self.customer,
        }
    }
}

/// Rates answers with the rating service, behind a circuit breaker.
#[derive(Debug)]
pub struct Rater {
    client: Client,
    samples: Semaphore,
    health: Mutex<Health>,
}

#[derive(Debug)]
struct Health {
    breaker: Breaker,
    latency_s: Mean,
}

impl Rater {
    /// Creates a rater that rates at most `max_samples` samples concurrently. The limit doesn't apply
    /// to ratings that callers wait for.
    ///
    /// ```
    /// use clients::ratings::{Client, Settings};
    /// let rater = node::schedule::Rater::new(Client::new(Settings::default())?, 8);
    /// assert!(rater.expected(std::time::Instant::now()).is_some());
    /// # Ok::<(), clients::Error>(())
    /// ```
    pub fn new(client: Client, max_samples: usize) -> Self {
        let health = Health {
            breaker: Breaker::new(quarantine::Settings::default()),
            latency_s: Mean::new(INITIAL_LATENCY.as_secs_f64()),
        };
        Self {
            client,
            samples: Semaphore::new(max_samples),
            health: Mutex::new(health),
        }
    }

    /// Expected latency of a rating; `None` while the circuit breaker is open.
    pub fn expected(&self, now: Instant) -> Option<Duration> {
        let health = self.health();
        let available = health.breaker.allows_request(now);
        available.then(|| Duration::from_secs_f64(health.latency_s.value()))
    }

    /// Rates an answer that a caller waits for; `None` if the service fails or the circuit breaker is
    /// open.
    pub async fn rate(&self, sample: &Sample) -> Option<bool> {
        if !self.health().breaker.try_acquire(Instant::now()) {
            return None;
        }
        let started = Instant::now();
        let score = self
            .client
            .score(&sample.task, &sample.prompt, &sample.answer)
            .await;
        let now = Instant::now();
        let mut health = self.health();
        match score {
            Ok(score) => {
                health.breaker.record_success();
                health.latency_s.observe((now - started).as_secs_f64());
                Some(score >= MIN_GOOD_SCORE)
            }
            Err(error) => {
                health.breaker.record_failure(now, &mut rand::rng());
                log::warn!(event = 1502; "answer could not be rated: {error}");
                None
            }
        }
    }

    /// Rates a sample as soon as the concurrency limit allows; `None` if the service fails.
    pub async fn rate_sample(&self, sample: &Sample) -> Option<bool> {
        let _permit = self.samples.acquire().await.ok()?;
        self.rate(sample).await
    }

    fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
