//! VM list with delayed visibility of changes.

use super::Target;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A list whose changes become visible to readers only after a delay.
#[derive(Clone, Debug, Default)]
pub struct List {
    lag: Duration,
    current: Vec<Target>,
    visible: Vec<Target>,
    pending: VecDeque<(Instant, Vec<Target>)>,
}

impl List {
    /// Creates an empty list.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            ..Self::default()
        }
    }

    /// Sets the visibility delay of subsequent changes.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Adds an entry, replacing any with the same addresses.
    ///
    /// ```
    /// use standin::vms::{List, Target};
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut list = List::new(Duration::from_secs(1));
    /// list.put(Target::entry("127.0.0.1:1", "a", "n1"), now);
    /// assert!(list.visible(now).is_empty());
    /// assert_eq!(list.visible(now + Duration::from_secs(1)).len(), 1);
    /// ```
    pub fn put(&mut self, target: Target, now: Instant) {
        self.current.retain(|entry| entry.targets != target.targets);
        self.current.push(target);
        self.publish(now);
    }

    /// Sets the state of every entry that contains an address.
    pub fn set_state(&mut self, address: &str, state: &str, now: Instant) {
        for target in &mut self.current {
            if target.targets.iter().any(|listed| listed == address) {
                state.clone_into(&mut target.labels.state);
            }
        }
        self.publish(now);
    }

    /// Removes every entry that contains an address.
    pub fn remove(&mut self, address: &str, now: Instant) {
        self.current
            .retain(|entry| !entry.targets.iter().any(|target| target == address));
        self.publish(now);
    }

    /// Returns the entries visible to readers at the given time.
    pub fn visible(&mut self, now: Instant) -> &[Target] {
        while self.pending.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, targets)) = self.pending.pop_front() {
                self.visible = targets;
            }
        }
        &self.visible
    }

    fn publish(&mut self, now: Instant) {
        self.pending
            .push_back((now + self.lag, self.current.clone()));
    }
}
