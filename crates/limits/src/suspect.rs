//! Requests that crash the backend servers that run them.

use contract::{BackendId, Map};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Digest of a customer and a request body.
pub type Fingerprint = String;

/// When a request counts as the cause of a crash, and for how long.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long a crash is remembered.
    pub retention: Duration,
    /// Distinct backend servers that die under a request before it is refused.
    pub crash_threshold: usize,
    /// Fingerprints remembered; the oldest go first.
    pub capacity: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            crash_threshold: 2,
            capacity: 4096,
        }
    }
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Nothing is held against it.
    Clear,
    /// A backend server died under it: it runs alone, never on the last healthy backend server.
    Isolated,
    /// It is refused everywhere until this much time has passed.
    Refused(Duration),
}

/// Crashes seen on any node, by fingerprint of the request.
///
/// ```
/// use limits::suspect::{Settings, Suspects, Verdict};
/// use std::time::{Duration, Instant};
/// let mut suspects = Suspects::new(Settings::default());
/// let now = Instant::now();
/// suspects.record_crash(now, "f", "e1", Duration::ZERO);
/// suspects.record_crash(now, "f", "e1", Duration::ZERO);
/// assert_eq!(suspects.verdict(now, "f"), Verdict::Isolated);
/// suspects.record_crash(now, "f", "e2", Duration::ZERO);
/// assert!(matches!(suspects.verdict(now, "f"), Verdict::Refused(_)));
/// ```
#[derive(Debug)]
pub struct Suspects {
    settings: Settings,
    crashes: Map<Fingerprint, BTreeMap<BackendId, Instant>>,
}

impl Suspects {
    /// Knows of no crash.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            crashes: Map::default(),
        }
    }

    /// A backend server died under a request `age` ago, seen here or told by a peer.
    /// True when that is news and peers must hear it.
    pub fn record_crash(
        &mut self,
        now: Instant,
        fingerprint: &str,
        backend: &str,
        age: Duration,
    ) -> bool {
        if age >= self.settings.retention {
            return false;
        }
        self.forget(now);
        let at = now.checked_sub(age).unwrap_or(now);
        let seen = self.crashes.entry(fingerprint.to_owned()).or_default();
        match seen.get_mut(backend) {
            Some(known) => {
                *known = (*known).max(at);
                false
            }
            None => {
                seen.insert(backend.to_owned(), at);
                true
            }
        }
    }

    /// What may be done with a request now.
    pub fn verdict(&self, now: Instant, fingerprint: &str) -> Verdict {
        let Some(seen) = self.crashes.get(fingerprint) else {
            return Verdict::Clear;
        };
        let mut ends: Vec<Instant> = seen
            .values()
            .map(|at| *at + self.settings.retention)
            .filter(|end| now < *end)
            .collect();
        ends.sort_unstable();
        match ends.len() {
            0 => Verdict::Clear,
            count if count < self.settings.crash_threshold => Verdict::Isolated,
            count => Verdict::Refused(ends[count - self.settings.crash_threshold] - now),
        }
    }

    /// Whether a request may run on a backend server where `held` requests are in flight and
    /// whose pool has `healthy` servers, itself included.
    ///
    /// ```
    /// use limits::suspect::{Settings, Suspects};
    /// use std::time::{Duration, Instant};
    /// let mut suspects = Suspects::new(Settings::default());
    /// let now = Instant::now();
    /// suspects.record_crash(now, "f", "e1", Duration::ZERO);
    /// assert!(suspects.may_run(now, "f", 0, 2));
    /// assert!(!suspects.may_run(now, "f", 1, 2));
    /// assert!(!suspects.may_run(now, "f", 0, 1));
    /// ```
    pub fn may_run(&self, now: Instant, fingerprint: &str, held: u32, healthy: usize) -> bool {
        match self.verdict(now, fingerprint) {
            Verdict::Clear => true,
            Verdict::Isolated => held == 0 && healthy > 1,
            Verdict::Refused(_) => false,
        }
    }

    /// Crashes that a peer should know, with their age.
    pub fn crashes(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Fingerprint, &BackendId, Duration)> {
        self.crashes.iter().flat_map(move |(fingerprint, seen)| {
            seen.iter().map(move |(backend, at)| {
                (fingerprint, backend, now.saturating_duration_since(*at))
            })
        })
    }

    fn forget(&mut self, now: Instant) {
        if self.crashes.len() < self.settings.capacity {
            return;
        }
        let retention = self.settings.retention;
        self.crashes
            .retain(|_, seen| seen.values().any(|at| now < *at + retention));
        while self.crashes.len() >= self.settings.capacity {
            let oldest = self
                .crashes
                .iter()
                .min_by_key(|(_, seen)| seen.values().max().copied())
                .map(|(fingerprint, _)| fingerprint.clone());
            let Some(oldest) = oldest else { return };
            self.crashes.remove(&oldest);
        }
    }
}
