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

/// What is known of a session.
#[derive(Clone, Debug)]
struct Session {
    version: Version,
    last: Instant,
    /// Whether this node has sent its last request, and not another one.
    own: bool,
}

/// The versions that sessions are on, as far as this node has seen or been told.
#[derive(Clone, Debug)]
pub struct Sessions {
    known: LruCache<String, Session, FxBuildHasher>,
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
        let known = self.known.peek(session)?;
        known.is_remembered(now).then_some(known.version.as_str())
    }

    /// Notes that this node sent a request of a session to a version; true when that is news.
    pub fn record_own(&mut self, now: Instant, session: &str, version: &str) -> bool {
        self.put(now, session, version, true)
    }

    /// Takes in what another node tells of a session; true when that is news.
    pub fn record_remote(&mut self, now: Instant, session: &str, version: &str) -> bool {
        self.put(now, session, version, false)
    }

    fn put(&mut self, now: Instant, session: &str, version: &str, own: bool) -> bool {
        let changed = self.version(now, session) != Some(version);
        let known = Session {
            version: version.to_owned(),
            last: now,
            own,
        };
        self.known.put(session.to_owned(), known);
        while let Some((_, oldest)) = self.known.peek_lru()
            && (self.known.len() > MAX_SESSIONS || !oldest.is_remembered(now))
        {
            self.known.pop_lru();
        }
        changed
    }

    /// Sessions that are remembered, with their versions.
    pub fn all(&self, now: Instant) -> Vec<(String, Version)> {
        self.select(now, |_| true)
    }

    /// Those of them whose last request this node has sent.
    ///
    /// ```
    /// let now = std::time::Instant::now();
    /// let mut sessions = route::session::Sessions::default();
    /// sessions.note(now, "s", "v1");
    /// sessions.learn(now, "t", "v1");
    /// assert_eq!(sessions.own(now), [("s".to_owned(), "v1".to_owned())]);
    /// ```
    pub fn own(&self, now: Instant) -> Vec<(String, Version)> {
        self.select(now, |session| session.own)
    }

    fn select(&self, now: Instant, takes: impl Fn(&Session) -> bool) -> Vec<(String, Version)> {
        let known = self.known.iter();
        known
            .filter(|(_, session)| session.is_remembered(now) && takes(session))
            .map(|(name, session)| (name.clone(), session.version.clone()))
            .collect()
    }
}

impl Session {
    fn is_remembered(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) < MEMORY
    }
}
