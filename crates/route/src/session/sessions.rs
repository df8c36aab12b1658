//! Sessions and the versions that serve them.

use crate::Version;
use lru::LruCache;
use rustc_hash::FxBuildHasher;
use std::time::{Duration, Instant};

/// Time for which a session is remembered after its last request began. It covers the longest request
/// and the pause after it.
const TTL: Duration = Duration::from_secs(30);
/// Maximum number of sessions; beyond it the least recently used one is evicted. A site with 400 new
/// sessions per second reaches it within the TTL.
const MAX_SESSIONS: usize = 12_288;

/// Version and last use of a session.
#[derive(Clone, Debug)]
struct Session {
    version: Version,
    last_request: Instant,
    /// Whether this node, rather than another one, sent the last request.
    own: bool,
}

/// Versions of the sessions that this node has served or that other nodes have reported.
#[derive(Clone, Debug)]
pub struct Sessions {
    entries: LruCache<String, Session, FxBuildHasher>,
}

impl Default for Sessions {
    fn default() -> Self {
        Self {
            entries: LruCache::unbounded_with_hasher(FxBuildHasher),
        }
    }
}

impl Sessions {
    /// Returns the version that serves a session.
    ///
    /// ```
    /// let now = std::time::Instant::now();
    /// let mut sessions = route::session::Sessions::default();
    /// sessions.record_own(now, "s", "v1");
    /// assert_eq!(sessions.version(now, "s"), Some("v1"));
    /// ```
    pub fn version(&self, now: Instant, session: &str) -> Option<&str> {
        let entry = self.entries.peek(session)?;
        entry.is_valid(now).then_some(entry.version.as_str())
    }

    /// Records that this node sent a request of a session to a version; returns whether the version
    /// of the session changed.
    pub fn record_own(&mut self, now: Instant, session: &str, version: &str) -> bool {
        self.put(now, session, version, true)
    }

    /// Records the version of a session that another node reports; returns whether it changed.
    pub fn record_remote(&mut self, now: Instant, session: &str, version: &str) -> bool {
        self.put(now, session, version, false)
    }

    fn put(&mut self, now: Instant, session: &str, version: &str, own: bool) -> bool {
        let changed = self.version(now, session) != Some(version);
        let entry = Session {
            version: version.to_owned(),
            last_request: now,
            own,
        };
        self.entries.put(session.to_owned(), entry);
        while let Some((_, oldest)) = self.entries.peek_lru()
            && (self.entries.len() > MAX_SESSIONS || !oldest.is_valid(now))
        {
            self.entries.pop_lru();
        }
        changed
    }

    /// Returns all remembered sessions with their versions.
    pub fn all(&self, now: Instant) -> Vec<(String, Version)> {
        self.select(now, |_| true)
    }

    /// Returns the remembered sessions whose last request this node sent.
    ///
    /// ```
    /// let now = std::time::Instant::now();
    /// let mut sessions = route::session::Sessions::default();
    /// sessions.record_own(now, "s", "v1");
    /// sessions.record_remote(now, "t", "v1");
    /// assert_eq!(sessions.own(now), [("s".to_owned(), "v1".to_owned())]);
    /// ```
    pub fn own(&self, now: Instant) -> Vec<(String, Version)> {
        self.select(now, |session| session.own)
    }

    fn select(&self, now: Instant, accepts: impl Fn(&Session) -> bool) -> Vec<(String, Version)> {
        let entries = self.entries.iter();
        entries
            .filter(|(_, session)| session.is_valid(now) && accepts(session))
            .map(|(name, session)| (name.clone(), session.version.clone()))
            .collect()
    }
}

impl Session {
    fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_request) < TTL
    }
}
