//! Detection of poison requests: requests that crash the backend servers that run them.

use contract::{BackendId, Map};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Digest of the customer and the request body.
pub type Fingerprint = String;

/// Settings of the detection of poison requests.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long a crash counts against a request.
    pub retention: Duration,
    /// Number of distinct backend servers that a request must crash before it is refused.
    pub crash_threshold: usize,
    /// Maximum number of fingerprints kept; the one with the oldest last crash is evicted first.
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

/// How a request may be handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No crash is attributed to it.
    Clear,
    /// It has crashed too few backend servers to be refused: it runs alone on a server, and never
    /// on the last healthy one.
    Isolated,
    /// It is refused on all nodes for this long.
    Refused(Duration),
}

/// Crashes observed by any node, by fingerprint of the request.
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
    /// Creates an empty record of crashes.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            crashes: Map::default(),
        }
    }

    /// Records that a backend server crashed `age` ago while it ran a request, as observed here or
    /// reported by a peer. Returns whether the crash is new, so that peers have to be notified.
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
        self.evict(now);
        let at = now.checked_sub(age).unwrap_or(now);
        let by_backend = self.crashes.entry(fingerprint.to_owned()).or_default();
        match by_backend.get_mut(backend) {
            Some(known) => {
                *known = (*known).max(at);
                false
            }
            None => {
                by_backend.insert(backend.to_owned(), at);
                true
            }
        }
    }

    /// Returns how a request may be handled now.
    pub fn verdict(&self, now: Instant, fingerprint: &str) -> Verdict {
        let Some(by_backend) = self.crashes.get(fingerprint) else {
            return Verdict::Clear;
        };
        let mut ends: Vec<Instant> = by_backend
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

    /// Whether a request may run on a backend server that has `in_flight` requests and whose pool
    /// has `healthy` servers, including this one.
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
    pub fn may_run(&self, now: Instant, fingerprint: &str, in_flight: u32, healthy: usize) -> bool {
        match self.verdict(now, fingerprint) {
            Verdict::Clear => true,
            Verdict::Isolated => in_flight == 0 && healthy > 1,
            Verdict::Refused(_) => false,
        }
    }

    /// Iterates over all recorded crashes with their age, to send them to a peer.
    pub fn crashes(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Fingerprint, &BackendId, Duration)> {
        self.crashes
            .iter()
            .flat_map(move |(fingerprint, by_backend)| {
                by_backend.iter().map(move |(backend, at)| {
                    (fingerprint, backend, now.saturating_duration_since(*at))
                })
            })
    }

    /// At capacity, removes expired fingerprints and then the oldest ones.
    fn evict(&mut self, now: Instant) {
        if self.crashes.len() < self.settings.capacity {
            return;
        }
        let retention = self.settings.retention;
        self.crashes
            .retain(|_, by_backend| by_backend.values().any(|at| now < *at + retention));
        while self.crashes.len() >= self.settings.capacity {
            let oldest = self
                .crashes
                .iter()
                .min_by_key(|(_, by_backend)| by_backend.values().max().copied())
                .map(|(fingerprint, _)| fingerprint.clone());
            let Some(oldest) = oldest else { return };
            self.crashes.remove(&oldest);
        }
    }
}
