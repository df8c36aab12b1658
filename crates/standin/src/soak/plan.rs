//! When what goes wrong.

use super::Fault;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Mean pause between two faults; they last longer than that, so that they overlap.
const PAUSE_MS: std::ops::Range<u64> = 100..900;
/// How long a fault lasts.
const LENGTH_MS: std::ops::Range<u64> = 200..2500;

/// A fault with its times.
#[derive(Clone, Debug)]
pub struct Step {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// What goes wrong.
    pub fault: Fault,
}

/// All faults of a run, drawn from a seed.
#[derive(Clone, Debug)]
pub struct Plan(pub Vec<Step>);

impl Plan {
    /// Draws a plan.
    ///
    /// ```
    /// use standin::soak::Plan;
    /// let time = std::time::Duration::from_secs(10);
    /// let (one, two) = (Plan::draw(7, time, 3, 5), Plan::draw(7, time, 3, 5));
    /// assert_eq!(format!("{one:?}"), format!("{two:?}"));
    /// ```
    pub fn draw(seed: u64, time: Duration, nodes: usize, workers: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = Duration::from_millis(300);
        while at < time {
            steps.push(Step {
                at,
                length: Duration::from_millis(rng.random_range(LENGTH_MS)),
                fault: Fault::draw(&mut rng, nodes, workers),
            });
            at += Duration::from_millis(rng.random_range(PAUSE_MS));
        }
        Self(steps)
    }
}
