//! Sessions and the versions that they are on.

use crate::Version;
use lru::LruCache;
use rustc_hash::FxBuildHasher;
use std::time::{Duration, Instant};

/// Time for which a session is remembered after its last request began: its longest request and
/// the pause after it.
const MEMORY: Duration = Duration::from_secs(30);
/// Sessions that are remembered; beyond that, the one that was used least recently goes. A site of
/// 400 new sessions a second fills it within their memory.
const MAX_SESSIONS: usize = 12_288;

/// The versions that sessions are on, as far as this node has seen or been told.
#[derive(Clone, Debug)]
pub struct Sessions {
    known: LruCache<String, (Version, Instant), FxBuildHasher>,
}

impl Default for Sessions {
    fn default() -> Self {
        Self {
            known: LruCache::unbounded_with_hasher(FxBuildHasher),
        }
    }
}

impl Sessions {
    /// The version that a session is on.
    ///
    /// ```
    /// let now = std::time::Instant::now();
    /// let mut sessions = route::session::Sessions::default();
    /// sessions.note(now, "s", "v1");
    /// assert_eq!(sessions.version(now, "s"), Some("v1"));
    /// ```
    pub fn version(&self, now: Instant, session: &str) -> Option<&str> {
        let (version, last) = self.known.peek(session)?;
        (now.saturating_duration_since(*last) < MEMORY).then_some(version.as_str())
    }

    /// Notes that a request of a session went to a version; true when that is news.
    pub fn note(&mut self, now: Instant, session: &str, version: &str) -> bool {
        let changed = self.version(now, session) != Some(version);
        self.known
            .put(session.to_owned(), (version.to_owned(), now));
        let over = |at: Instant| now.saturating_duration_since(at) >= MEMORY;
        while let Some((_, (_, at))) = self.known.peek_lru()
            && (self.known.len() > MAX_SESSIONS || over(*at))
        {
            self.known.pop_lru();
        }
        changed
    }

    /// All sessions that are remembered, with their versions.
    pub fn all(&self, now: Instant) -> Vec<(String, Version)> {
        let known = self.known.iter();
        known
            .filter(|(_, (_, at))| now.saturating_duration_since(*at) < MEMORY)
            .map(|(session, (version, _))| (session.clone(), version.clone()))
            .collect()
    }
}
