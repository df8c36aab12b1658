//! Sessions and the versions that they are on.

use crate::Version;
use contract::Map;
use std::time::{Duration, Instant};

/// Time for which a session is remembered after its last request began: its longest request and
/// the pause after it.
const MEMORY: Duration = Duration::from_secs(30);
/// Sessions that are remembered; when there are more, those out of their time go.
const MAX_SESSIONS: usize = 4096;

/// The versions that sessions are on, as far as this node has seen or been told.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    known: Map<String, (Version, Instant)>,
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
        let (version, last) = self.known.get(session)?;
        (now.saturating_duration_since(*last) < MEMORY).then_some(version.as_str())
    }

    /// Notes that a request of a session went to a version; true when that is news.
    pub fn note(&mut self, now: Instant, session: &str, version: &str) -> bool {
        let changed = self.version(now, session) != Some(version);
        if self.known.len() >= MAX_SESSIONS {
            let old = |at: Instant| now.saturating_duration_since(at) >= MEMORY;
            self.known.retain(|_, (_, at)| !old(*at));
        }
        self.known
            .insert(session.to_owned(), (version.to_owned(), now));
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
