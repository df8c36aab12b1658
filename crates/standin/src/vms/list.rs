//! The list and what readers see of it.

use super::Target;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A list whose changes are seen only after a lag.
#[derive(Clone, Debug, Default)]
pub struct List {
    lag: Duration,
    current: Vec<Target>,
    visible: Vec<Target>,
    pending: VecDeque<(Instant, Vec<Target>)>,
}

impl List {
    /// An empty list.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            ..Self::default()
        }
    }

    /// Changes the lag of later changes.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Puts an entry in place of any with the same address.
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
        self.current.retain(|one| one.targets != target.targets);
        self.current.push(target);
        self.publish(now);
    }

    /// Changes the state of an address.
    pub fn set_state(&mut self, address: &str, state: &str, now: Instant) {
        for target in &mut self.current {
            if target.targets.iter().any(|one| one == address) {
                state.clone_into(&mut target.labels.state);
            }
        }
        self.publish(now);
    }

    /// Removes an address.
    pub fn remove(&mut self, address: &str, now: Instant) {
        self.current
            .retain(|one| !one.targets.iter().any(|target| target == address));
        self.publish(now);
    }

    /// What a reader sees.
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
