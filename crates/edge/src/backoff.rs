//! Exponential backoff with jitter.

use rand::Rng;
use std::time::Duration;
use tokio::time::sleep;

/// Delays between retries that double up to a maximum, with jitter so that nodes don't retry at the
/// same time.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial_delay: Duration,
    max_delay: Duration,
    next_delay: Duration,
}

impl Backoff {
    /// Starts with the initial delay.
    pub fn new(initial_delay: Duration, max_delay: Duration) -> Self {
        Self {
            initial_delay,
            max_delay,
            next_delay: initial_delay,
        }
    }

    /// Starts again with the initial delay.
    pub fn reset(&mut self) {
        self.next_delay = self.initial_delay;
    }

    /// Sets the maximum delay.
    pub fn set_max_delay(&mut self, max_delay: Duration) {
        self.max_delay = max_delay;
        self.next_delay = self.next_delay.min(max_delay);
    }

    /// Waits for the next delay.
    pub async fn wait(&mut self) {
        let delay = self.next_delay.mul_f64(rand::rng().random_range(0.5..1.0));
        self.next_delay = (self.next_delay * 2).min(self.max_delay);
        sleep(delay).await;
    }
}
