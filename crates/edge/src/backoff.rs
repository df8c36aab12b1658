//! Pauses between tries.

use rand::Rng;
use std::time::Duration;
use tokio::time::sleep;

/// Pauses that double up to a longest one, with jitter so that nodes don't try together.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    /// Starts with the first pause.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            next: first,
        }
    }

    /// Starts again with the first pause.
    pub fn reset(&mut self) {
        self.next = self.first;
    }

    /// Sets the longest pause.
    pub fn set_longest(&mut self, longest: Duration) {
        self.longest = longest;
        self.next = self.next.min(longest);
    }

    /// Waits for the next pause.
    pub async fn wait(&mut self) {
        let pause = self.next.mul_f64(rand::rng().random_range(0.5..1.0));
        self.next = (self.next * 2).min(self.longest);
        sleep(pause).await;
    }
}
