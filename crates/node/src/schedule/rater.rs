//! Ratings of answers, which come late or not at all.

use clients::ratings::Client;
use contract::{CustomerId, ModelId, TaskId, VersionId};
use limits::quarantine::{self, Breaker};
use policy::answer::Mean;
use policy::quality::Subject;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;

/// Score from which an answer is good.
const GOOD: f64 = 0.5;

/// Time of a rating that is expected before any was seen.
const EXPECTED: Duration = Duration::from_millis(50);

/// An answer that is rated.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Model that answered.
    pub model: ModelId,
    /// Version that answered.
    pub version: VersionId,
    /// Task of the request.
    pub task: TaskId,
    /// Customer that asked.
    pub customer: CustomerId,
    /// Whether another version had failed at the request.
    pub escalated: bool,
    /// Text of the request.
    pub prompt: String,
    /// Text of the answer.
    pub answer: String,
}

impl Sample {
    /// What is rated.
    pub fn subject(&self) -> Subject<'_> {
        Subject {
            model: &self.model,
            version: &self.version,
            task: &self.task,
            customer: &self.customer,
        }
    }
}

/// Asks the rating service, and knows whether it answers.
#[derive(Debug)]
pub struct Rater {
    client: Client,
    samples: Semaphore,
    health: Mutex<Health>,
}

#[derive(Debug)]
struct Health {
    breaker: Breaker,
    seconds: Mean,
}

impl Rater {
    /// Asks for at most `samples` ratings of samples at once. Ratings that callers wait for aren't
    /// held up by them.
    ///
    /// ```
    /// use clients::ratings::{Client, Settings};
    /// let rater = node::schedule::Rater::new(Client::new(Settings::default())?, 8);
    /// assert!(rater.expected(std::time::Instant::now()).is_some());
    /// # Ok::<(), clients::Error>(())
    /// ```
    pub fn new(client: Client, samples: usize) -> Self {
        let health = Health {
            breaker: Breaker::new(quarantine::Settings::default()),
            seconds: Mean::new(EXPECTED.as_secs_f64()),
        };
        Self {
            client,
            samples: Semaphore::new(samples),
            health: Mutex::new(health),
        }
    }

    /// Expected time of a rating; none while the service fails.
    pub fn expected(&self, now: Instant) -> Option<Duration> {
        let health = self.health();
        let open = health.breaker.allows_request(now);
        open.then(|| Duration::from_secs_f64(health.seconds.value()))
    }

    /// Rates an answer that a caller waits for; none when the service fails.
    pub async fn rate(&self, sample: &Sample) -> Option<bool> {
        if !self.health().breaker.try_acquire(Instant::now()) {
            return None;
        }
        let begun = Instant::now();
        let score = self
            .client
            .score(&sample.task, &sample.prompt, &sample.answer)
            .await;
        let now = Instant::now();
        let mut health = self.health();
        match score {
            Ok(score) => {
                health.breaker.record_success();
                health.seconds.observe((now - begun).as_secs_f64());
                Some(score >= GOOD)
            }
            Err(error) => {
                health.breaker.record_failure(now, &mut rand::rng());
                log::warn!(event = 1502; "answer can't be rated: {error}");
                None
            }
        }
    }

    /// Rates a sample when its turn comes; none when the service fails.
    pub async fn rate_sample(&self, sample: &Sample) -> Option<bool> {
        let _turn = self.samples.acquire().await.ok()?;
        self.rate(sample).await
    }

    fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
