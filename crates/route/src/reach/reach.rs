//! Evidence of the direct path.

use super::{Failure, Path, Settings};
use crate::ServerId;
use contract::Map;
use std::time::Instant;

/// A change of the direct path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It was lost. Backend servers that failed since the given time may be sound.
    Lost(Option<Instant>),
    /// It was restored.
    Restored,
}

/// Evidence of this node's direct path to backend servers.
///
/// Only new connections show that the path is sound: open ones may live on while new ones are refused.
/// Once established connections have broken off, connects alone don't show it either.
///
/// The path is lost once connections to several backend servers have failed without a success in between,
/// and a probe has failed as well. A probe goes to a backend server unlike those that have failed, so
/// that a crashed service or zone isn't taken for a lost path.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    settings: Settings,
    /// Backend servers whose connections have failed since the last success.
    failures: Map<ServerId, Failure>,
    /// Whether a probe has failed since the last success.
    probe_failed: bool,
    last_success: Option<Instant>,
    last_failure: Option<Instant>,
    last_probe: Option<Instant>,
    /// When the path was found lost.
    lost: Option<Instant>,
    /// First success since then with no failure after it.
    recovering: Option<Instant>,
}

impl Reach {
    /// Creates the state of a sound path.
    ///
    /// ```
    /// use route::reach::{Path, Reach, Settings};
    /// assert_eq!(Reach::new(Settings::default()).path(), Path::Sound);
    /// ```
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the state of the path.
    ///
    /// ```
    /// use route::reach::{Failure, Path, Reach};
    /// let mut reach = Reach::default();
    /// let now = std::time::Instant::now();
    /// reach.record_failure(now, "i-1", Failure::Silent, 9);
    /// assert_eq!(reach.path(), Path::Sound);
    /// reach.record_failure(now, "i-2", Failure::Silent, 9);
    /// assert_eq!(reach.path(), Path::Doubtful);
    /// ```
    pub fn path(&self) -> Path {
        match (self.lost, self.failures.len()) {
            (Some(_), _) => Path::Lost,
            (None, 0 | 1) => Path::Sound,
            (None, _) => Path::Doubtful,
        }
    }

    /// When a connection last showed that the path was sound.
    ///
    /// ```
    /// assert_eq!(route::reach::Reach::default().last_success(), None);
    /// ```
    pub fn last_success(&self) -> Option<Instant> {
        self.last_success
    }

    /// When the path was found lost, if it is.
    ///
    /// ```
    /// assert_eq!(route::reach::Reach::default().lost_since(), None);
    /// ```
    pub fn lost_since(&self) -> Option<Instant> {
        self.lost
    }

    /// Whether the path is lost and packets vanish, so that open connections hang as well.
    ///
    /// ```
    /// assert!(!route::reach::Reach::default().is_silent());
    /// ```
    pub fn is_silent(&self) -> bool {
        let silent = self.failures.values();
        let silent = silent.filter(|failure| **failure == Failure::Silent);
        self.lost.is_some() && 2 * silent.count() > self.failures.len()
    }

    /// Whether a connect to a backend server has failed since the last success.
    ///
    /// ```
    /// assert!(!route::reach::Reach::default().has_failed("i-1"));
    /// ```
    pub fn has_failed(&self, server: &str) -> bool {
        self.failures.contains_key(server)
    }

    /// Number of backend servers that have failed since the last success.
    ///
    /// ```
    /// assert_eq!(route::reach::Reach::default().failed_count(), 0);
    /// ```
    pub fn failed_count(&self) -> usize {
        self.failures.len()
    }

    /// Whether established connections have broken off since the last success, so that a connect shows
    /// nothing until something was sent on the connection.
    ///
    /// ```
    /// assert!(!route::reach::Reach::default().is_broken());
    /// ```
    pub fn is_broken(&self) -> bool {
        let mut failures = self.failures.values();
        failures.any(|failure| *failure == Failure::Broken)
    }

    /// Records a connection that failed, where `listed` backend servers take work.
    ///
    /// ```
    /// use route::reach::{Failure, Reach};
    /// let mut reach = Reach::default();
    /// let now = std::time::Instant::now();
    /// assert_eq!(reach.record_failure(now, "i-1", Failure::Refused, 9), None);
    /// ```
    pub fn record_failure(
        &mut self,
        now: Instant,
        server: &str,
        failure: Failure,
        listed: usize,
    ) -> Option<Change> {
        self.recovering = None;
        self.last_failure = Some(now);
        self.failures.insert(server.to_owned(), failure);
        self.judge(now, listed)
    }

    /// Records a probe that failed.
    ///
    /// ```
    /// use route::reach::{Change, Failure, Reach};
    /// let mut reach = Reach::default();
    /// let now = std::time::Instant::now();
    /// let lost = reach.record_failed_probe(now, "i-1", Failure::Silent, 1);
    /// assert_eq!(lost, Some(Change::Lost(None)), "the only backend server");
    /// ```
    pub fn record_failed_probe(
        &mut self,
        now: Instant,
        server: &str,
        failure: Failure,
        listed: usize,
    ) -> Option<Change> {
        self.probe_failed = true;
        self.record_failure(now, server, failure, listed)
    }

    fn judge(&mut self, now: Instant, listed: usize) -> Option<Change> {
        let enough = self.failures.len() >= self.settings.min_servers.min(listed);
        if self.lost.is_some() || !enough || !self.probe_failed {
            return None;
        }
        self.lost = Some(now);
        Some(Change::Lost(self.last_success))
    }

    /// Records that a connection was established.
    ///
    /// ```
    /// let mut reach = route::reach::Reach::default();
    /// assert_eq!(reach.record_connect(std::time::Instant::now()), None);
    /// ```
    pub fn record_connect(&mut self, now: Instant) -> Option<Change> {
        match self.is_broken() {
            true => None,
            false => self.record_success(now),
        }
    }

    /// Records a response on a connection that was opened at the given time. It shows that the path was
    /// sound then.
    ///
    /// ```
    /// use route::reach::{Failure, Reach};
    /// let mut reach = Reach::default();
    /// let opened = std::time::Instant::now();
    /// let now = opened + std::time::Duration::from_secs(1);
    /// reach.record_failure(now, "i-1", Failure::Refused, 9);
    /// reach.record_response(now, opened);
    /// assert!(reach.has_failed("i-1"), "the connection was opened before");
    /// ```
    pub fn record_response(&mut self, now: Instant, opened: Instant) -> Option<Change> {
        match self.last_failure {
            Some(at) if at > opened => None,
            _ => self.record_success(now),
        }
    }

    /// Records a probe that succeeded.
    ///
    /// ```
    /// let mut reach = route::reach::Reach::default();
    /// assert_eq!(reach.record_success(std::time::Instant::now()), None);
    /// ```
    pub fn record_success(&mut self, now: Instant) -> Option<Change> {
        self.last_success = Some(now);
        if self.lost.is_some() {
            let since = *self.recovering.get_or_insert(now);
            if now.saturating_duration_since(since) < self.settings.recovery_time {
                return None;
            }
        }
        self.recovering = None;
        self.failures.clear();
        self.probe_failed = false;
        self.lost.take().map(|_| Change::Restored)
    }

    /// Starts a probe if one is due: while it isn't known whether the path is sound.
    ///
    /// ```
    /// use route::reach::{Failure, Reach};
    /// let mut reach = Reach::default();
    /// let now = std::time::Instant::now();
    /// assert!(!reach.start_probe(now));
    /// reach.record_failure(now, "i-1", Failure::Silent, 9);
    /// assert!(reach.start_probe(now));
    /// assert!(!reach.start_probe(now), "too soon");
    /// ```
    pub fn start_probe(&mut self, now: Instant) -> bool {
        let interval = self.settings.probe_interval;
        let elapsed = |at: Instant| now.saturating_duration_since(at) >= interval;
        let is_due = !self.failures.is_empty() && self.last_probe.is_none_or(elapsed);
        if is_due {
            self.last_probe = Some(now);
        }
        is_due
    }
}
